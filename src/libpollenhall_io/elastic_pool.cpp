// Implements `elastic_pool` with POSIX threads, because std::thread has no way
// to set the stack size.

#include <pollenhall/io/elastic_pool.hpp>
#include <pollenhall/io/log_event.hpp>

#include <pthread.h>

namespace pollenhall
{

elastic_pool::elastic_pool(elastic_pool_options options) : options_(options) {}

elastic_pool::~elastic_pool()
{
    finish();
}

bool elastic_pool::try_run(task work)
{
    std::unique_lock lock(mutex_);
    if (idle_ <= tasks_.size() && threads_ >= options_.max_threads)
        return false;
    tasks_.push_back(std::move(work));
    if (idle_ < tasks_.size())
        start_thread(lock);
    has_work_.notify_one();
    return true;
}

void elastic_pool::run(task work)
{
    std::unique_lock lock(mutex_);
    tasks_.push_back(std::move(work));
    if (idle_ < tasks_.size() && threads_ < options_.max_threads)
        start_thread(lock);
    has_work_.notify_one();
}

void elastic_pool::start_thread(std::unique_lock<std::mutex> const& /*lock*/)
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, options_.stack_bytes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_t thread{};
    ++threads_;
    if (pthread_create(&thread, &attributes, &thread_main, this) != 0)
    {
        --threads_;
        log_event("thread_not_started", log_level::error)
            .add("threads", static_cast<std::int64_t>(threads_));
    }
    pthread_attr_destroy(&attributes);
}

void* elastic_pool::thread_main(void* pool)
{
    static_cast<elastic_pool*>(pool)->run_tasks();
    return nullptr;
}

void elastic_pool::run_tasks()
{
    std::unique_lock lock(mutex_);
    while (true)
    {
        ++idle_;
        has_work_.wait_for(lock, options_.idle_timeout,
                           [this] { return !tasks_.empty() || finishing_; });
        --idle_;
        if (tasks_.empty())
            break;
        auto work = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        work();
        work = nullptr;
        lock.lock();
    }
    --threads_;
    thread_ended_.notify_all();
}

void elastic_pool::finish()
{
    std::unique_lock lock(mutex_);
    finishing_ = true;
    has_work_.notify_all();
    thread_ended_.wait(lock, [this] { return threads_ == 0; });
}

} // namespace pollenhall
