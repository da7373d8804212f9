// Implements HTTP exchanges over one keep-alive connection.

#include "client_connection.hpp"

#include <pollenhall/io/clocks.hpp>

#include <algorithm>
#include <cstdlib>

#include <netinet/tcp.h>

#include <asio/buffer.hpp>
#include <asio/post.hpp>

namespace pollenhall::sidecar
{
namespace
{

// A connection is not reused within this time before the server's keep-alive
// timeout, so that no request is sent while the server closes it.
constexpr milliseconds keep_alive_margin{700};
// TCP_USER_TIMEOUT: a connection is closed if sent data stays unacknowledged
// for this time, as on a broken network path.
constexpr int tcp_user_timeout_ms = 3'000;
// TCP keep-alive: idle time before the first probe, and number of unanswered
// probes after which the connection is closed.
constexpr int keep_alive_idle_s = 2;
constexpr int keep_alive_probes = 2;
// Bodies up to this size are read even if the memory budget is exhausted, since
// most responses are small and end soon.
constexpr std::size_t small_body_bytes = 65'536;
// Responses that are skipped before the one to the request: interim ones, and
// those to earlier requests.
constexpr int max_skipped_responses = 64;
// Number of rejected requests after which a connection is not reused, so that
// the list of them stays short.
constexpr std::size_t max_rejected_ids = 64;

using user_timeout_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using keep_alive_idle_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keep_alive_interval_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keep_alive_count_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

} // namespace

client_connection::client_connection(asio::io_context& context,
                                     deadline_timers& timers,
                                     std::weak_ptr<client_pool> pool,
                                     client_pool_options const& options)
    : socket_(context), timers_(timers), pool_(std::move(pool)),
      options_(options),
      reader_(mesh::http_reader::direction::response, options.reader),
      memory_charge_(*options_.memory_budget)
{
}

void client_connection::connect(asio::ip::tcp::endpoint const& address)
{
    std::error_code error;
    socket_.open(address.protocol(), error);
    if (error)
        return post_finish(
            {.end = exchange_end::not_connected, .detail = error.message()});
    // Errors are ignored: without these options the connection still works, but
    // detects an unreachable peer later.
    socket_.set_option(asio::ip::tcp::no_delay(true), error);
    socket_.set_option(user_timeout_option(tcp_user_timeout_ms), error);
    socket_.set_option(asio::socket_base::keep_alive(true), error);
    socket_.set_option(keep_alive_idle_option(keep_alive_idle_s), error);
    socket_.set_option(keep_alive_interval_option(1), error);
    socket_.set_option(keep_alive_count_option(keep_alive_probes), error);
    timers_.cancel(timeout_);
    auto const limit =
        std::min(request_.deadline, mono_now() + options_.connect_timeout);
    timeout_ = timers_.at(
        limit,
        [weak = weak_from_this()]
        {
            if (auto self = weak.lock(); self && !self->connected_)
                self->finish({.end = exchange_end::not_connected,
                              .detail = "connection attempt timed out"},
                             false);
        });
    socket_.async_connect(
        address,
        [self = shared_from_this()](std::error_code failed)
        {
            if (self->closed_)
                return;
            if (failed)
                return self->finish(
                    {.end = exchange_end::not_connected,
                     .detail = failed.message(),
                     .refused = failed == asio::error::connection_refused},
                    false);
            self->connected_ = true;
            std::error_code ignored; // asynchronous operations do not need it
            self->socket_.non_blocking(true, ignored);
            if (!self->request_.connect_only)
                return self->send();
            self->finish({.end = exchange_end::answered}, true);
            self->read();
        });
}

void client_connection::start_exchange(exchange_request request)
{
    busy_ = true;
    request_sent_ = false;
    skipped_responses_ = 0;
    bytes_written_ = 0;
    request_ = std::move(request);
    if (connected_)
        send();
}

void client_connection::send()
{
    timers_.cancel(timeout_);
    timeout_ = timers_.at(request_.deadline,
                          [weak = weak_from_this()]
                          {
                              if (auto self = weak.lock(); self && self->busy_)
                                  self->finish({.end = exchange_end::timed_out},
                                               false);
                          });
    if (request_.is_head)
        reader_.expect_no_body();
    write();
}

void client_connection::write()
{
    std::error_code error;
    write_some(error);
    if (error)
        return post_finish(
            {.end = exchange_end::broken, .detail = error.message()});
    if (!request_sent_)
        write_rest();
    read();
}

void client_connection::write_rest()
{
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [self = shared_from_this()](std::error_code)
                       {
                           if (self->closed_)
                               return;
                           std::error_code error;
                           self->write_some(error);
                           // EPIPE means that the server had ended its side
                           // before it reset the connection.
                           if (error && error != asio::error::broken_pipe)
                               self->write_error_ = error;
                           // After an error, the pending read gets any response
                           // that was received before.
                           if (!error && !self->request_sent_)
                               self->write_rest();
                       });
}

