// Maps the outcomes of store calls to metric labels.

#include "counted_store.hpp"

namespace pollenhall::sidecar
{
namespace
{

std::string_view outcome_of(absl::Status const& status)
{
    switch (status.code())
    {
    case absl::StatusCode::kOk:
        return "ok";
    case absl::StatusCode::kOutOfRange:
        return "history_gone";
    case absl::StatusCode::kFailedPrecondition:
        return "conflict";
    case absl::StatusCode::kResourceExhausted:
        return "over_limit";
    case absl::StatusCode::kUnknown:
        return "unknown";
    case absl::StatusCode::kUnavailable:
        return "unavailable";
    default:
        return "failed";
    }
}

} // namespace

counted_store::counted_store(shared_store& store, node_metrics& metrics)
    : store_(store), metrics_(metrics)
{
}

template <class Value>
shared_store::handler<Value> counted_store::counted(std::string_view call,
                                                    handler<Value> on_end)
{
    return [this, call, on_end = std::move(on_end)](absl::StatusOr<Value> value)
    {
        metrics_.record_store_call(call, outcome_of(value.status()));
        on_end(std::move(value));
    };
}

void counted_store::read(std::string const& prefix, handler<store_items> on_end)
{
    store_.read(prefix, counted("read", std::move(on_end)));
}

void counted_store::watch(std::string const& prefix, store_revision after,
                          milliseconds wait, handler<store_items> on_end)
{
    store_.watch(prefix, after, wait, counted("watch", std::move(on_end)));
}

void counted_store::write(std::string const& key, std::string const& value,
                          store_revision expected,
                          handler<store_revision> on_end)
{
    store_.write(key, value, expected, counted("write", std::move(on_end)));
}

void counted_store::remove(std::string const& key, store_revision expected,
                           handler<store_revision> on_end)
{
    store_.remove(key, expected, counted("remove", std::move(on_end)));
}

} // namespace pollenhall::sidecar
