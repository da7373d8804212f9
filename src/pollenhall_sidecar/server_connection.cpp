// Implements the server side of one HTTP/1.1 connection.

#include "server_connection.hpp"

#include <pollenhall/io/clocks.hpp>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace pollenhall::sidecar
{
namespace
{

// Read-ahead at which reading pauses until the current response is written;
// enough for a few small pipelined requests.
constexpr std::size_t max_read_ahead_bytes = 16'384;
// Bodies up to this size are read even if the memory budget is exhausted, since
// rejecting them takes about as much memory.
constexpr std::size_t small_body_bytes = 16'384;
// Time for which input is read and discarded after the last response, so that
// the response is not lost to a TCP reset.
constexpr milliseconds linger_timeout{500};

} // namespace

server_connection::server_connection(
    asio::ip::tcp::socket socket, deadline_timers& timers,
    std::shared_ptr<server_handlers const> handlers)
    : socket_(std::move(socket)), timers_(timers),
      handlers_(std::move(handlers)), limits_(handlers_->limits()),
      reader_(mesh::http_reader::direction::request, limits_.reader),
      memory_budget_(handlers_->memory_budget
                         ? handlers_->memory_budget
                         : std::make_shared<mesh::byte_budget>()),
      memory_charge_(*memory_budget_)
{
    std::error_code error;
    auto const remote = socket_.remote_endpoint(error);
    if (!error)
        remote_host_ = remote.address().to_string();
    // An error here is reported again by the first read or write.
    socket_.set_option(asio::ip::tcp::no_delay(true), error);
    socket_.non_blocking(true, error);
}

void server_connection::start()
{
    restart_idle_period();
    read();
}

void server_connection::restart_idle_period()
{
    idle_since_ = mono_now();
    if (!idle_timer_)
        schedule_idle_check(idle_since_ + limits_.idle_timeout);
}

void server_connection::schedule_idle_check(mono_time time)
{
    // The timer is not reset for each request. If it fires early, check_idle
    // schedules it again.
    idle_timer_ = timers_.at(time,
                             [weak = weak_from_this()]
                             {
                                 if (auto self = weak.lock())
                                     self->check_idle();
                             });
}

void server_connection::check_idle()
{
    idle_timer_.reset();
    if (closed_ || lingering_)
        return;
    auto const now = mono_now();
    if (!is_idle())
        return schedule_idle_check(now + limits_.idle_timeout);
    if (now - idle_since_ >= limits_.idle_timeout)
        return close();
    schedule_idle_check(idle_since_ + limits_.idle_timeout);
}

void server_connection::read()
{
    if (reading_ || closed_)
        return;
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](std::error_code error, std::size_t size)
        { self->on_read(error, size); });
}

void server_connection::on_read(std::error_code error, std::size_t size)
{
    reading_ = false;
    if (closed_)
        return;
    if (error)
    {
        close();
        return;
    }
    if (lingering_)
    {
        read();
        return;
    }
    read_ahead_.append(buffer_.data(), size);
    if (!serving_ && !writing_)
        parse();
    if (!closed_ && read_ahead_.size() < max_read_ahead_bytes)
        read();
}

