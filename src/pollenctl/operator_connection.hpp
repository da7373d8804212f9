// A connection to the operator port of a node.

#pragma once

#include <operator_service.h>

#include <memory>
#include <string>

namespace pollenhall
{

/// Connects on construction; throws Thrift's exceptions.
class operator_connection
{
public:
    /// `node` is IP:PORT; std::invalid_argument if it is malformed.
    explicit operator_connection(std::string const& node);

    rpc::operator_serviceClient* operator->() { return client_.get(); }

private:
    std::unique_ptr<rpc::operator_serviceClient> client_;
};

} // namespace pollenhall