void client_connection::write_some(std::error_code& error)
{
    auto const& bytes = request_.bytes;
    bytes_written_ +=
        socket_.write_some(asio::buffer(bytes.data() + bytes_written_,
                                        bytes.size() - bytes_written_),
                           error);
    if (error == asio::error::would_block || error == asio::error::try_again)
        error.clear();
    request_sent_ = bytes_written_ == bytes.size();
}

void client_connection::read()
{
    if (reading_ || closed_)
        return;
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](std::error_code error, std::size_t size)
        {
            self->reading_ = false;
            if (!self->closed_)
                self->on_read(error, size);
        });
}

void client_connection::on_read(std::error_code error, std::size_t size)
{
    if (!busy_)
        // The server closed an idle connection or sent unsolicited data.
        return close();
    // The kernel reports a reset once. If the write got it, the read sees the
    // end of the stream instead.
    if (error == asio::error::eof && write_error_)
        error = write_error_;
    if (error)
    {
        if (error == asio::error::eof &&
            reader_.finish() == mesh::read_status::complete)
            return on_response(true);
        return finish({.end = exchange_end::broken, .detail = error.message()},
                      false);
    }
    parse({buffer_.data(), size});
    if (!closed_)
        read();
}

void client_connection::parse(std::string_view data)
{
    while (busy_ && !closed_ && !data.empty())
    {
        auto const status = reader_.feed(data);
        memory_charge_.set(reader_.body_size());
        switch (status)
        {
        case mesh::read_status::need_more:
            if (memory_charge_.bytes() > small_body_bytes &&
                options_.memory_budget->exhausted())
                return finish({.end = exchange_end::too_large,
                               .detail = "the memory budget is exhausted"},
                              false);
            return;
        case mesh::read_status::complete:
            on_response(data.empty());
            break;
        case mesh::read_status::header_too_large:
        case mesh::read_status::body_too_large:
            return finish({.end = exchange_end::too_large,
                           .detail = "header or body above the limit"},
                          false);
        case mesh::read_status::malformed:
            return finish(
                {.end = exchange_end::broken, .detail = "not a valid response"},
                false);
        }
    }
    if (!data.empty() && !closed_)
        // Data after the response belongs to no request.
        close();
}

void client_connection::on_response(bool ends_cleanly)
{
    auto response = reader_.take_response();
    memory_charge_.set(0);
    if (++skipped_responses_ > max_skipped_responses)
        return finish(
            {.end = exchange_end::too_large, .detail = "too many responses"},
            false);
    if (response.status < 200)
        return;
    bool const matches = !request_.matches || request_.matches(response);
    if (!matches && !response.ended_by_close)
    {
        if (request_.is_head)
            reader_.expect_no_body();
        return;
    }
    if (!matches)
        return finish({.end = exchange_end::broken,
                       .detail = "response to another request"},
                      false);
    update_keep_alive(response);
    if (request_.is_rejection && request_.is_rejection(response))
        rejected_ids_.push_back(request_.id);
    bool const reusable = response.keep_alive && request_sent_ &&
                          ends_cleanly &&
                          rejected_ids_.size() < max_rejected_ids;
    finish({.end = exchange_end::answered, .response = std::move(response)},
           reusable);
}

bool client_connection::has_rejected(std::string const& id) const
{
    return std::find(rejected_ids_.begin(), rejected_ids_.end(), id) !=
           rejected_ids_.end();
}

void client_connection::update_keep_alive(mesh::http_response const& response)
{
    auto const* keep_alive = response.fields.find("Keep-Alive");
    if (keep_alive == nullptr)
        return;
    auto const at = keep_alive->find("timeout=");
    if (at == std::string::npos)
        return;
    auto const whole_seconds =
        std::strtol(keep_alive->c_str() + at + 8, nullptr, 10);
    keep_alive_until_ = mono_now() + seconds(whole_seconds) - keep_alive_margin;
}

void client_connection::finish(exchange_result result, bool reusable)
{
    if (!busy_)
        return;
    busy_ = false;
    timers_.cancel(timeout_);
    memory_charge_.set(0);
    last_used_ = mono_now();
    auto const self = shared_from_this();
    auto const on_end = std::move(request_.on_end);
    request_ = {};
    auto const pool = pool_.lock();
    if (reusable && pool)
        pool->put_back(self);
    else
        close();
    if (on_end)
        on_end(std::move(result));
}

void client_connection::post_finish(exchange_result result)
{
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), failed = std::move(result)]() mutable
               { self->finish(std::move(failed), false); });
}

void client_connection::cancel()
{
    request_.on_end = nullptr;
    close();
}

void client_connection::close()
{
    if (closed_)
        return;
    closed_ = true;
    busy_ = false;
    memory_charge_.set(0);
    timers_.cancel(timeout_);
    std::error_code error;
    // An error is ignored; the connection is no longer used.
    socket_.close(error);
    if (auto const pool = pool_.lock())
        pool->remove(this);
}

} // namespace pollenhall::sidecar
