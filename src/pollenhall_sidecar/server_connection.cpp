// Serves requests on one connection.

#include "server_connection.hpp"

#include <pollenhall/io/clocks.hpp>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace pollenhall::sidecar
{
namespace
{

// Bytes that a sender may send ahead of its answer; enough for some small
// pipelined requests.
constexpr std::size_t max_read_ahead = 16'384;
// Bodies up to this size are read to their end whatever is held: it takes
// about as much to refuse them.
constexpr std::size_t small_body = 16'384;
// How long a closed connection still takes bytes, so that the last answer is
// not lost to a reset.
constexpr milliseconds linger_time{500};

} // namespace

server_connection::server_connection(
    asio::ip::tcp::socket socket, deadline_timers& timers,
    std::shared_ptr<server_handlers const> handlers)
    : socket_(std::move(socket)), timers_(timers),
      handlers_(std::move(handlers)), limits_(handlers_->limits()),
      reader_(mesh::http_reader::direction::request, limits_.reader),
      budget_(handlers_->budget ? handlers_->budget
                                : std::make_shared<mesh::byte_budget>()),
      held_(*budget_)
{
    std::error_code error;
    auto const remote = socket_.remote_endpoint(error);
    if (!error)
        remote_ = remote.address().to_string();
    // An error here shows again on the first read or write.
    socket_.set_option(asio::ip::tcp::no_delay(true), error);
    socket_.non_blocking(true, error);
}

void server_connection::start()
{
    watch_idle();
    read();
}

void server_connection::watch_idle()
{
    idle_since_ = mono_now();
    if (!idle_check_)
        check_idle_at(idle_since_ + limits_.idle_timeout);
}

void server_connection::check_idle_at(mono_time time)
{
    // One timer serves many requests; it looks again when it has come too
    // soon.
    idle_check_ = timers_.at(time,
                             [weak = weak_from_this()]
                             {
                                 if (auto self = weak.lock())
                                     self->check_idle();
                             });
}

void server_connection::check_idle()
{
    idle_check_.reset();
    if (closed_ || lingering_)
        return;
    auto const now = mono_now();
    if (!is_idle())
        return check_idle_at(now + limits_.idle_timeout);
    if (now - idle_since_ >= limits_.idle_timeout)
        return close();
    check_idle_at(idle_since_ + limits_.idle_timeout);
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
    ahead_.append(buffer_.data(), size);
    if (!serving_ && !writing_)
        parse();
    if (!closed_ && ahead_.size() < max_read_ahead)
        read();
}

void server_connection::parse()
{
    bool const was_started = reader_.started();
    std::string_view rest = ahead_;
    auto const status = reader_.feed(rest);
    ahead_.erase(0, ahead_.size() - rest.size());
    held_.set(reader_.body_size());
    switch (status)
    {
    case mesh::read_status::need_more:
        if (handlers_->refuses_bodies && held_.bytes() > small_body &&
            budget_->exhausted())
            return on_fault(request_fault::no_memory);
        if (!was_started && reader_.started())
        {
            timers_.cancel(timeout_);
            timeout_ = timers_.after(
                limits_.header_timeout,
                [weak = weak_from_this()]
                {
                    auto self = weak.lock();
                    if (self && !self->serving_ && !self->writing_ &&
                        !self->reader_.header_complete())
                        self->on_fault(request_fault::header_timeout);
                });
        }
        if (reader_.header_complete() && reader_.expects_continue() &&
            !continued_)
        {
            continued_ = true;
            out_ = "HTTP/1.1 100 Continue\r\n\r\n";
            written_ = 0;
            writing_ = true;
            write();
        }
        return;
    case mesh::read_status::complete:
        break;
    case mesh::read_status::header_too_large:
        return on_fault(request_fault::header_too_large);
    case mesh::read_status::body_too_large:
        return on_fault(request_fault::body_too_large);
    case mesh::read_status::malformed:
        return on_fault(request_fault::malformed);
    }
    timers_.cancel(timeout_);
    serving_ = true;
    continued_ = false;
    auto request = reader_.take_request();
    close_after_ = close_after_ || !request.keep_alive;
    handlers_->on_request(shared_from_this(), std::move(request));
}

void server_connection::on_fault(request_fault fault)
{
    timers_.cancel(timeout_);
    serving_ = true;
    respond(handlers_->on_fault(fault), true);
}

void server_connection::respond(std::string answer, bool close)
{
    on_abandoned_ = nullptr;
    if (closed_ || !serving_)
        return;
    serving_ = false;
    close_after_ = close_after_ || close;
    out_ = std::move(answer);
    held_.set(out_.size());
    written_ = 0;
    writing_ = true;
    write();
}

void server_connection::write()
{
    // Most answers fit the socket's buffer, which saves a turn of the loop.
    std::error_code error;
    written_ += socket_.write_some(
        asio::buffer(out_.data() + written_, out_.size() - written_), error);
    if (error && error != asio::error::would_block &&
        error != asio::error::try_again)
        return close();
    if (written_ == out_.size())
        return on_written();
    asio::async_write(
        socket_, asio::buffer(out_.data() + written_, out_.size() - written_),
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
    out_.clear();
    held_.set(0);
    if (continued_)
        return read();
    if (close_after_)
        return linger();
    limits_ = handlers_->limits();
    reader_.set_limits(limits_.reader);
    watch_idle();
    if (!ahead_.empty())
        parse();
    if (!closed_ && ahead_.size() < max_read_ahead)
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
    timers_.cancel(timeout_);
    timeout_ = timers_.after(linger_time,
                             [weak = weak_from_this()]
                             {
                                 if (auto self = weak.lock())
                                     self->close();
                             });
    read();
}

void server_connection::close_when_idle()
{
    close_after_ = true;
    if (is_idle() && ahead_.empty() && !closed_)
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
    held_.set(0);
    timers_.cancel(timeout_);
    if (idle_check_)
        timers_.cancel(*idle_check_);
    std::error_code error;
    // The connection is over in any case; there is nothing to do on error.
    socket_.close(error);
    if (auto const action = std::exchange(on_abandoned_, nullptr))
        action();
}

} // namespace pollenhall::sidecar
