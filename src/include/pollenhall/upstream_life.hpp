// Lifecycle of the upstream beside a node, as defined by its state chart:
// absent, warming up, serving or draining.

#pragma once

#include <pollenhall/ids.hpp>
#include <pollenhall/state_chart.hpp>

#include <optional>
#include <string_view>

namespace pollenhall
{

/// Settings of `upstream_life`.
struct upstream_life_options
{
    /// Time without a renewal after which an upstream counts as absent.
    milliseconds lease{3'000};
    /// Time from the first announcement until the warm-up ends.
    milliseconds warm_up{2'000};
};

/// Runs the state chart `charts/upstream.ini`. Not thread-safe.
class upstream_life
{
public:
    /// `chart` must outlive the object.
    upstream_life(state_chart const& chart, upstream_life_options options)
        : chart_(chart), options_(options), state_(chart.initial())
    {
    }

    /// Applies an event; returns whether the current state accepts it.
    bool fire(std::string_view event)
    {
        auto const next = chart_.next(state_, event);
        if (!next)
            return false;
        state_ = *next;
        return true;
    }

    /// Records an announcement or the renewal of one.
    void on_announced(mono_time now)
    {
        if (!accepts_work())
            announced_at_ = now;
        renewed_at_ = now;
        fire("announced");
    }

    /// Fires the events that are due: `silent` when the lease has expired,
    /// `warmed` when the warm-up time is over.
    void tick(mono_time now)
    {
        if (renewed_at_ && now >= *renewed_at_ + options_.lease)
        {
            renewed_at_.reset();
            fire("silent");
        }
        if (is_warming_up() && now >= announced_at_ + options_.warm_up)
            fire("warmed");
    }

    [[nodiscard]] state_code state() const { return state_; }
    [[nodiscard]] std::string_view name() const { return chart_.name(state_); }
    [[nodiscard]] bool accepts_work() const
    {
        return chart_.has_flag(state_, "accepts-work");
    }
    [[nodiscard]] bool is_warming_up() const
    {
        return chart_.has_flag(state_, "warming-up");
    }

private:
    state_chart const& chart_;
    upstream_life_options options_;
    state_code state_;
    // Empty before the first announcement and after the lease has expired.
    std::optional<mono_time> renewed_at_;
    mono_time announced_at_{};
};

} // namespace pollenhall
