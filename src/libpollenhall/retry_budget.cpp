// Implements the retry budget, the retry ratio and the retry backoff.

#include <pollenhall/retry_budget.hpp>

#include <algorithm>

namespace pollenhall
{

retry_budget::retry_budget(retry_count total)
    : unspent_(std::max(total, retry_count(0)))
{
}

bool retry_budget::spend()
{
    if (unspent_.value() == 0)
        return false;
    unspent_ = retry_count(unspent_.value() - 1);
    return true;
}

retry_count retry_budget::lend(retry_count amount)
{
    amount = std::clamp(amount, retry_count(0), unspent_);
    unspent_ = retry_count(unspent_.value() - amount.value());
    outstanding_ = retry_count(outstanding_.value() + amount.value());
    return amount;
}

void retry_budget::give_back(retry_count returned, retry_count lent)
{
    auto const accepted = std::clamp(
        returned.value(), 0, std::min(lent.value(), outstanding_.value()));
    unspent_ = retry_count(unspent_.value() + accepted);
    outstanding_ = retry_count(outstanding_.value() -
                               std::min(lent.value(), outstanding_.value()));
}

retry_ratio::retry_ratio(retry_ratio_options options)
    : options_(options), tokens_(options.burst)
{
}

void retry_ratio::on_first_attempt()
{
    tokens_ = std::min(options_.burst, tokens_ + options_.ratio);
}

bool retry_ratio::spend()
{
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

milliseconds retry_backoff(int attempt, std::uint64_t random,
                           backoff_options options)
{
    constexpr int max_doublings = 16;
    auto const doublings = std::clamp(attempt - 1, 0, max_doublings);
    auto const bound = std::min(options.cap, options.base * (1 << doublings));
    auto const delay_count = static_cast<std::uint64_t>(bound.count()) + 1;
    return milliseconds(static_cast<std::int64_t>(random % delay_count));
}

} // namespace pollenhall
