// Implements `peer_connection`.

#include "peer_connection.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>
#include <pollenhall/io/wire_codec.hpp>

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <utility>
#include <vector>

namespace pollenhall
{

peer_connection::peer_connection(asio::ip::tcp::socket socket, link_id id,
                                 link_monitor_options monitor,
                                 link_counters& counters, handlers callbacks)
    : socket_(std::move(socket)), id_(id), monitor_(monitor),
      counters_(&counters), callbacks_(std::move(callbacks)),
      last_use_(mono_now())
{
}

void peer_connection::start()
{
    started_ = true;
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    read_header();
    write_next();
}

void peer_connection::send(std::string bytes)
{
    if (closed_)
        return;
    last_use_ = mono_now();
    unsent_.push_back(std::move(bytes));
    write_next();
}

void peer_connection::send_call(std::string bytes, correlation_id id,
                                pending_call call)
{
    if (closed_ || retired_)
    {
        call.handler(make_refusal(refusal::no_upstream));
        return;
    }
    last_use_ = mono_now();
    waiting_.emplace(id, std::move(call));
    monitor_.on_sent(last_use_);
    unsent_calls_.emplace(id, std::move(bytes));
    write_next();
}

void peer_connection::complete_call(correlation_id id, call_result result)
{
    auto node = waiting_.extract(id);
    if (node.empty())
        return;
    monitor_.on_settled();
    node.mapped().handler(std::move(result));
    close_if_done();
}

removed_call peer_connection::remove_call(correlation_id id)
{
    if (waiting_.erase(id) == 0)
        return removed_call::not_found;
    monitor_.on_settled();
    bool const was_unsent = unsent_calls_.erase(id) > 0;
    close_if_done();
    return was_unsent ? removed_call::unsent : removed_call::sent;
}

// Calls are sent in the order of their correlation ids, after other frames.
bool peer_connection::dequeue_frame()
{
    if (!unsent_.empty())
    {
        current_ = {.bytes = std::move(unsent_.front()), .call = {}};
        unsent_.pop_front();
        return true;
    }
    if (unsent_calls_.empty() || !monitor_.may_send_calls())
        return false;
    auto const first = unsent_calls_.begin();
    current_ = {.bytes = std::move(first->second), .call = first->first};
    unsent_calls_.erase(first);
    return true;
}

void peer_connection::write_next()
{
    if (writing_ || closed_ || !started_ || !dequeue_frame())
        return;
    writing_ = true;
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(current_.bytes),
                      [self](asio::error_code error, std::size_t size)
                      {
                          self->writing_ = false;
                          self->counters_->bytes_sent += size;
                          if (error)
                              self->close();
                          else
                              self->write_next();
                      });
}

void peer_connection::read_header()
{
    auto self = shared_from_this();
    asio::async_read(socket_, asio::buffer(header_),
                     [self](asio::error_code error, std::size_t)
                     {
                         if (error)
                         {
                             self->close();
                             return;
                         }
                         self->read_body(decode_frame_length(
                             {self->header_.data(), self->header_.size()}));
                     });
}

void peer_connection::read_body(std::size_t size)
{
    if (size == 0 || size > max_frame_bytes)
    {
        reject_frame("frame length " + std::to_string(size) +
                     " is not allowed");
        return;
    }
    body_.resize(size);
    auto self = shared_from_this();
    asio::async_read(socket_, asio::buffer(body_),
                     [self](asio::error_code error, std::size_t read)
                     {
                         self->counters_->bytes_received +=
                             read + frame_header_bytes;
                         if (error)
                             self->close();
                         else
                             self->handle_frame(self->body_);
                     });
}

void peer_connection::handle_frame(std::string const& body)
{
    auto frame = decode_frame(body);
    if (!frame.ok())
    {
        reject_frame(std::string(frame.status().message()));
        return;
    }
    monitor_.on_received(mono_now());
    write_next();
    if (frame->__isset.answer)
    {
        last_use_ = mono_now();
        auto const id = correlation_id(frame->answer.call_id);
        auto result = from_wire(std::move(frame->answer));
        if (!result.ok())
        {
            ++counters_->frames_refused;
            log_event("peer_answer_refused", log_level::warning)
                .add("peer", peer.value())
                .add("reason", std::string(result.status().message()));
            result = make_unknown_result();
            result->from_peer = true;
        }
        complete_call(id, *std::move(result));
    }
    else if (frame->__isset.beat)
    {
        if (frame->beat.reply_wanted)
        {
            wire::frame answer;
            answer.__set_beat({});
            answer.beat.reply_wanted = false;
            send(encode_frame(answer));
        }
    }
    else
        callbacks_.on_frame(*this, std::move(*frame));
    // Releases the buffer of a large frame instead of keeping it for small
    // ones.
    constexpr std::size_t max_kept_capacity_bytes = 65'536;
    if (body_.capacity() > max_kept_capacity_bytes)
        std::string().swap(body_);
    if (!closed_)
        read_header();
}

void peer_connection::reject_frame(std::string_view reason)
{
    ++counters_->frames_refused;
    log_event("peer_frame_refused", log_level::warning)
        .add("peer", peer.value())
        .add("reason", reason);
    close();
}

void peer_connection::close()
{
    if (closed_)
        return;
    closed_ = true;
    auto self = shared_from_this();
    asio::error_code ignored;
    socket_.close(ignored);
    unsent_.clear();
    callbacks_.on_closed(*this);
    end_calls(false);
}

// A call of which any byte was written may have run; queued calls did not.
void peer_connection::end_calls(bool keep_waiting)
{
    auto const unsent_calls = std::exchange(unsent_calls_, {});
    std::vector<std::pair<correlation_id, pending_call>> ended;
    for (auto call = waiting_.begin(); call != waiting_.end();)
    {
        bool const sent = !unsent_calls.contains(call->first);
        if (keep_waiting && sent && call->second.wait_after_retirement)
        {
            ++call;
            continue;
        }
        ended.emplace_back(call->first, std::move(call->second));
        call = waiting_.erase(call);
    }
    for (auto& [id, call] : ended)
        call.handler(unsent_calls.contains(id)
                         ? make_refusal(refusal::no_upstream)
                         : make_unknown_result());
}

void peer_connection::retire()
{
    auto self = shared_from_this();
    retired_ = true;
    callbacks_.on_retired(*this);
    end_calls(true);
    close_if_done();
}

void peer_connection::close_if_done()
{
    if (retired_ && waiting_.empty())
        close();
}

void peer_connection::check(mono_time now)
{
    switch (monitor_.tick(now))
    {
    case link_action::none:
        return;
    case link_action::send_heartbeat:
    {
        wire::frame heartbeat;
        heartbeat.__set_beat({});
        heartbeat.beat.reply_wanted = true;
        send(encode_frame(heartbeat));
        return;
    }
    case link_action::give_up:
        break;
    }
    ++counters_->silent_links;
    log_event("peer_link_silent", log_level::warning)
        .add("peer", peer.value())
        .add("calls", static_cast<std::int64_t>(waiting_.size()));
    retire();
}

} // namespace pollenhall
