// One connection of a caller, a peer or the platform. Reads one request at a
// time, hands it on, writes the answer, and notices when the sender leaves.

#pragma once

#include "deadline_timers.hpp"

#include <pollenhall/mesh/byte_budget.hpp>
#include <pollenhall/mesh/http_reader.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/ip/tcp.hpp>

namespace pollenhall::sidecar
{

/// Why a request is not read to its end.
enum class request_fault
{
    malformed,
    header_too_large,
    body_too_large,
    header_timeout,
    /// The process holds too much already to read a large body on.
    no_memory
};

/// Times and sizes of the connections of one listener.
struct server_limits
{
    mesh::http_reader_limits reader;
    /// Longest time from the first byte of a header to its last.
    milliseconds header_timeout{3'000};
    /// Longest time without a request.
    milliseconds idle_timeout{15'000};
};

class server_connection;

/// What a listener does with the requests of its connections.
struct server_handlers
{
    /// Takes a request; answers by `respond`, at once or later.
    std::function<void(std::shared_ptr<server_connection> const&,
                       mesh::http_request)>
        on_request;
    /// Makes the answer to a request that cannot be read.
    std::function<std::string(request_fault)> on_fault;
    /// Limits that hold now.
    std::function<server_limits()> limits;
    /// What the connections count their bytes against; none if empty.
    std::shared_ptr<mesh::byte_budget> budget{};
    /// Whether a body is not read on while the budget is exhausted.
    bool refuses_bodies = false;
};

/// A connection that serves requests. Used on one thread.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(asio::ip::tcp::socket socket, deadline_timers& timers,
                      std::shared_ptr<server_handlers const> handlers);

    void start();
    /// Writes the answer to the request that was handed on; closes the
    /// connection afterwards if `close` or the sender wants it.
    void respond(std::string answer, bool close);
    /// Ends the connection without an answer.
    void abort();
    /// Sets what is done if the sender leaves before the answer; cleared by
    /// `respond`.
    void on_abandoned(std::function<void()> action)
    {
        on_abandoned_ = std::move(action);
    }
    /// Whether no request is being read or served.
    [[nodiscard]] bool is_idle() const
    {
        return !serving_ && !writing_ && !reader_.started();
    }
    [[nodiscard]] std::string const& remote_host() const { return remote_; }
    /// Closes an idle connection; a busy one after its answer.
    void close_when_idle();

private:
    void read();
    void on_read(std::error_code error, std::size_t size);
    void parse();
    void on_fault(request_fault fault);
    void write();
    void on_written();
    void linger();
    void close();
    void watch_idle();
    void check_idle_at(mono_time time);
    void check_idle();

    asio::ip::tcp::socket socket_;
    deadline_timers& timers_;
    std::shared_ptr<server_handlers const> handlers_;
    server_limits limits_;
    mesh::http_reader reader_;
    // Body that was read, and answer that is not yet written.
    std::shared_ptr<mesh::byte_budget> budget_;
    mesh::byte_budget::charge held_;
    std::string remote_;
    std::array<char, 4'096> buffer_{};
    // Bytes that were read ahead while a request is served; bounded.
    std::string ahead_;
    std::string out_;
    std::size_t written_ = 0;
    std::function<void()> on_abandoned_;
    deadline_timers::handle timeout_;
    // When the last request was answered, or the connection began.
    mono_time idle_since_{};
    std::optional<deadline_timers::handle> idle_check_;
    bool reading_ = false;
    bool serving_ = false;
    bool writing_ = false;
    bool close_after_ = false;
    bool lingering_ = false;
    bool continued_ = false;
    bool closed_ = false;
};

} // namespace pollenhall::sidecar
