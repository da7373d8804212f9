// Ring buffer of decisions and the names of decision points.

#include <pollenhall/decision_log.hpp>

#include <pollenhall/name_table.hpp>

#include <array>

namespace pollenhall
{
namespace
{
constexpr std::array<std::string_view, 4> point_names{"entry", "try", "home",
                                                      "upstream"};
} // namespace

std::string_view to_string(decision_point value)
{
    return point_names.at(static_cast<std::size_t>(value));
}

std::optional<decision_point> parse_decision_point(std::string_view name)
{
    return find_by_name<decision_point>(point_names, name);
}

void decision_log::add(decision_record record)
{
    if (records_.size() < capacity_)
    {
        records_.push_back(std::move(record));
        return;
    }
    records_[oldest_index_] = std::move(record);
    oldest_index_ = (oldest_index_ + 1) % capacity_;
}

std::vector<decision_record> decision_log::find(std::string_view trace_id) const
{
    std::vector<decision_record> found;
    for (std::size_t i = 0; i < records_.size(); ++i)
    {
        auto const& record = records_[(oldest_index_ + i) % records_.size()];
        if (record.trace_id == trace_id)
            found.push_back(record);
    }
    return found;
}

} // namespace pollenhall
