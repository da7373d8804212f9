// Sums and updates the request and usage counters.

#include <pollenhall/board.hpp>

namespace pollenhall
{

usage_counts& usage_counts::operator+=(usage_counts const& other)
{
    offered += other.offered;
    completed_in_time += other.completed_in_time;
    completed_late += other.completed_late;
    not_run += other.not_run;
    unknown += other.unknown;
    retries += other.retries;
    shed += other.shed;
    upstream_runs += other.upstream_runs;
    runs_for_others += other.runs_for_others;
    lent_ms += other.lent_ms;
    runs_borrowed += other.runs_borrowed;
    borrowed_ms += other.borrowed_ms;
    return *this;
}

void board::add(board const& other)
{
    for (auto const& [key, counts] : other.rows())
        rows_[key] += counts;
}

void count_outcome(usage_counts& counts, outcome what,
                   std::optional<refusal> reason, bool in_time)
{
    switch (what)
    {
    case outcome::completed:
        ++(in_time ? counts.completed_in_time : counts.completed_late);
        break;
    case outcome::not_run:
        ++counts.not_run;
        if (reason == refusal::shed || reason == refusal::queue_timeout)
            ++counts.shed;
        break;
    case outcome::unknown:
        ++counts.unknown;
        break;
    }
}

} // namespace pollenhall
