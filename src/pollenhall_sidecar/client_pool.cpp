// Implements connection reuse and the removal of expired idle connections.

#include "client_pool.hpp"

#include "client_connection.hpp"

#include <pollenhall/io/clocks.hpp>

#include <algorithm>
#include <array>

namespace pollenhall::sidecar
{
namespace
{

// Interval at which expired idle connections are closed.
constexpr milliseconds prune_interval{1'000};

} // namespace

std::string_view to_string(exchange_end end)
{
    constexpr std::array<std::string_view, 5> names{
        "answered", "not_connected", "broken", "timed_out", "too_large"};
    return names.at(static_cast<std::size_t>(end));
}

client_pool::client_pool(asio::io_context& context, deadline_timers& timers,
                         asio::ip::tcp::endpoint address,
                         client_pool_options options)
    : context_(context), timers_(timers), address_(std::move(address)),
      options_(std::move(options))
{
    if (!options_.memory_budget)
        options_.memory_budget = std::make_shared<mesh::byte_budget>();
}

client_pool::~client_pool()
{
    close_idle();
}

std::shared_ptr<client_connection> client_pool::start(exchange_request request)
{
    auto connection = take_idle(request);
    if (!connection)
    {
        ++connections_opened_;
        connection = std::make_shared<client_connection>(
            context_, timers_, weak_from_this(), options_);
        connection->start_exchange(std::move(request));
        connection->connect(address_);
        return connection;
    }
    connection->start_exchange(std::move(request));
    return connection;
}

void client_pool::probe(milliseconds timeout,
                        std::function<void(probe_result)> on_end)
{
    ++connections_opened_;
    auto const connection = std::make_shared<client_connection>(
        context_, timers_, weak_from_this(), options_);
    connection->start_exchange(
        {.connect_only = true,
         .deadline = mono_now() + timeout,
         .on_end = [on_end = std::move(on_end)](exchange_result const& result)
         {
             on_end(result.end == exchange_end::answered
                        ? probe_result::connected
                    : result.refused ? probe_result::refused
                                     : probe_result::silent);
         }});
    connection->connect(address_);
}

bool client_pool::has_idle_connection() const
{
    return std::any_of(idle_.begin(), idle_.end(),
                       [](auto const& item) { return !item->is_closed(); });
}

void client_pool::cancel(std::shared_ptr<client_connection> const& exchange)
{
    if (exchange)
        exchange->cancel();
}

std::shared_ptr<client_connection>
client_pool::take_idle(exchange_request const& request)
{
    auto const now = mono_now();
    for (auto item = idle_.end(); item != idle_.begin();)
    {
        --item;
        auto connection = *item;
        if (!request.allow_stale_connection &&
            now - connection->last_used() >= options_.stale_after)
            return nullptr;
        if (connection->has_rejected(request.id))
            continue;
        item = idle_.erase(item);
        if (connection->is_closed())
            continue;
        if (now < connection->keep_alive_until())
            return connection;
        connection->close();
    }
    return nullptr;
}

void client_pool::put_back(std::shared_ptr<client_connection> const& connection)
{
    if (idle_.size() >= options_.max_idle)
        return connection->close();
    idle_.push_back(connection);
    schedule_prune();
}

void client_pool::remove(client_connection const* connection)
{
    idle_.remove_if([&](auto const& item) { return item.get() == connection; });
}

void client_pool::schedule_prune()
{
    if (prune_scheduled_)
        return;
    prune_scheduled_ = true;
    timers_.after(
        prune_interval,
        [weak = weak_from_this()]
        {
            auto const self = weak.lock();
            if (!self)
                return;
            self->prune_scheduled_ = false;
            auto const now = mono_now();
            auto const expired = [&](auto const& item)
            {
                return now - item->last_used() >= self->options_.idle_timeout ||
                       now >= item->keep_alive_until();
            };
            std::list<std::shared_ptr<client_connection>> old;
            for (auto item = self->idle_.begin(); item != self->idle_.end();)
            {
                auto const next = std::next(item);
                if (expired(*item))
                    old.splice(old.end(), self->idle_, item);
                item = next;
            }
            for (auto const& item : old)
                item->close();
            if (!self->idle_.empty())
                self->schedule_prune();
        });
}

void client_pool::close_idle()
{
    auto const all = std::move(idle_);
    idle_.clear();
    for (auto const& connection : all)
        connection->close();
}

} // namespace pollenhall::sidecar
