// Implements `peer_links`: accepts, opens, checks and closes connections.

#include "peer_connection.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>
#include <pollenhall/io/peer_links.hpp>
#include <pollenhall/io/wire_codec.hpp>
#include <pollenhall/version.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <vector>

namespace pollenhall
{

using asio::ip::tcp;
using connection_pointer = std::shared_ptr<peer_connection>;

class peer_links::implementation
{
public:
    implementation(asio::io_context& context, peer_links_options options,
                   handlers callbacks)
        : context_(&context), options_(std::move(options)),
          callbacks_(std::move(callbacks)), acceptor_(context),
          check_timer_(context)
    {
    }

    absl::Status listen();
    void close();
    correlation_id call(peer_endpoint const& to, forwarded_call const& call,
                        call_handler handler);
    void cancel(peer_endpoint const& to, correlation_id id);
    void post(peer_endpoint const& to, wire::frame const& frame);
    void reply(link_id link, wire::frame const& frame);
    void reply_to_all(wire::frame const& frame);
    [[nodiscard]] std::size_t unsent() const;
    [[nodiscard]] link_counters const& counters() const { return counters_; }

private:
    void accept_next();
    void add_accepted(tcp::socket socket);
    connection_pointer make_connection(tcp::socket socket);
    connection_pointer connection_to(peer_endpoint const& to);
    void connect(connection_pointer const& connection, peer_endpoint const& to);
    void on_connected(connection_pointer const& connection,
                      peer_endpoint const& to, asio::error_code error);
    void send_cancel(peer_connection& connection, correlation_id id);
    std::string hello() const;
    void on_frame(peer_connection& connection, wire::frame&& frame);
    void handle_hello(peer_connection& connection, wire::hello const& hello);
    void on_closed(peer_connection& connection);
    void on_retired(peer_connection& connection);
    void schedule_check();
    void check_all();

