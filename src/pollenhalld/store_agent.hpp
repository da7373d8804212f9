// Talks to the platform's store on threads of its own, so that no other
// thread ever waits for it. Watches for changes while this node has that
// role, and runs single jobs.

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

/// What the agent found; called on its threads.
struct store_events
{
    /// Spaces that were read.
    std::function<void(std::vector<space_update>)> on_spaces;
};

/// The agent. All functions may be called from any thread.
class store_agent
{
public:
    using job = std::function<void(etcd_store&)>;

    store_agent(etcd_store_options const& options, std::string prefix,
                std::uint64_t seed, store_events events);
    ~store_agent();
    store_agent(store_agent const&) = delete;
    store_agent& operator=(store_agent const&) = delete;

    void start();
    void stop();

    /// Whether this node is to watch the store.
    void set_watching(bool watching);
    /// Runs a job on the agent's thread, after those submitted before.
    void submit(job work);

    /// Whether the last call was answered.
    [[nodiscard]] bool is_reachable() const { return reachable_; }
    /// Calls made so far; a watch counts as one.
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
    void publish(store_view const& view);
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
    int failures_ = 0;
    std::mt19937_64 random_;
    std::thread job_thread_;
    std::thread watch_thread_;
};

} // namespace pollenhall
