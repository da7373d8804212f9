// Implements the retry allowance and the decisions after each attempt.

#include <pollenhall/mesh/attempt_policy.hpp>

#include <pollenhall/trace_context.hpp>

#include <algorithm>
#include <array>
#include <numeric>

namespace pollenhall::mesh
{
namespace
{

// Resolution of a window: a retry is counted for at most this much longer than
// the window lasts.
constexpr milliseconds bucket_length{500};

} // namespace

std::string_view to_string(attempt_end end)
{
    constexpr std::array<std::string_view, 7> names{
        "answered", "failed",    "not_offered", "not_run",
        "unknown",  "timed_out", "quarantined"};
    return names.at(static_cast<std::size_t>(end));
}

retry_allowance::retry_allowance(retry_allowance_options options)
    : options_(options)
{
}

void retry_allowance::set_node_count(std::size_t nodes)
{
    nodes_ = std::max<std::size_t>(1, nodes);
}

std::size_t retry_allowance::window_buckets() const
{
    return static_cast<std::size_t>(options_.window / bucket_length);
}

retry_allowance::history& retry_allowance::advance(service_name const& service,
                                                   mono_time now)
{
    auto& counts = counts_[service];
    auto const bucket = now.time_since_epoch() / bucket_length;
    auto const bucket_count = 2 * window_buckets();
    if (counts.first_attempts.empty())
    {
        counts.first_attempts.assign(bucket_count, 0);
        counts.retries.assign(bucket_count, 0);
        counts.last_bucket = bucket;
    }
    auto const elapsed = std::min<std::int64_t>(
        bucket - counts.last_bucket, static_cast<std::int64_t>(bucket_count));
    for (std::int64_t i = 0; i < elapsed; ++i)
    {
        counts.first_attempts.erase(counts.first_attempts.begin());
        counts.first_attempts.push_back(0);
        counts.retries.erase(counts.retries.begin());
        counts.retries.push_back(0);
    }
    counts.last_bucket = std::max(counts.last_bucket, bucket);
    return counts;
}

bool retry_allowance::within_window_limit(history const& counts,
                                          double fraction, mono_time now) const
{
    bool const is_new = now < options_.full_from;
    auto const slack = is_new ? 0.0 : options_.slack;
    auto const usable =
        is_new ? 1 - options_.usable_fraction : options_.usable_fraction;
    // Every window that contains this moment must stay within the allowance,
    // even if no further request arrives. A window is compared with the first
    // attempts in it, in the window before it, and in the one halfway between.
    auto const size = static_cast<std::ptrdiff_t>(window_buckets());
    auto const sum = [](std::vector<int> const& values, std::ptrdiff_t begin,
                        std::ptrdiff_t end)
    {
        auto const last = static_cast<std::ptrdiff_t>(values.size());
        begin = std::clamp<std::ptrdiff_t>(begin, 0, last);
        end = std::clamp<std::ptrdiff_t>(end, begin, last);
        return std::accumulate(values.begin() + begin, values.begin() + end, 0);
    };
    for (std::ptrdiff_t shift = 0; shift < size; ++shift)
    {
        auto const end = 2 * size + shift;
        auto const max_first_attempts = std::max(
            {sum(counts.first_attempts, end - size, end),
             sum(counts.first_attempts, end - size - size / 2, end - size / 2),
             sum(counts.first_attempts, end - 2 * size, end - size)});
        auto const allowed = usable * fraction *
                             (options_.ratio * max_first_attempts +
                              slack / static_cast<double>(nodes_));
        if (sum(counts.retries, end - size, end) + 1 > allowed)
            return false;
    }
    return true;
}

bool retry_allowance::within_second_limit(history const& counts,
                                          double fraction) const
{
    auto const size = static_cast<std::ptrdiff_t>(window_buckets());
    auto const max_first_attempts =
        std::max(std::accumulate(counts.first_attempts.begin(),
                                 counts.first_attempts.end() - size, 0),
                 std::accumulate(counts.first_attempts.end() - size,
                                 counts.first_attempts.end(), 0));
    auto const recent_retries =
        std::accumulate(counts.retries.end() - seconds{1} / bucket_length,
                        counts.retries.end(), 0);
    return recent_retries + 1 <=
           fraction * (options_.usable_fraction * options_.ratio *
                           max_first_attempts * options_.per_second_fraction +
                       options_.per_second_slack);
}

void retry_allowance::on_first_attempt(service_name const& service,
                                       mono_time now)
{
    ++advance(service, now).first_attempts.back();
}

double retry_allowance::allowed_fraction(call_rank rank) const
{
    double const max_fraction =
        is_urgent(rank) ? 1.0 : 1.0 - options_.urgent_fraction;
    return max_fraction *
           (1.0 - options_.cohort_fraction * rank.cohort / cohort_count);
}

bool retry_allowance::spend(service_name const& service, call_rank rank,
                            mono_time now)
{
    auto& counts = advance(service, now);
    auto const fraction = allowed_fraction(rank);
    if (!within_second_limit(counts, fraction) ||
        !within_window_limit(counts, fraction, now))
        return false;
    ++counts.retries.back();
    return true;
}

void retry_allowance::count_retry(service_name const& service, mono_time now)
{
    ++advance(service, now).retries.back();
}

attempt_policy::attempt_policy(attempt_limits limits) : limits_(limits) {}

void attempt_policy::record_end(attempt_end end)
{
    switch (end)
    {
    case attempt_end::not_offered:
        ++unsent_;
        break;
    case attempt_end::not_run:
        ++rejections_;
        break;
    case attempt_end::quarantined:
        break;
    case attempt_end::answered:
        ++runs_;
        break;
    case attempt_end::failed:
    case attempt_end::unknown:
    case attempt_end::timed_out:
        ++runs_;
        may_have_run_ = true;
        break;
    }
}

bool attempt_policy::may_continue(attempt_end end, bool has_alternative) const
{
    if (may_have_run_ && !limits_.idempotent)
        return false;
    switch (end)
    {
    case attempt_end::answered:
    case attempt_end::timed_out:
    case attempt_end::quarantined:
        return false;
    case attempt_end::not_offered:
        return has_alternative && unsent_ < limits_.max_unsent;
    case attempt_end::not_run:
        return has_alternative && rejections_ < limits_.max_rejections &&
               runs_ < limits_.max_runs;
    case attempt_end::failed:
    case attempt_end::unknown:
        return has_alternative && runs_ < limits_.max_runs;
    }
    return false;
}

next_step attempt_policy::final_step(attempt_end end) const
{
    if (end == attempt_end::answered || end == attempt_end::failed)
        return next_step::deliver;
    if (end == attempt_end::timed_out)
        return next_step::time_out;
    return may_have_run_ ? next_step::report_unknown
                         : next_step::report_not_run;
}

} // namespace pollenhall::mesh
