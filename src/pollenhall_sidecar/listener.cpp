// Accepts connections at one address.

#include "listener.hpp"

#include <pollenhall/io/log_event.hpp>

namespace pollenhall::sidecar
{
namespace
{

// Connections that the kernel holds until they are accepted: a burst of new
// callers must not be dropped, which would delay them by seconds.
constexpr int backlog = 4'096;
// Pause after a failure to accept, such as no descriptor left.
constexpr milliseconds accept_pause{50};

} // namespace

listener::listener(asio::io_context& context, deadline_timers& timers,
                   server_handlers handlers)
    : context_(context), timers_(timers), acceptor_(context), retry_(context),
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
        acceptor_.listen(backlog, error);
    if (error)
        return absl::UnavailableError(
            "cannot listen at " + address.address().to_string() + ":" +
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
                retry_.expires_after(accept_pause);
                retry_.async_wait(
                    [this](std::error_code stopped)
                    {
                        if (!stopped)
                            accept();
                    });
                return;
            }
            auto const connection = std::make_shared<server_connection>(
                std::move(socket), timers_, handlers_);
            if (open_.size() >= prune_at_)
            {
                std::erase_if(open_,
                              [](auto const& item) { return item.expired(); });
                prune_at_ = std::max<std::size_t>(64, 2 * open_.size());
            }
            open_.push_back(connection);
            connection->start();
            accept();
        });
}

void listener::stop_accepting()
{
    std::error_code error;
    // Nothing depends on it if closing fails; the process is about to end.
    acceptor_.close(error);
}

void listener::close_idle()
{
    for (auto const& item : open_)
        if (auto const connection = item.lock())
            connection->close_when_idle();
}

} // namespace pollenhall::sidecar
