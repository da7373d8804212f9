// Past answers by route.

#include <pollenhall/mesh/answer_record.hpp>

#include <algorithm>
#include <cmath>

namespace pollenhall::mesh
{

answer_record::answer_record(answer_record_options options) : options_(options)
{
}

void answer_record::note_failure(record& past, bool failed) const
{
    past.failing += ((failed ? 1.0 : 0.0) - past.failing) * options_.weight;
}

void answer_record::on_answer(route_name const& route, microseconds took,
                              bool failed)
{
    auto& past = records_[route];
    note_failure(past, failed);
    if (failed)
        return;
    auto const ms = std::chrono::duration<double, std::milli>(took).count();
    if (past.answers == 0)
    {
        past.mean_ms = ms;
        past.deviation_ms = ms / 2;
    }
    past.deviation_ms +=
        (std::abs(ms - past.mean_ms) - past.deviation_ms) * options_.weight;
    past.mean_ms += (ms - past.mean_ms) * options_.weight;
    past.answers = std::min(past.answers + 1, options_.least_answers);
}

void answer_record::on_failure(route_name const& route)
{
    note_failure(records_[route], true);
}

answer_record::record const* answer_record::find(route_name const& route) const
{
    auto const found = records_.find(route);
    return found == records_.end() ? nullptr : &found->second;
}

std::optional<milliseconds>
answer_record::patience(route_name const& route) const
{
    auto const* past = find(route);
    if (past == nullptr || past->answers < options_.least_answers)
        return std::nullopt;
    return std::max(
        options_.least_patience,
        milliseconds(static_cast<std::int64_t>(
            past->mean_ms + options_.deviations * past->deviation_ms)));
}

bool answer_record::failures_are_rare(route_name const& route) const
{
    auto const* past = find(route);
    return past != nullptr && past->answers >= options_.least_answers &&
           past->failing <= options_.rare_share;
}

} // namespace pollenhall::mesh
