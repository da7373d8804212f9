// Tests exchanges with an upstream that fails. Guards against crashes of an
// upstream that are not recognised, so that the request that causes them is
// sent to further upstreams.

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/upstream_client.hpp>

#include <doctest/doctest.h>

#include <array>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

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
