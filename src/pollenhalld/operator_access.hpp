// Decides who an operator is and what it may do, for one connection.

#pragma once

#include "node_view.hpp"

#include <pollenhall/operator_rights.hpp>

#include <absl/status/status.h>

#include <optional>
#include <string>
#include <string_view>

namespace pollenhall
{

/// One operator's connection. Rights are looked up anew for each call, so
/// that a key which is taken away stops working at once. Not thread-safe.
class operator_access
{
public:
    /// `platform_key_hash` and `view` must outlive the object.
    operator_access(std::string const& platform_key_hash,
                    view_holder const& view)
        : platform_key_hash_(platform_key_hash), view_(view)
    {
    }

    /// Logs in; PermissionDenied if the name or the key is wrong.
    absl::Status log_in(std::string const& name, std::string_view key);

    /// Who is logged in; empty if nobody is, or no longer.
    [[nodiscard]] std::optional<operator_identity> identity() const;

    /// PermissionDenied, with the right that is missing, if the operator may
    /// not do `call` to the data of `owner`. A refusal is logged.
    [[nodiscard]] absl::Status require(operator_right right,
                                       member_name const& owner,
                                       std::string_view call) const;
    /// PermissionDenied if nobody is logged in.
    [[nodiscard]] absl::Status require_log_in(std::string_view call) const;

private:
    std::string const& platform_key_hash_;
    view_holder const& view_;
    std::string name_;
    std::string key_hash_;
};

} // namespace pollenhall
