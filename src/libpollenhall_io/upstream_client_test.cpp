// Tests exchanges with a faulty upstream. Guards against crashes that are not
// recognised, so that the request that causes them is sent to further
// upstreams; against an earlier rejection that is taken for the response to a
// call that runs; and against responses that never end.

#include <pollenhall/idempotency_key.hpp>
#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/upstream_client.hpp>

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <functional>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace
{

using namespace pollenhall;
using asio::ip::tcp;

/// Accepts one connection, reads from it and closes it, and closes the
/// listening socket `listen_time` later.
class ending_upstream
{
public:
    explicit ending_upstream(milliseconds listen_time)
        : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
          thread_(
              [this, listen_time]
              {
                  auto connection = acceptor_.accept();
                  std::array<char, 1'024> buffer{};
                  connection.read_some(asio::buffer(buffer));
                  connection.close();
                  std::this_thread::sleep_for(listen_time);
                  acceptor_.close();
              })
    {
    }
    ~ending_upstream() { thread_.join(); }
    ending_upstream(ending_upstream const&) = delete;
    ending_upstream& operator=(ending_upstream const&) = delete;

    [[nodiscard]] upstream_endpoint endpoint() const { return endpoint_; }

private:
    asio::io_context context_;
    tcp::acceptor acceptor_;
    upstream_endpoint endpoint_{.address = "127.0.0.1",
                                .port = acceptor_.local_endpoint().port()};
    std::thread thread_;
};

/// An upstream whose responses a test writes. Serves all connections on a
/// thread of its own.
class scripted_upstream
{
public:
    /// Returns the bytes to send after a request. `earlier` is the number of
    /// requests that the connection has carried before.
    using script = std::function<std::string(int earlier)>;

    /// If `filler` is not empty, it is sent again and again after the script's
    /// bytes, each time after `filler_delay`, until the client closes the
    /// connection.
    explicit scripted_upstream(script respond, std::string filler = {},
                               milliseconds filler_delay = milliseconds{0})
        : respond_(std::move(respond)), filler_(std::move(filler)),
          filler_delay_(filler_delay),
          acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }
    ~scripted_upstream()
    {
        context_.stop();
        thread_.join();
    }
    scripted_upstream(scripted_upstream const&) = delete;
    scripted_upstream& operator=(scripted_upstream const&) = delete;

    std::atomic<int> requests = 0;
    std::atomic<std::size_t> bytes_sent = 0;

    [[nodiscard]] upstream_endpoint endpoint() const
    {
        return {.address = "127.0.0.1",
                .port = acceptor_.local_endpoint().port()};
    }

private:
    struct connection
    {
        explicit connection(tcp::socket from) : socket(std::move(from)) {}
        tcp::socket socket;
        std::array<char, 4'096> buffer{};
        std::string output;
        int earlier = 0;
    };

    void accept()
    {
        acceptor_.async_accept(
            [this](asio::error_code error, tcp::socket socket)
            {
                if (error)
                    return;
                read(std::make_shared<connection>(std::move(socket)));
                accept();
            });
    }
    // Each request of these tests arrives in one piece.
    void read(std::shared_ptr<connection> const& from)
    {
        from->socket.async_read_some(
            asio::buffer(from->buffer),
            [this, from](asio::error_code error, std::size_t)
            {
                if (error)
                    return;
                ++requests;
                from->output = respond_(from->earlier++);
                write(from);
            });
    }
    void write(std::shared_ptr<connection> const& to)
    {
        asio::async_write(to->socket, asio::buffer(to->output),
                          [this, to](asio::error_code error, std::size_t size)
                          {
                              bytes_sent += size;
                              if (error)
                                  return;
                              if (filler_.empty())
                                  return read(to);
                              to->output = filler_;
                              write_later(to);
                          });
    }
    void write_later(std::shared_ptr<connection> const& to)
    {
        if (filler_delay_ == milliseconds{0})
            return write(to);
        filler_timer_.expires_after(filler_delay_);
        filler_timer_.async_wait(
            [this, to](asio::error_code error)
            {
                if (!error)
                    write(to);
            });
    }

    script respond_;
    std::string filler_;
    milliseconds filler_delay_;
    asio::io_context context_;
    asio::steady_timer filler_timer_{context_};
    tcp::acceptor acceptor_;
    std::thread thread_;
};

std::string const rejection = "HTTP/1.1 503 Unavailable\r\n"
                              "Pollenhall-Outcome: not_run\r\n"
                              "Content-Length: 0\r\n\r\n";
std::string const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

