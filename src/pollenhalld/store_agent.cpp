// The threads that access the store.

#include "store_agent.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>
#include <pollenhall/retry_budget.hpp>

#include <algorithm>

namespace pollenhall
{
namespace
{

// A watch that receives nothing for this long is restarted, because its
// connection may have been lost without an error. The read before each watch
// finds the changes that were missed.
constexpr milliseconds watch_idle_timeout{20'000};
constexpr milliseconds min_watch_duration{1'000};
constexpr milliseconds min_reconnect_delay{100};
constexpr backoff_options reconnect_backoff{.base = milliseconds{500},
                                            .cap = milliseconds{10'000}};

} // namespace

store_agent::store_agent(etcd_store_options const& options, std::string prefix,
                         std::uint64_t seed, store_events events)
    : prefix_(std::move(prefix)), events_(std::move(events)),
      job_store_(options), watch_store_(options), random_(seed)
{
}

store_agent::~store_agent()
{
    stop();
}

void store_agent::start()
{
    job_thread_ = std::thread([this] { job_loop(); });
    watch_thread_ = std::thread([this] { watch_loop(); });
}

void store_agent::stop()
{
    {
        std::lock_guard const lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    watch_store_.interrupt();
    if (job_thread_.joinable())
        job_thread_.join();
    if (watch_thread_.joinable())
        watch_thread_.join();
}

void store_agent::set_watching(bool watching)
{
    {
        std::lock_guard const lock(mutex_);
        watching_ = watching;
    }
    wake_.notify_all();
}

void store_agent::submit(job work)
{
    {
        std::lock_guard const lock(mutex_);
        jobs_.push_back(std::move(work));
    }
    wake_.notify_all();
}

void store_agent::job_loop()
{
    std::unique_lock lock(mutex_);
    while (true)
    {
        wake_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
        if (jobs_.empty())
            return;
        auto work = std::move(jobs_.front());
        jobs_.pop_front();
        lock.unlock();
        work(job_store_);
        lock.lock();
    }
}

bool store_agent::wait_for_role()
{
    std::unique_lock lock(mutex_);
    wake_.wait(lock, [this] { return stopping_ || watching_; });
    return !stopping_;
}

void store_agent::watch_loop()
{
    while (wait_for_role())
        watch_once();
}

void store_agent::watch_once()
{
    auto const revision = read_all();
    if (!revision.ok())
    {
        reachable_ = false;
        pause_after_failure();
        return;
    }
    reachable_ = true;
    auto const started = mono_now();
    auto const watched = watch_store_.watch(
        spaces_prefix(prefix_), store_revision(revision->value() + 1),
        watch_idle_timeout,
        [this](std::vector<std::string> const& keys, store_revision)
        { return read_changed(keys) && !stopping_; });
    // A watch also ends when nothing changes for some time.
    if (absl::IsInternal(watched))
        log_event("store_response_malformed", log_level::warning)
            .add("reason", std::string(watched.message()));
    // If the store ends watches immediately, for whatever reason, each attempt
    // is delayed longer than the one before, although the reads succeed.
    if (mono_now() < started + min_watch_duration)
        pause_after_failure();
    else
        consecutive_failures_ = 0;
}

absl::StatusOr<store_revision> store_agent::read_all()
{
    auto const view = watch_store_.read_prefix(spaces_prefix(prefix_));
    if (!view.ok())
        return view.status();
    deliver_spaces(*view, true);
    return view->revision;
}

bool store_agent::read_changed(std::vector<std::string> const& keys)
{
    std::set<std::string> names;
    for (auto const& key : keys)
        names.emplace(space_of_key(prefix_, key));
    for (auto const& name : names)
    {
        if (name.empty())
            continue;
        auto const view = watch_store_.read_prefix(space_prefix(prefix_, name));
        reachable_ = view.ok();
        if (!view.ok())
            return false;
        deliver_spaces(*view, false);
    }
    return true;
}

void store_agent::deliver_spaces(store_view const& view, bool complete)
{
    std::vector<stored_value> values;
    for (auto const& record : view.records)
        values.push_back({.key = record.key,
                          .value = record.value,
                          .revision = record.modified.value()});
    std::vector<space_update> updates;
    for (auto& space : parse_spaces(prefix_, values))
    {
        if (space.ok())
            updates.push_back(std::move(space->update));
        else
            log_event("stored_space_refused", log_level::error)
                .add("reason", std::string(space.status().message()));
    }
    events_.on_spaces(std::move(updates), complete);
}

void store_agent::pause_after_failure()
{
    ++consecutive_failures_;
    auto const delay = std::max(
        min_reconnect_delay,
        retry_backoff(consecutive_failures_, random_(), reconnect_backoff));
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, delay, [this] { return stopping_.load(); });
}

} // namespace pollenhall
