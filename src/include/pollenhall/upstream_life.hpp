// Life of the upstream beside a node, as its state chart has it: announced,
// warm, draining, silent.

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
    /// Time after which an upstream that does not renew is gone.
    milliseconds lease{3'000};
    /// Time from the first announcement until it counts as warm.
    milliseconds warm_up{2'000};
};

/// Interprets `charts/upstream.ini`. Not thread-safe.
class upstream_life
{
public:
    /// `chart` must outlive the object.
    upstream_life(state_chart const& chart, upstream_life_options options)
        : chart_(chart), options_(options), state_(chart.initial())
    {
    }

    /// Fires an event; returns whether the state accepts it.
    bool fire(std::string_view event)
    {
        auto const next = chart_.next(state_, event);
        if (!next)
            return false;
        state_ = *next;
        return true;
    }

    /// Notes an announcement or renewal.
    void on_announced(mono_time now)
    {
        if (!accepts_work())
            announced_ = now;
        renewed_ = now;
        fire("announced");
    }

    /// Fires what is due: `silent` when the lease is over, `warmed` after the
    /// time to warm up.
    void tick(mono_time now)
    {
        if (renewed_ && now >= *renewed_ + options_.lease)
        {
            renewed_.reset();
            fire("silent");
        }
        if (is_warming_up() && now >= announced_ + options_.warm_up)
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
    // Empty while the upstream is silent.
    std::optional<mono_time> renewed_;
    mono_time announced_{};
};

} // namespace pollenhall
