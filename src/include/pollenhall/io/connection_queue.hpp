// Threads for the connections of an HTTP server: one per connection up to a
// limit, and a few more that refuse the requests of connections above the
// limit.

#pragma once

#include <pollenhall/io/elastic_pool.hpp>

#include <functional>
#include <utility>

#include <httplib.h>

namespace pollenhall
{

/// Task queue for cpp-httplib's server; each task serves one connection.
class connection_queue : public httplib::TaskQueue
{
public:
    explicit connection_queue(std::size_t max_connections)
        : serving_({.max_threads = max_connections}),
          refusing_({.max_threads = max_refusing_threads})
    {
    }

    void enqueue(std::function<void()> work) override
    {
        if (serving_.try_run(work))
            return;
        refusing_.run(
            [work = std::move(work)]
            {
                over_limit_flag() = true;
                work();
            });
    }

    void shutdown() override
    {
        serving_.finish();
        refusing_.finish();
    }

    /// Whether the current thread serves a connection above the limit, whose
    /// requests the handlers must refuse.
    static bool is_over_limit() { return over_limit_flag(); }

private:
    static constexpr std::size_t max_refusing_threads = 4;

    static bool& over_limit_flag()
    {
        thread_local bool flag = false;
        return flag;
    }

    elastic_pool serving_;
    elastic_pool refusing_;
};

} // namespace pollenhall
