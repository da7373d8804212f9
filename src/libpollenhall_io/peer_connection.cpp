// Implements one connection between two nodes.

#include "peer_connection.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>
#include <pollenhall/io/wire_codec.hpp>

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <set>

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

void peer_connection::send(std::string bytes,
                           std::optional<correlation_id> call)
{
    if (closed_)
        return;
    last_use_ = mono_now();
    unsent_.push_back({.bytes = std::move(bytes), .call = call});
    write_next();
}

void peer_connection::send_call(std::string bytes, correlation_id id,
                                call_handler handler)
{
    if (closed_)
    {
        handler(make_refusal(refusal::no_upstream));
        return;
    }
    waiting_.emplace(id, std::move(handler));
    monitor_.on_sent(mono_now());
    send(std::move(bytes), id);
}

void peer_connection::settle(correlation_id id, call_result result)
{
    auto node = waiting_.extract(id);
    if (node.empty())
        return;
    monitor_.on_settled();
    node.mapped()(std::move(result));
}

bool peer_connection::forget(correlation_id id)
{
    if (waiting_.erase(id) == 0)
        return false;
    monitor_.on_settled();
    return true;
}

void peer_connection::write_next()
{
    if (writing_ || unsent_.empty() || closed_ || !started_)
        return;
    writing_ = true;
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(unsent_.front().bytes),
                      [self](asio::error_code error, std::size_t size)
                      {
                          self->writing_ = false;
                          self->counters_->bytes_sent += size;
                          if (error)
                          {
                              self->close();
                              return;
                          }
                          if (!self->unsent_.empty())
                              self->unsent_.pop_front();
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
        refuse("frame length " + std::to_string(size) + " is not allowed");
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
                             self->accept_body(self->body_);
                     });
}

void peer_connection::accept_body(std::string const& body)
{
    auto frame = decode_frame(body);
    if (!frame.ok())
    {
        refuse(std::string(frame.status().message()));
        return;
    }
    monitor_.on_received(mono_now());
    if (frame->__isset.answer)
    {
        last_use_ = mono_now();
        auto const id = correlation_id(frame->answer.call_id);
        settle(id, from_wire(std::move(frame->answer)));
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
    // A large body is not kept for the next small frame.
    constexpr std::size_t kept_capacity = 65'536;
    if (body_.capacity() > kept_capacity)
        std::string().swap(body_);
    if (!closed_)
        read_header();
}

void peer_connection::refuse(std::string_view reason)
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
    // The frame being written may have arrived; those behind it did not.
    std::set<correlation_id> never_sent;
    for (std::size_t i = writing_ ? 1 : 0; i < unsent_.size(); ++i)
    {
        if (unsent_[i].call)
            never_sent.insert(*unsent_[i].call);
    }
    unsent_.clear();
    auto waiting = std::move(waiting_);
    waiting_.clear();
    callbacks_.on_closed(*this);
    for (auto& [id, handler] : waiting)
        handler(never_sent.contains(id) ? make_refusal(refusal::no_upstream)
                                        : make_unknown());
}

bool peer_connection::check(mono_time now)
{
    switch (monitor_.tick(now))
    {
    case link_action::none:
        return true;
    case link_action::send_heartbeat:
    {
        wire::frame question;
        question.__set_beat({});
        question.beat.reply_wanted = true;
        send(encode_frame(question));
        return true;
    }
    case link_action::give_up:
        break;
    }
    ++counters_->links_gone_silent;
    log_event("peer_link_silent", log_level::warning)
        .add("peer", peer.value())
        .add("calls", static_cast<std::int64_t>(waiting_.size()));
    close();
    return false;
}

} // namespace pollenhall
