// Crash suspicions of this node in the store. Gossip tells a daemon that starts
// about crashes, unless all daemons have ended; the store still knows them
// then.

#pragma once

#include "store_agent.hpp"

#include <pollenhall/io/node_settings.hpp>
#include <pollenhall/kept_suspicions.hpp>

#include <functional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

namespace pollenhall
{

/// Reads the suspicions of all nodes once after the start, and writes those of
/// this node when they change. Used by the control thread only.
class suspicion_registry
{
public:
    using suspicion_handler =
        std::function<void(std::vector<crash_suspicion> const&)>;

    /// `context` is that of the control thread, on which `on_loaded` receives
    /// what was read.
    suspicion_registry(asio::io_context& context, node_settings const& settings,
                       store_agent& store, suspicion_handler on_loaded);

    /// Starts the next call to the store, if one is due.
    void tick(mono_time now);
    /// Adds suspicions that this node reports.
    void report(std::vector<crash_suspicion> const& suspicions);
    /// Adds suspicions that peers have reported.
    void hear(std::vector<crash_suspicion> const& suspicions);

private:
    void read();
    void on_read(absl::StatusOr<store_view> const& view);
    void write();
    void on_written(std::vector<published_suspicion> const& written,
                    absl::Status const& status);
    void retry_later();

    asio::io_context& context_;
    node_settings const& settings_;
    store_agent& store_;
    suspicion_handler on_loaded_;
    kept_suspicions suspicions_;
    std::string const prefix_;
    // Until the suspicions have been read, nothing is written: the value of an
    // earlier process would be lost.
    bool has_read_ = false;
    // Whether `suspicions_` has changed since it was compared with `stored_`.
    bool may_differ_ = false;
    // What this process has written last.
    std::vector<published_suspicion> stored_;
    bool is_calling_ = false;
    // When `stored_` is written again, in case the store has lost it.
    mono_time next_refresh_{};
    mono_time next_call_{};
    milliseconds retry_delay_{0};
};

} // namespace pollenhall