    asio::io_context* context_;
    peer_links_options options_;
    handlers callbacks_;
    tcp::acceptor acceptor_;
    asio::steady_timer check_timer_;
    link_counters counters_;
    std::uint64_t next_link_ = 1;
    std::int64_t next_call_ = 1;
    bool closed_ = false;
    // Outgoing connections, one for each peer.
    std::map<peer_endpoint, connection_pointer> opened_;
    // Outgoing connections to peers that stopped responding. They are kept only
    // for the calls that still wait for an answer.
    std::map<link_id, connection_pointer> retired_;
    // Incoming connections.
    std::map<link_id, connection_pointer> accepted_;
};

absl::Status peer_links::implementation::listen()
{
    asio::error_code error;
    auto const address = asio::ip::make_address(options_.listen.address, error);
    if (error)
        return absl::InvalidArgumentError("address " + options_.listen.address +
                                          " is not an IP address");
    tcp::endpoint const endpoint(
        address, static_cast<std::uint16_t>(options_.listen.port));
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return absl::UnavailableError(
            "cannot listen on " + options_.listen.address + ":" +
            std::to_string(options_.listen.port) + ": " + error.message());
    accept_next();
    schedule_check();
    return absl::OkStatus();
}

void peer_links::implementation::accept_next()
{
    acceptor_.async_accept(
        [this](asio::error_code error, tcp::socket socket)
        {
            if (closed_)
                return;
            if (!error)
                add_accepted(std::move(socket));
            accept_next();
        });
}

void peer_links::implementation::add_accepted(tcp::socket socket)
{
    if (accepted_.size() >= options_.max_accepted_connections)
    {
        log_event("peer_link_refused", log_level::warning)
            .add("reason", "too many connections");
        return;
    }
    auto const connection = make_connection(std::move(socket));
    accepted_.emplace(connection->id(), connection);
    connection->send(hello());
    connection->start();
}

connection_pointer
peer_links::implementation::make_connection(tcp::socket socket)
{
    return std::make_shared<peer_connection>(
        std::move(socket), link_id(next_link_++), options_.monitor, counters_,
        peer_connection::handlers{
            .on_frame = [this](peer_connection& connection, wire::frame&& frame)
            { on_frame(connection, std::move(frame)); },
            .on_closed = [this](peer_connection& connection)
            { on_closed(connection); },
            .on_retired = [this](peer_connection& connection)
            { on_retired(connection); }});
}

std::string peer_links::implementation::hello() const
{
    wire::frame frame;
    frame.__set_hello_message({});
    frame.hello_message.protocol_version = protocol_version;
    frame.hello_message.node = options_.node.value();
    frame.hello_message.boot = options_.boot.value();
    frame.hello_message.zone = options_.zone.value();
    return encode_frame(frame);
}

connection_pointer
peer_links::implementation::connection_to(peer_endpoint const& to)
{
    auto const found = opened_.find(to);
    if (found != opened_.end())
        return found->second;
    auto connection = make_connection(tcp::socket(*context_));
    opened_.emplace(to, connection);
    connection->send(hello());
    connect(connection, to);
    return connection;
}

void peer_links::implementation::connect(connection_pointer const& connection,
                                         peer_endpoint const& to)
{
    asio::error_code error;
    auto const address = asio::ip::make_address(to.address, error);
    if (error)
    {
        connection->close();
        return;
    }
    ++counters_.links_opened;
    auto const timer = std::make_shared<asio::steady_timer>(
        *context_, options_.connect_timeout);
    timer->async_wait(
        [connection](asio::error_code timer_error)
        {
            if (!timer_error)
                connection->close();
        });
    connection->socket().async_connect(
        tcp::endpoint(address, static_cast<std::uint16_t>(to.port)),
        [this, connection, to, timer](asio::error_code connect_error)
        {
            timer->cancel();
            on_connected(connection, to, connect_error);
        });
}

void peer_links::implementation::on_connected(
    connection_pointer const& connection, peer_endpoint const& to,
    asio::error_code error)
{
    if (connection->is_closed())
        return;
    if (!error)
    {
        connection->start();
        return;
    }
    if (error == asio::error::connection_refused)
        callbacks_.on_refused(to);
    connection->close();
}

void peer_links::implementation::on_frame(peer_connection& connection,
                                          wire::frame&& frame)
{
    if (frame.__isset.hello_message)
        handle_hello(connection, frame.hello_message);
    else
        callbacks_.on_frame(connection.id(), std::move(frame));
}

void peer_links::implementation::handle_hello(peer_connection& connection,
                                              wire::hello const& hello)
{
    connection.peer = node_id(hello.node);
    if (hello.protocol_version == protocol_version)
        return;
    ++counters_.frames_refused;
    log_event("peer_version_refused", log_level::warning)
        .add("peer", hello.node)
        .add("version", hello.protocol_version);
    connection.close();
}

void peer_links::implementation::on_closed(peer_connection& connection)
{
    if (accepted_.erase(connection.id()) > 0)
    {
        callbacks_.on_closed(connection.id());
        return;
    }
    if (retired_.erase(connection.id()) > 0)
        return;
    std::erase_if(opened_, [&](auto const& item)
                  { return item.second->id() == connection.id(); });
}

void peer_links::implementation::on_retired(peer_connection& connection)
{
    retired_.emplace(connection.id(), connection.shared_from_this());
    std::erase_if(opened_, [&](auto const& item)
                  { return item.second->id() == connection.id(); });
}

correlation_id peer_links::implementation::call(peer_endpoint const& to,
                                                forwarded_call const& call,
                                                call_handler handler)
{
    auto const id = correlation_id(next_call_++);
    wire::frame frame;
    frame.__set_request(to_wire(call, id, mono_now()));
    // A copy of the pointer, because sending may erase the map entry.
    auto const connection = connection_to(to);
    // A delegated call must not run on a second node, so its sender keeps
    // waiting for the actual outcome.
    connection->send_call(encode_frame(frame), id,
                          {.handler = std::move(handler),
                           .wait_after_retirement = call.delegated});
    return id;
}

void peer_links::implementation::cancel(peer_endpoint const& to,
                                        correlation_id id)
{
    std::vector<connection_pointer> candidates;
    if (auto const found = opened_.find(to); found != opened_.end())
        candidates.push_back(found->second);
    for (auto const& [link, connection] : retired_)
        candidates.push_back(connection);
    for (auto const& connection : candidates)
    {
        auto const removed = connection->remove_call(id);
        if (removed == removed_call::not_found)
            continue;
        if (removed == removed_call::sent)
            send_cancel(*connection, id);
        return;
    }
}

void peer_links::implementation::send_cancel(peer_connection& connection,
                                             correlation_id id)
{
    wire::frame frame;
    frame.__set_cancel({});
    frame.cancel.call_id = id.value();
    connection.send(encode_frame(frame));
}

void peer_links::implementation::post(peer_endpoint const& to,
                                      wire::frame const& frame)
{
    auto const connection = connection_to(to);
    connection->send(encode_frame(frame));
}

void peer_links::implementation::reply(link_id link, wire::frame const& frame)
{
    auto const found = accepted_.find(link);
    if (found != accepted_.end())
    {
        found->second->send(encode_frame(frame));
        return;
    }
    for (auto const& [endpoint, connection] : opened_)
    {
        if (connection->id() == link)
        {
            connection->send(encode_frame(frame));
            return;
        }
    }
}

void peer_links::implementation::reply_to_all(wire::frame const& frame)
{
    auto const bytes = encode_frame(frame);
    for (auto const& [id, connection] : accepted_)
        connection->send(bytes);
}

std::size_t peer_links::implementation::unsent() const
{
    std::size_t count = 0;
    for (auto const& [id, connection] : accepted_)
        count += connection->unsent();
    return count;
}

void peer_links::implementation::schedule_check()
{
    check_timer_.expires_after(options_.check_interval);
    check_timer_.async_wait(
        [this](asio::error_code error)
        {
            if (error || closed_)
                return;
            check_all();
            schedule_check();
        });
}

void peer_links::implementation::check_all()
{
    auto const now = mono_now();
    std::vector<connection_pointer> connections;
    for (auto const& [endpoint, connection] : opened_)
        connections.push_back(connection);
    for (auto const& connection : connections)
    {
        connection->check(now);
        if (connection->is_idle_since(now - options_.idle_timeout))
            connection->close();
    }
}

void peer_links::implementation::close()
{
    closed_ = true;
    asio::error_code ignored;
    acceptor_.close(ignored);
    check_timer_.cancel();
    std::vector<connection_pointer> connections;
    for (auto const& [endpoint, connection] : opened_)
        connections.push_back(connection);
    for (auto const& [id, connection] : accepted_)
        connections.push_back(connection);
    for (auto const& [id, connection] : retired_)
        connections.push_back(connection);
    for (auto const& connection : connections)
        connection->close();
}

peer_links::peer_links(asio::io_context& context, peer_links_options options,
                       handlers callbacks)
    : implementation_(std::make_unique<implementation>(
          context, std::move(options), std::move(callbacks)))
{
}

peer_links::~peer_links() = default;

absl::Status peer_links::listen()
{
    return implementation_->listen();
}

void peer_links::close()
{
    implementation_->close();
}

correlation_id peer_links::call(peer_endpoint const& to,
                                forwarded_call const& call,
                                call_handler handler)
{
    return implementation_->call(to, call, std::move(handler));
}

void peer_links::cancel(peer_endpoint const& to, correlation_id id)
{
    implementation_->cancel(to, id);
}

void peer_links::post(peer_endpoint const& to, wire::frame const& frame)
{
    implementation_->post(to, frame);
}

void peer_links::reply(link_id link, wire::frame const& frame)
{
    implementation_->reply(link, frame);
}

void peer_links::reply_to_all(wire::frame const& frame)
{
    implementation_->reply_to_all(frame);
}

std::size_t peer_links::unsent() const
{
    return implementation_->unsent();
}

link_counters const& peer_links::counters() const
{
    return implementation_->counters();
}

} // namespace pollenhall
