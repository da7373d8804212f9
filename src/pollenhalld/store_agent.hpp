// Accesses the platform's store on its own threads, so that no other thread
// blocks on the store. One thread watches for changes while this node has the
// store role, the other runs jobs.

#pragma once

#include <pollenhall/io/etcd_store.hpp>
#include <pollenhall/store_layout.hpp>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace pollenhall
{

/// Callbacks of the agent; called on its watch thread.
struct store_events
{
    /// Receives the spaces that were read and parsed, and whether these are
    /// all spaces of the store.
    std::function<void(std::vector<space_update>, bool complete)> on_spaces;
};

/// Runs the threads that access the store. All member functions may be called
/// from any thread.
class store_agent
{
public:
    using job = std::function<void(etcd_store&)>;

    store_agent(etcd_store_options const& options, std::string prefix,
                std::uint64_t seed, store_events events);
    ~store_agent();
    store_agent(store_agent const&) = delete;
    store_agent& operator=(store_agent const&) = delete;

    /// Starts the threads.
    void start();
    /// Runs the jobs already submitted, ends the watch and joins the threads.
    void stop();

    /// Sets whether this node watches the store. A watch in progress is not
    /// interrupted.
    void set_watching(bool watching);
    /// Queues a job for the job thread; jobs run in order of submission.
    void submit(job work);

    /// Whether the last read by the watch thread succeeded.
    [[nodiscard]] bool is_reachable() const { return reachable_; }
    /// Returns the number of calls to the store; a watch counts as one.
    [[nodiscard]] std::uint64_t calls() const
    {
        return job_store_.calls() + watch_store_.calls();
    }

private:
    void job_loop();
    void watch_loop();
    void watch_once();
    absl::StatusOr<store_revision> read_all();
    bool read_changed(std::vector<std::string> const& keys);
    void deliver_spaces(store_view const& view, bool complete);
    void pause_after_failure();
    bool wait_for_role();

    std::string prefix_;
    store_events events_;
    etcd_store job_store_;
    etcd_store watch_store_;
    std::atomic<bool> reachable_{false};
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<job> jobs_;
    bool watching_ = false;
    int consecutive_failures_ = 0;
    std::mt19937_64 random_;
    std::thread job_thread_;
    std::thread watch_thread_;
};

} // namespace pollenhall
