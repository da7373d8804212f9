// Opens the Thrift connection to a node and logs in.

#include "operator_connection.hpp"

#include <pollenhall/io/node_settings.hpp>

#include <stdexcept>

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

namespace pollenhall
{
namespace
{
constexpr int connect_timeout_ms = 2'000;
constexpr int call_timeout_ms = 10'000;
} // namespace

operator_connection::operator_connection(std::string const& node,
                                         operator_login const& login)
{
    using apache::thrift::TConfiguration;
    using apache::thrift::protocol::TBinaryProtocol;
    using apache::thrift::transport::TBufferedTransport;
    using apache::thrift::transport::TSocket;
    auto const endpoint = parse_endpoint(node);
    if (!endpoint)
        throw std::invalid_argument("--node is '" + node +
                                    "'; expected IP:PORT");
    auto const socket =
        std::make_shared<TSocket>(endpoint->address, endpoint->port);
    socket->setConnTimeout(connect_timeout_ms);
    socket->setRecvTimeout(call_timeout_ms);
    socket->setSendTimeout(call_timeout_ms);
    auto const transport = std::make_shared<TBufferedTransport>(socket);
    transport->open();
    auto const protocol = std::make_shared<TBinaryProtocol>(transport);
    // The protocol would allocate any announced size, and take the first bytes
    // of an answer without a version for one.
    protocol->setStringSizeLimit(TConfiguration::DEFAULT_MAX_MESSAGE_SIZE);
    protocol->setStrict(true, true);
    client_ = std::make_unique<rpc::operator_serviceClient>(protocol);
    client_->log_in(login.name, login.key);
}

} // namespace pollenhall
