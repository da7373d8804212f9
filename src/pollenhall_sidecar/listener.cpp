// Implements accepting connections on one address.

#include "listener.hpp"

#include <pollenhall/io/log_event.hpp>

#include <algorithm>

namespace pollenhall::sidecar
{
namespace
{

// Queue length of pending connections in the kernel. It must hold a burst of
// new callers: a dropped connection attempt is delayed by seconds.
constexpr int listen_backlog = 4'096;
// Delay after an accept error, such as running out of file descriptors.
constexpr milliseconds accept_retry_delay{50};

} // namespace

listener::listener(asio::io_context& context, deadline_timers& timers,
                   server_handlers handlers)
    : context_(context), timers_(timers), acceptor_(context),
      retry_timer_(context),
      handlers_(std::make_shared<server_handlers const>(std::move(handlers)))
{
}

absl::Status listener::open(asio::ip::tcp::endpoint const& address)
{
    std::error_code error;
    acceptor_.open(address.protocol(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(address, error);
    if (!error)
        acceptor_.listen(listen_backlog, error);
    if (error)
        return absl::UnavailableError(
            "cannot listen on " + address.address().to_string() + ":" +
            std::to_string(address.port()) + ": " + error.message());
    acceptor_.non_blocking(true, error);
    accept();
    return absl::OkStatus();
}

void listener::accept()
{
    acceptor_.async_accept(
        [this](std::error_code error, asio::ip::tcp::socket socket)
        {
            if (!acceptor_.is_open() || error == asio::error::operation_aborted)
                return;
            if (error)
            {
                log_event("accept_failed", log_level::warning)
                    .add("error", error.message());
                retry_timer_.expires_after(accept_retry_delay);
                retry_timer_.async_wait(
                    [this](std::error_code stopped)
                    {
                        if (!stopped)
                            accept();
                    });
                return;
            }
            auto const connection = std::make_shared<server_connection>(
                std::move(socket), timers_, handlers_);
            if (connections_.size() >= prune_threshold_)
            {
                std::erase_if(connections_,
                              [](auto const& item) { return item.expired(); });
                prune_threshold_ =
                    std::max<std::size_t>(64, 2 * connections_.size());
            }
            connections_.push_back(connection);
            connection->start();
            accept();
        });
}

void listener::stop_accepting()
{
    std::error_code error;
    // An error is ignored; the process is about to exit.
    acceptor_.close(error);
}

bool listener::is_idle() const
{
    return std::all_of(connections_.begin(), connections_.end(),
                       [](auto const& item)
                       {
                           auto const connection = item.lock();
                           return !connection || connection->is_closed() ||
                                  connection->is_idle();
                       });
}

void listener::close_when_idle()
{
    for (auto const& item : connections_)
        if (auto const connection = item.lock())
            connection->close_when_idle();
}

} // namespace pollenhall::sidecar
