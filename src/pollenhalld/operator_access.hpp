// Authentication and authorization of the operator of one connection.

#pragma once

#include "node_view.hpp"

#include <pollenhall/operator_rights.hpp>

#include <absl/status/status.h>

#include <optional>
#include <string>
#include <string_view>

namespace pollenhall
{

/// The operator logged in on one connection. Rights are looked up for each
/// call, so a revoked key stops working at once. Not thread-safe.
class operator_access
{
public:
    /// `platform_key_hash` is the hash of the platform operator's key. Both
    /// arguments must outlive the object.
    operator_access(std::string const& platform_key_hash,
                    view_holder const& view)
        : platform_key_hash_(platform_key_hash), view_(view)
    {
    }

    /// Logs in. Returns PermissionDenied if the name or the key is wrong; then
    /// nobody is logged in.
    absl::Status log_in(std::string const& name, std::string_view key);

    /// Returns the operator that is logged in; empty if there is none or its
    /// key has been revoked.
    [[nodiscard]] std::optional<operator_identity> identity() const;

    /// Returns PermissionDenied, naming the missing right, unless the operator
    /// has `right` for the data of `owner`. A denial is logged with the name of
    /// the RPC, `call`.
    [[nodiscard]] absl::Status require(operator_right right,
                                       member_name const& owner,
                                       std::string_view call) const;
    /// Returns PermissionDenied, and logs it, if no operator is logged in.
    [[nodiscard]] absl::Status require_log_in(std::string_view call) const;

private:
    std::string const& platform_key_hash_;
    view_holder const& view_;
    std::string name_;
    std::string key_hash_;
};

} // namespace pollenhall
