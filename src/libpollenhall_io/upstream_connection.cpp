// Implements a blocking HTTP exchange with a deadline, on a non-blocking socket
// and poll().

#include "upstream_connection.hpp"

#include <pollenhall/io/clocks.hpp>

#include <algorithm>
#include <array>

#include <poll.h>
#include <sys/socket.h>

namespace pollenhall
{
namespace
{

constexpr std::size_t max_header_bytes = 65'536;
constexpr std::size_t max_body_bytes = std::size_t{64} * 1'024 * 1'024;
// Interim responses that are skipped before the response.
constexpr int max_interim_responses = 64;
constexpr std::size_t read_size = 16'384;

} // namespace

upstream_connection::upstream_connection()
    : socket_(context_),
      reader_(mesh::http_reader::direction::response,
              {.header_bytes = max_header_bytes, .body_bytes = max_body_bytes})
{
}

bool upstream_connection::wait(short events, mono_time deadline)
{
    for (;;)
    {
        auto const left = std::chrono::duration_cast<milliseconds>(
            deadline - mono_now() + milliseconds{1});
        if (left <= milliseconds{0})
            return false;
        pollfd item{
            .fd = socket_.native_handle(), .events = events, .revents = 0};
        auto const ready = poll(&item, 1, static_cast<int>(left.count()));
        if (ready > 0)
            return true;
        if (ready < 0 && errno != EINTR)
            return true; // the following operation reports the error
    }
}

bool upstream_connection::connect(upstream_endpoint const& endpoint,
                                  milliseconds timeout)
{
    asio::error_code error;
    auto const address = asio::ip::make_address(endpoint.address, error);
    if (error)
        return false;
    asio::ip::tcp::endpoint const target(
        address, static_cast<std::uint16_t>(endpoint.port));
    socket_.open(target.protocol(), error);
    if (!error)
        socket_.non_blocking(true, error);
    if (!error)
        socket_.set_option(asio::ip::tcp::no_delay(true), error);
    if (error)
        return false;
    // Asio's connect waits for the result even on a non-blocking socket.
    if (::connect(socket_.native_handle(), target.data(),
                  static_cast<socklen_t>(target.size())) == 0)
        return true;
    if (errno != EINPROGRESS || !wait(POLLOUT, mono_now() + timeout))
        return false;
    int result = 0;
    socklen_t size = sizeof(result);
    return getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &result,
                      &size) == 0 &&
           result == 0;
}

request_end upstream_connection::request(std::string_view bytes, bool is_head,
                                         mono_time deadline,
                                         mesh::http_response& response)
{
    reusable_ = false;
    unsent_ = bytes;
    interim_responses_ = 0;
    if (is_head)
        reader_.expect_no_body();
    std::array<char, read_size> buffer{};
    bool is_writing = true;
    for (;;)
    {
        is_writing = is_writing && write_some();
        // An upstream may respond before it has read the whole request.
        if (!wait(is_writing ? POLLIN | POLLOUT : POLLIN, deadline))
            return request_end::timed_out;
        asio::error_code error;
        auto const size = socket_.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block)
            continue;
        auto const end = error ? on_connection_end(error, response)
                               : read({buffer.data(), size}, is_head, response);
        if (end)
            return *end;
    }
}

bool upstream_connection::write_some()
{
    asio::error_code error;
    unsent_.remove_prefix(socket_.write_some(
        asio::buffer(unsent_.data(), unsent_.size()), error));
    if (!error || error == asio::error::would_block)
        return !unsent_.empty();
    // EPIPE means that the upstream had ended its side before it reset the
    // connection. The response, if any, was received before.
    is_reset_ = error != asio::error::broken_pipe;
    return false;
}

request_end
upstream_connection::on_connection_end(asio::error_code error,
                                       mesh::http_response& response)
{
    // The kernel reports a reset once. If the write got it, the read sees the
    // end of the stream instead.
    if (error == asio::error::eof && !is_reset_ &&
        reader_.finish() == mesh::read_status::complete && take(response))
        return request_end::answered;
    return request_end::broken;
}

std::optional<request_end>
upstream_connection::read(std::string_view data, bool is_head,
                          mesh::http_response& response)
{
    while (!data.empty())
    {
        auto const status = reader_.feed(data);
        if (status == mesh::read_status::need_more)
            break;
        if (status == mesh::read_status::malformed)
            return request_end::broken;
        if (status != mesh::read_status::complete)
            return request_end::too_large;
        if (take(response))
        {
            // Bytes after the response belong to no request.
            reusable_ = reusable_ && data.empty();
            return request_end::answered;
        }
        if (++interim_responses_ > max_interim_responses)
            return request_end::too_large;
        if (is_head)
            reader_.expect_no_body();
    }
    return std::nullopt;
}

bool upstream_connection::take(mesh::http_response& response)
{
    response = reader_.take_response();
    reusable_ =
        response.keep_alive && !response.ended_by_close && unsent_.empty();
    return response.status >= 200;
}

bool upstream_connection::is_reusable()
{
    pollfd item{.fd = socket_.native_handle(), .events = POLLIN, .revents = 0};
    return reusable_ && poll(&item, 1, 0) == 0;
}

void upstream_connection::abort()
{
    // Wakes the thread that waits. The socket stays open, so that its number is
    // not reused meanwhile; an error means that the connection has ended.
    static_cast<void>(::shutdown(socket_.native_handle(), SHUT_RDWR));
}

} // namespace pollenhall
