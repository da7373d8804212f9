// A connection to the operator port of a node.

#pragma once

#include "operator_login.hpp"

#include <operator_service.h>

#include <memory>
#include <string>

namespace pollenhall
{

/// Connects and logs in on construction. Errors are Thrift exceptions.
class operator_connection
{
public:
    /// `node` is IP:PORT; throws std::invalid_argument if it is malformed.
    operator_connection(std::string const& node, operator_login const& login);

    rpc::operator_serviceClient* operator->() { return client_.get(); }

private:
    std::unique_ptr<rpc::operator_serviceClient> client_;
};

} // namespace pollenhall
