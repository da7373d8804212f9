// Calls to the store for crash suspicions.

#include "suspicion_registry.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>

#include <algorithm>

#include <asio/post.hpp>

namespace pollenhall
{
namespace
{

constexpr milliseconds min_retry_delay{500};
constexpr milliseconds max_retry_delay{10'000};
// Interval between writes of the same suspicions. A store that has been
// restored from an older snapshot may have lost them.
constexpr milliseconds refresh_interval{10'000};

absl::Status write_value(etcd_store& store, store_write entry,
                         seconds time_to_live)
{
    auto const lease = store.grant_lease(time_to_live);
    if (!lease.ok())
        return lease.status();
    entry.lease = *lease;
    return store.commit({}, {entry}).status();
}

} // namespace

suspicion_registry::suspicion_registry(asio::io_context& context,
                                       node_settings const& settings,
                                       store_agent& store,
                                       suspicion_handler on_loaded)
    : context_(context), settings_(settings), store_(store),
      on_loaded_(std::move(on_loaded)),
      prefix_(settings.store_prefix + "suspicions/")
{
}

void suspicion_registry::tick(mono_time now)
{
    if (is_calling_ || now < next_call_)
        return;
    if (!stored_.empty() && now >= next_refresh_)
    {
        stored_.clear();
        may_differ_ = true;
    }
    if (!has_read_)
        read();
    else if (may_differ_)
        write();
}

void suspicion_registry::report(std::vector<crash_suspicion> const& suspicions)
{
    for (auto const& suspicion : suspicions)
        suspicions_.report(suspicion, wall_now());
    may_differ_ = true;
}

void suspicion_registry::hear(std::vector<crash_suspicion> const& suspicions)
{
    if (suspicions.empty())
        return;
    for (auto const& suspicion : suspicions)
        suspicions_.hear(suspicion, wall_now());
    may_differ_ = true;
}

void suspicion_registry::read()
{
    is_calling_ = true;
    store_.submit(
        [this](etcd_store& store)
        {
            asio::post(context_, [this, view = store.read_prefix(prefix_)]
                       { on_read(view); });
        });
}

void suspicion_registry::on_read(absl::StatusOr<store_view> const& view)
{
    is_calling_ = false;
    if (!view.ok())
    {
        log_event("stored_suspicions_not_read", log_level::warning)
            .add("error", std::string(view.status().message()));
        return retry_later();
    }
    has_read_ = true;
    retry_delay_ = milliseconds{0};
    std::vector<crash_suspicion> loaded;
    for (auto const& record : view->records)
    {
        auto const stored = parse_suspicions(record.value);
        if (!stored.ok())
        {
            log_event("stored_suspicions_ignored", log_level::warning)
                .add("key", record.key)
                .add("error", std::string(stored.status().message()));
            continue;
        }
        auto const live = suspicions_.load(
            *stored, record.key == prefix_ + settings_.name.value(),
            wall_now());
        loaded.insert(loaded.end(), live.begin(), live.end());
    }
    if (loaded.empty())
        return;
    log_event("suspicions_loaded")
        .add("count", static_cast<std::int64_t>(loaded.size()));
    on_loaded_(loaded);
}

void suspicion_registry::write()
{
    auto const now = wall_now();
    auto kept = suspicions_.kept(now);
    may_differ_ = false;
    // An expired value is removed by its lease.
    if (kept.empty() || kept == stored_)
        return;
    is_calling_ = true;
    auto const last = std::max_element(kept.begin(), kept.end(),
                                       [](auto const& left, auto const& right) {
                                           return left.expires < right.expires;
                                       });
    auto const time_to_live = std::chrono::ceil<seconds>(last->expires - now);
    store_.submit(
        [this, time_to_live, kept = std::move(kept),
         key = prefix_ + settings_.name.value()](etcd_store& store)
        {
            auto const status = write_value(
                store,
                {.key = key, .value = format_suspicions(kept), .lease = {}},
                time_to_live);
            asio::post(context_,
                       [this, kept, status] { on_written(kept, status); });
        });
}

void suspicion_registry::on_written(
    std::vector<published_suspicion> const& written, absl::Status const& status)
{
    is_calling_ = false;
    if (status.ok())
    {
        retry_delay_ = milliseconds{0};
        stored_ = written;
        next_refresh_ = mono_now() + refresh_interval;
        return;
    }
    may_differ_ = true;
    log_event("suspicions_not_stored", log_level::warning)
        .add("error", std::string(status.message()));
    retry_later();
}

void suspicion_registry::retry_later()
{
    retry_delay_ =
        std::clamp(retry_delay_ * 2, min_retry_delay, max_retry_delay);
    next_call_ = mono_now() + retry_delay_;
}

} // namespace pollenhall
