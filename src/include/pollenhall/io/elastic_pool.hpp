// Thread pool that grows with demand and shrinks when idle. Used for blocking
// work: exchanges with upstreams and callers' connections.

#pragma once

#include <pollenhall/ids.hpp>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace pollenhall
{

/// Settings of `elastic_pool`.
struct elastic_pool_options
{
    std::size_t max_threads = 256;
    /// Time after which an idle thread exits.
    milliseconds idle_timeout{10'000};
    /// Stack size of each thread.
    std::size_t stack_bytes = 262'144;
};

/// Elastic thread pool. Thread-safe.
class elastic_pool
{
public:
    using task = std::function<void()>;

    explicit elastic_pool(elastic_pool_options options);
    /// Waits for all tasks, like `finish`.
    ~elastic_pool();
    elastic_pool(elastic_pool const&) = delete;
    elastic_pool& operator=(elastic_pool const&) = delete;

    /// Runs `work` on a thread of the pool. Returns false without running it if
    /// all threads are busy and no more may be started.
    bool try_run(task work);
    /// Like `try_run`, but queues the task instead of returning false.
    void run(task work);
    /// Waits until all tasks have finished and all threads have exited. No task
    /// may be added meanwhile.
    void finish();

private:
    void start_thread(std::unique_lock<std::mutex> const& lock);
    static void* thread_main(void* pool);
    void run_tasks();

    elastic_pool_options options_;
    std::mutex mutex_;
    std::condition_variable has_work_;
    std::condition_variable thread_ended_;
    std::deque<task> tasks_;
    std::size_t threads_ = 0;
    // Threads that wait for a task; at most `threads_`.
    std::size_t idle_ = 0;
    bool finishing_ = false;
};

} // namespace pollenhall
