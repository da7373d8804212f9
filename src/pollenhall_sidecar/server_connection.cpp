// Implements the server side of one HTTP/1.1 connection.

#include "server_connection.hpp"

#include <pollenhall/io/clocks.hpp>

#include <algorithm>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace pollenhall::sidecar
{
namespace
{

// Requests of one connection that may be open at the same time. Further ones
// stay unread, so that one client cannot occupy the whole node.
constexpr std::size_t max_open_exchanges = 32;
// Bodies up to this size are read even if the memory budget is exhausted, since
// rejecting them takes about as much memory.
constexpr std::size_t small_body_bytes = 16'384;
// Input is read and discarded after the last response until none has arrived
// for `linger_timeout`, at most for `max_linger_time`. Closing earlier would
// reset the connection, and a client that still sends a rejected body would
// lose the response.
constexpr milliseconds linger_timeout{500};
constexpr milliseconds max_linger_time{3'000};

// Returns the bytes with a field that announces the close after the status
// line.
std::string with_connection_close(std::string const& response)
{
    auto const line_end = response.find("\r\n");
    if (line_end == std::string::npos)
        return response;
    return response.substr(0, line_end + 2) + "Connection: close\r\n" +
           response.substr(line_end + 2);
}

} // namespace

server_exchange::server_exchange(std::shared_ptr<server_connection> connection,
                                 mesh::byte_budget& memory_budget,
                                 std::string method, mono_time arrived)
    : connection_(std::move(connection)), memory_charge_(memory_budget),
      method_(std::move(method)), arrived_(arrived)
{
}

std::string const& server_exchange::remote_host() const
{
    return connection_->remote_host();
}

void server_exchange::respond(mesh::http_response const& response, bool close)
{
    if (connection_->closed_ || response_)
        return;
    connection_->closing_ = connection_->closing_ || close;
    respond_raw(mesh::write_response(response, method_));
}

void server_exchange::respond_raw(std::string bytes)
{
    on_disconnect_ = nullptr;
    if (connection_->closed_ || response_)
        return;
    memory_charge_.set(bytes.size());
    response_ = std::move(bytes);
    connection_->write_next();
}

void server_exchange::abort()
{
    connection_->close();
}

bool server_exchange::may_start(bool idempotent)
{
    runs_alone_ = !idempotent;
    auto const& all = connection_->exchanges_;
    if (all.empty() || all.front().get() == this)
        return true;
    auto const self =
        std::find_if(all.begin(), all.end(),
                     [this](auto const& item) { return item.get() == this; });
    return idempotent &&
           std::none_of(all.begin(), self,
                        [](auto const& item) { return item->runs_alone_; });
}

void server_exchange::postpone(mesh::http_request request)
{
    memory_charge_.set(request.body.size());
    postponed_ = std::move(request);
}

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
        return close();
    if (lingering_)
    {
        linger();
        return read();
    }
    if (closing_)
        // The client sends the request again, as it is told of the close.
        return read();
    if (read_ahead_.empty())
        read_ahead_since_ = mono_now();
    read_ahead_.append(buffer_.data(), size);
    parse();
}

bool server_connection::accepts_requests() const
{
    return !closed_ && !closing_ && exchanges_.size() < max_open_exchanges;
}

void server_connection::parse()
{
    if (parsing_)
        return;
    parsing_ = true;
    while (accepts_requests() && !read_ahead_.empty())
    {
        if (!reader_.started())
            request_began_ = read_ahead_since_;
        std::string_view rest = read_ahead_;
        auto const status = reader_.feed(rest);
        read_ahead_.erase(0, read_ahead_.size() - rest.size());
        if (!body_is_claimed_)
            memory_charge_.set(reader_.body_size());
        switch (status)
        {
        case mesh::read_status::need_more:
            on_incomplete_request();
            break;
        case mesh::read_status::complete:
            on_request_complete();
            break;
        case mesh::read_status::header_too_large:
            on_request_error(request_error::header_too_large);
            break;
        case mesh::read_status::body_too_large:
            on_request_error(request_error::body_too_large);
            break;
        case mesh::read_status::malformed:
            on_request_error(request_error::malformed);
            break;
        }
    }
    parsing_ = false;
    if (closing_)
        read_ahead_.clear();
    // Reading goes on while no further request is accepted, because only a read
    // shows that the client has left. It pauses while read_ahead_ is full.
    if (!closed_ && read_ahead_.size() < buffer_.size())
        read();
}

void server_connection::on_incomplete_request()
{
    if (handlers_->on_no_memory && !charge_body())
        return respond_to_unread(handlers_->on_no_memory(reader_.fields()));
    if (!reader_.header_complete())
        return start_header_timer();
    start_body_timer();
    send_continue();
}

bool server_connection::charge_body()
{
    if (body_is_claimed_)
        return true;
    // Without a length, the size is known only when the body has been read.
    auto const announced = reader_.announced_body_size();
    if (announced <= small_body_bytes)
        return memory_charge_.bytes() <= small_body_bytes ||
               !memory_budget_->exhausted();
    memory_charge_.set(0);
    if (!memory_budget_->has_room(announced))
        return false;
    memory_charge_.set(announced);
    body_is_claimed_ = true;
    reader_.reserve_body();
    return true;
}

void server_connection::start_header_timer()
{
    auto const limit = request_began_ + limits_.header_timeout;
    timers_.cancel(timeout_timer_);
    timeout_timer_ =
        timers_.at(limit,
                   [weak = weak_from_this()]
                   {
                       auto const self = weak.lock();
                       if (self && !self->closing_ && self->reader_.started() &&
                           !self->reader_.header_complete())
                           self->on_request_error(request_error::read_timeout);
                   });
}

void server_connection::start_body_timer()
{
    timers_.cancel(timeout_timer_);
    timeout_timer_ = timers_.after(
        limits_.idle_timeout,
        [weak = weak_from_this()]
        {
            auto const self = weak.lock();
            if (self && !self->closing_ && self->reader_.header_complete())
                self->on_request_error(request_error::read_timeout);
        });
}

void server_connection::send_continue()
{
    // The interim response must not overtake the responses to earlier requests.
    if (!reader_.header_complete() || !reader_.expects_continue() ||
        sent_continue_ || writing_ || !exchanges_.empty())
        return;
    sent_continue_ = true;
    output_ = "HTTP/1.1 100 Continue\r\n\r\n";
    bytes_written_ = 0;
    writing_ = true;
    writing_interim_ = true;
    write();
}

void server_connection::on_request_complete()
{
    timers_.cancel(timeout_timer_);
    sent_continue_ = false;
    // Bytes of the next request arrived at the same time or later.
    read_ahead_since_ = mono_now();
    auto request = reader_.take_request();
    closing_ = closing_ || !request.keep_alive;
    auto const exchange = std::make_shared<server_exchange>(
        shared_from_this(), *memory_budget_, request.method, request_began_);
    memory_charge_.set(0);
    body_is_claimed_ = false;
    exchange->memory_charge_.set(request.body.size());
    exchanges_.push_back(exchange);
    handlers_->on_request(exchange, std::move(request));
}

void server_connection::on_request_error(request_error error)
{
    respond_to_unread(handlers_->on_request_error(error));
}

void server_connection::respond_to_unread(mesh::http_response const& response)
{
    timers_.cancel(timeout_timer_);
    memory_charge_.set(0);
    body_is_claimed_ = false;
    auto const exchange = std::make_shared<server_exchange>(
        shared_from_this(), *memory_budget_, "GET", request_began_);
    exchanges_.push_back(exchange);
    exchange->respond(response, true);
}

void server_connection::resume_postponed()
{
    // A handler may respond at once, which leads here again.
    if (resuming_)
        return;
    resuming_ = true;
    for (std::size_t next = 0; next < exchanges_.size() && !closed_;)
    {
        auto const exchange = exchanges_.at(next);
        if (!exchange->postponed_)
        {
            ++next;
            continue;
        }
        auto request = std::move(*exchange->postponed_);
        exchange->postponed_.reset();
        handlers_->on_request(exchange, std::move(request));
        if (exchange->postponed_)
            break;
        // The responses to this and to earlier requests may have been written.
        next = 0;
    }
    resuming_ = false;
}

void server_connection::write_next()
{
    if (writing_ || closed_ || lingering_ || exchanges_.empty() ||
        !exchanges_.front()->response_)
        return;
    drop_unstarted_requests();
    auto const& first = exchanges_.front();
    bool const is_last = closing_ && exchanges_.size() == 1;
    output_ = is_last ? with_connection_close(*first->response_)
                      : std::move(*first->response_);
    bytes_written_ = 0;
    writing_ = true;
    write();
}

void server_connection::drop_unstarted_requests()
{
    if (!closing_ ||
        std::any_of(std::next(exchanges_.begin()), exchanges_.end(),
                    [](auto const& item) { return !item->postponed_; }))
        return;
    exchanges_.erase(std::next(exchanges_.begin()), exchanges_.end());
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
    if (std::exchange(writing_interim_, false))
        return write_next();
    exchanges_.pop_front();
    if (closing_ && exchanges_.empty())
        return linger();
    limits_ = handlers_->limits();
    if (!reader_.started())
        reader_.set_limits(limits_.reader);
    restart_idle_period();
    resume_postponed();
    write_next();
    if (closed_ || lingering_)
        return;
    send_continue();
    parse();
}

void server_connection::linger()
{
    if (closed_)
        return;
    auto const now = mono_now();
    if (!lingering_)
    {
        lingering_ = true;
        linger_until_ = now + max_linger_time;
        std::error_code error;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
        if (error)
            return close();
        read();
    }
    timers_.cancel(timeout_timer_);
    timeout_timer_ = timers_.at(std::min(now + linger_timeout, linger_until_),
                                [weak = weak_from_this()]
                                {
                                    if (auto self = weak.lock())
                                        self->close();
                                });
}

void server_connection::close_when_idle()
{
    if (closed_ || lingering_)
        return;
    closing_ = true;
    if (exchanges_.empty() && !writing_)
        linger();
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
    for (auto const& item : std::exchange(exchanges_, {}))
    {
        item->memory_charge_.set(0);
        if (auto const action = std::exchange(item->on_disconnect_, nullptr))
            action();
    }
}

} // namespace pollenhall::sidecar