void server_connection::parse()
{
    bool const was_started = reader_.started();
    std::string_view rest = read_ahead_;
    auto const status = reader_.feed(rest);
    read_ahead_.erase(0, read_ahead_.size() - rest.size());
    memory_charge_.set(reader_.body_size());
    switch (status)
    {
    case mesh::read_status::need_more:
        if (handlers_->reject_large_bodies &&
            memory_charge_.bytes() > small_body_bytes &&
            memory_budget_->exhausted())
            return on_request_error(request_error::no_memory);
        if (!was_started && reader_.started())
        {
            timers_.cancel(timeout_timer_);
            timeout_timer_ = timers_.after(
                limits_.header_timeout,
                [weak = weak_from_this()]
                {
                    auto self = weak.lock();
                    if (self && !self->serving_ && !self->writing_ &&
                        !self->reader_.header_complete())
                        self->on_request_error(request_error::header_timeout);
                });
        }
        if (reader_.header_complete() && reader_.expects_continue() &&
            !sent_continue_)
        {
            sent_continue_ = true;
            output_ = "HTTP/1.1 100 Continue\r\n\r\n";
            bytes_written_ = 0;
            writing_ = true;
            write();
        }
        return;
    case mesh::read_status::complete:
        break;
    case mesh::read_status::header_too_large:
        return on_request_error(request_error::header_too_large);
    case mesh::read_status::body_too_large:
        return on_request_error(request_error::body_too_large);
    case mesh::read_status::malformed:
        return on_request_error(request_error::malformed);
    }
    timers_.cancel(timeout_timer_);
    serving_ = true;
    sent_continue_ = false;
    auto request = reader_.take_request();
    close_after_response_ = close_after_response_ || !request.keep_alive;
    handlers_->on_request(shared_from_this(), std::move(request));
}

void server_connection::on_request_error(request_error error)
{
    timers_.cancel(timeout_timer_);
    serving_ = true;
    respond(handlers_->on_request_error(error), true);
}

void server_connection::respond(std::string response, bool close)
{
    on_disconnect_ = nullptr;
    if (closed_ || !serving_)
        return;
    serving_ = false;
    close_after_response_ = close_after_response_ || close;
    output_ = std::move(response);
    memory_charge_.set(output_.size());
    bytes_written_ = 0;
    writing_ = true;
    write();
}

void server_connection::write()
{
    // Most responses fit into the socket's send buffer, so a synchronous write
    // avoids an iteration of the event loop.
    std::error_code error;
    bytes_written_ +=
        socket_.write_some(asio::buffer(output_.data() + bytes_written_,
                                        output_.size() - bytes_written_),
                           error);
    if (error && error != asio::error::would_block &&
        error != asio::error::try_again)
        return close();
    if (bytes_written_ == output_.size())
        return on_written();
    asio::async_write(
        socket_,
        asio::buffer(output_.data() + bytes_written_,
                     output_.size() - bytes_written_),
        [self = shared_from_this()](std::error_code failed, std::size_t)
        {
            if (self->closed_)
                return;
            if (failed)
                self->close();
            else
                self->on_written();
        });
}

void server_connection::on_written()
{
    writing_ = false;
    output_.clear();
    memory_charge_.set(0);
    if (sent_continue_)
        return read();
    if (close_after_response_)
        return linger();
    limits_ = handlers_->limits();
    reader_.set_limits(limits_.reader);
    restart_idle_period();
    if (!read_ahead_.empty())
        parse();
    if (!closed_ && read_ahead_.size() < max_read_ahead_bytes)
        read();
}

void server_connection::linger()
{
    if (lingering_ || closed_)
        return;
    lingering_ = true;
    std::error_code error;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (error)
        return close();
    timers_.cancel(timeout_timer_);
    timeout_timer_ = timers_.after(linger_timeout,
                                   [weak = weak_from_this()]
                                   {
                                       if (auto self = weak.lock())
                                           self->close();
                                   });
    read();
}

void server_connection::close_when_idle()
{
    close_after_response_ = true;
    if (is_idle() && read_ahead_.empty() && !closed_)
        linger();
}

void server_connection::abort()
{
    close();
}

void server_connection::close()
{
    if (closed_)
        return;
    closed_ = true;
    memory_charge_.set(0);
    timers_.cancel(timeout_timer_);
    if (idle_timer_)
        timers_.cancel(*idle_timer_);
    std::error_code error;
    // An error is ignored; the connection is no longer used.
    socket_.close(error);
    if (auto const action = std::exchange(on_disconnect_, nullptr))
        action();
}

} // namespace pollenhall::sidecar