exchange_result call(upstream_endpoint const& endpoint)
{
    upstream_client client(4);
    forwarded_call call;
    call.method = "GET";
    call.deadline = mono_now() + seconds{2};
    exchange_handle handle;
    return client.exchange(endpoint, call, {}, handle);
}

} // namespace

TEST_CASE("an upstream that closes the connection of a call")
{
    SUBCASE("has crashed if its listening socket closes shortly after")
    {
        ending_upstream const upstream(milliseconds{5});
        auto const result = call(upstream.endpoint());
        CHECK(result.result.what == outcome::unknown);
        CHECK(result.crashed);
    }
    SUBCASE("has not crashed if it goes on listening")
    {
        ending_upstream const upstream(milliseconds{500});
        auto const result = call(upstream.endpoint());
        CHECK(result.result.what == outcome::unknown);
        CHECK_FALSE(result.crashed);
    }
}

TEST_CASE("an upstream that writes an earlier rejection again")
{
    upstream_client client(4);
    forwarded_call call;
    call.method = "POST";
    call.body = std::make_shared<std::string const>("crate");
    call.key =
        idempotency_key::parse("01890a5d-ac96-774b-bcce-b302099a8057").value();
    call.deadline = mono_now() + seconds{2};
    exchange_handle handle;

    SUBCASE("while no call is running")
    {
        scripted_upstream upstream(
            [](int earlier)
            { return earlier == 0 ? rejection + rejection : response; });
        for (int i = 0; i < 2; ++i)
        {
            auto const result =
                client.exchange(upstream.endpoint(), call, {}, handle).result;
            CHECK(result.reason == refusal::upstream_refused);
        }
        // Both ran on connections of their own.
        CHECK(upstream.requests == 2);
    }
    SUBCASE("before it responds to a call that it runs")
    {
        int served = 0;
        scripted_upstream upstream(
            [&](int earlier)
            {
                if (++served == 1)
                    return rejection;
                return earlier == 0 ? response : rejection + response;
            });
        auto const first =
            client.exchange(upstream.endpoint(), call, {}, handle).result;
        CHECK(first.reason == refusal::upstream_refused);
        auto const second =
            client.exchange(upstream.endpoint(), call, {}, handle).result;
        CHECK(second.what == outcome::completed);
        CHECK(second.body == "ok");
    }
    SUBCASE("after it, for a call that may be repeated")
    {
        call.key.reset();
        scripted_upstream upstream(
            [](int earlier)
            { return earlier == 0 ? response + rejection : response; });
        for (int i = 0; i < 2; ++i)
        {
            auto const result =
                client.exchange(upstream.endpoint(), call, {}, handle).result;
            CHECK(result.what == outcome::completed);
            // Time for the rejection to arrive.
            std::this_thread::sleep_for(milliseconds{20});
        }
    }
}

TEST_CASE("an upstream that sends bytes without end")
{
    std::string prefix = "HTTP/1.1 200 OK\r\n";
    std::string filler;
    milliseconds filler_delay{0};
    // A head is at most 64 KB; the rest is in buffers of the kernel.
    std::size_t max_bytes = std::size_t{16} * 1'024 * 1'024;

    SUBCASE("in its status line")
    {
        prefix = "HTTP/1.1 200 ";
        filler = std::string(1'000, 'O');
    }
    SUBCASE("in a header field")
    {
        prefix += "X-Long: ";
        filler = std::string(1'000, 'x');
    }
    SUBCASE("in header fields")
    {
        filler = "X-Many: 1\r\n";
    }
    SUBCASE("in interim responses")
    {
        prefix.clear();
        filler = "HTTP/1.1 100 Continue\r\n\r\n";
    }
    SUBCASE("in a body without a length")
    {
        prefix += "\r\n";
        filler = std::string(100'000, 'b');
        max_bytes = std::size_t{80} * 1'024 * 1'024;
    }
    SUBCASE("in a body of chunks")
    {
        prefix += "Transfer-Encoding: chunked\r\n\r\n";
        filler = "10000\r\n" + std::string(65'536, 'b') + "\r\n";
        max_bytes = std::size_t{80} * 1'024 * 1'024;
    }
    SUBCASE("in a body that arrives slowly")
    {
        // The deadline applies to the whole response, not to each read.
        prefix += "Content-Length: 1000000\r\n\r\n";
        filler = "b";
        filler_delay = milliseconds{1};
    }
    scripted_upstream upstream([&](int) { return prefix; }, filler,
                               filler_delay);
    auto const began = mono_now();
    auto const result = call(upstream.endpoint());
    CHECK(result.result.what == outcome::unknown);
    CHECK_FALSE(result.crashed);
    CHECK(mono_now() - began < milliseconds{2'500});
    CHECK(upstream.bytes_sent < max_bytes);
}
