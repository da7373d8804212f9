// Authentication and authorization of operators.

#include "operator_access.hpp"

#include <pollenhall/io/log_event.hpp>
#include <pollenhall/io/operator_key.hpp>

namespace pollenhall
{
namespace
{

absl::Status deny(std::string const& name, std::string_view call,
                  std::string const& message)
{
    log_event("operator_refused", log_level::warning)
        .add("operator", name)
        .add("call", call)
        .add("reason", message);
    return absl::PermissionDeniedError(message);
}

} // namespace

absl::Status operator_access::log_in(std::string const& name,
                                     std::string_view key)
{
    name_ = name;
    key_hash_ = hash_operator_key(key);
    if (identity())
        return absl::OkStatus();
    key_hash_.clear();
    return deny(name, "log_in", "the operator's name or key is wrong");
}

std::optional<operator_identity> operator_access::identity() const
{
    if (name_ == platform_operator)
    {
        if (!is_same_hash(platform_key_hash_, key_hash_))
            return std::nullopt;
        return operator_identity{.name = name_, .member = {}, .rights = {}};
    }
    auto const view = view_.get();
    for (auto const& member : view->declarations->members())
    {
        for (auto const& grant : member.operators)
        {
            if (member.name.value() + "/" + grant.name == name_ &&
                is_same_hash(grant.key_hash, key_hash_))
                return operator_identity{.name = name_,
                                         .member = member.name,
                                         .rights = grant.rights};
        }
    }
    return std::nullopt;
}

absl::Status operator_access::require(operator_right right,
                                      member_name const& owner,
                                      std::string_view call) const
{
    if (auto status = require_log_in(call); !status.ok())
        return status;
    auto const logged_in = identity();
    if (logged_in && logged_in->may(right, owner))
        return absl::OkStatus();
    return deny(name_, call,
                "operator '" + name_ + "' lacks the right '" +
                    std::string(to_string(right)) + "' for member '" +
                    owner.value() + "'");
}

absl::Status operator_access::require_log_in(std::string_view call) const
{
    if (identity())
        return absl::OkStatus();
    return deny(name_, call, "no operator is logged in");
}

} // namespace pollenhall
