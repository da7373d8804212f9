// Threads for the connections of an HTTP server: one for each connection, up
// to a limit, and a few that refuse the connections above it.

#pragma once

#include <pollenhall/io/elastic_pool.hpp>

#include <functional>
#include <utility>

#include <httplib.h>

namespace pollenhall
{

/// Task queue for cpp-httplib.
class connection_queue : public httplib::TaskQueue
{
public:
    explicit connection_queue(std::size_t max_connections)
        : serving_({.max_threads = max_connections}),
          refusing_({.max_threads = refusing_threads})
    {
    }

    void enqueue(std::function<void()> work) override
    {
        if (serving_.try_run(work))
            return;
        refusing_.run(
            [work = std::move(work)]
            {
                surplus_flag() = true;
                work();
            });
    }

    void shutdown() override
    {
        serving_.finish();
        refusing_.finish();
    }

    /// Whether the calling thread serves a connection above the limit, whose
    /// requests are to be refused.
    static bool is_surplus() { return surplus_flag(); }

private:
    static constexpr std::size_t refusing_threads = 4;

    static bool& surplus_flag()
    {
        thread_local bool flag = false;
        return flag;
    }

    elastic_pool serving_;
    elastic_pool refusing_;
};

} // namespace pollenhall
