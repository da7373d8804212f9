// Implements the traffic thread.

#include "traffic_plane.hpp"

#include <pollenhall/io/log_event.hpp>
#include <pollenhall/io/wire_codec.hpp>

#include <asio/post.hpp>

namespace pollenhall
{
namespace
{
constexpr milliseconds tick_interval{50};
} // namespace

traffic_plane::traffic_plane(node_settings const& settings,
                             view_holder const& view, boot_id boot,
                             traffic_plane_callbacks callbacks)
    : settings_(settings), callbacks_(std::move(callbacks)),
      work_(asio::make_work_guard(context_)),
      core_(context_, settings, view, boot,
            std::hash<node_id>{}(settings.name) ^
                static_cast<std::uint64_t>(boot.value()) << 20U),
      tick_timer_(context_)
{
    core_.share_suspicions = callbacks_.on_suspicions;
    core_.report_unreachable = callbacks_.on_upstream_unreachable;
    peer_links_options options;
    options.listen = {.address = settings.address, .port = settings.peer_port};
    options.node = settings.name;
    options.boot = boot;
    options.zone = settings.zone;
    core_.links = std::make_unique<peer_links>(
        context_, options,
        peer_links::handlers{
            .on_frame = [this](link_id link, wire::frame&& frame)
            { on_frame(link, std::move(frame)); },
            .on_closed = [this](link_id link) { on_link_closed(link); },
            .on_refused = [this](peer_endpoint const& endpoint)
            { entry_->home().on_refused(endpoint); }});
    entry_ = std::make_unique<call_entry>(core_);
}

traffic_plane::~traffic_plane()
{
    stop();
}

absl::Status traffic_plane::start()
{
    if (auto status = core_.links->listen(); !status.ok())
        return status;
    schedule_tick();
    thread_ = std::thread([this] { context_.run(); });
    return absl::OkStatus();
}

void traffic_plane::stop()
{
    if (!thread_.joinable())
        return;
    asio::post(context_,
               [this]
               {
                   core_.links->close();
                   tick_timer_.cancel();
                   work_.reset();
                   context_.stop();
               });
    thread_.join();
}

void traffic_plane::schedule_tick()
{
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait(
        [this](asio::error_code error)
        {
            if (error)
                return;
            tick();
            schedule_tick();
        });
}

void traffic_plane::tick()
{
    idle_ =
        entry_->is_idle() && peer_calls_.empty() && core_.links->unsent() == 0;
    entry_->home().refresh();
    auto statuses = entry_->home().roster_statuses();
    if (statuses != reported_statuses_)
    {
        reported_statuses_ = statuses;
        callbacks_.on_roster_status(std::move(statuses));
    }
}

std::uint64_t traffic_plane::serve(caller_request request,
                                   answer_handler handler)
{
    idle_ = false;
    auto const number = next_call_++;
    asio::post(
        context_, [this, number, request = std::move(request),
                   handler = std::move(handler)]() mutable
        { entry_->serve(number, std::move(request), std::move(handler)); });
    return number;
}

void traffic_plane::cancel(std::uint64_t call)
{
    asio::post(context_, [this, call] { entry_->cancel(call); });
}

void traffic_plane::set_upstream(announced_upstream upstream)
{
    asio::post(context_, [this, upstream = std::move(upstream)]
               { entry_->runner().set_upstream(upstream); });
}

void traffic_plane::set_accepting(bool accepting)
{
    asio::post(context_, [this, accepting]
               { entry_->runner().set_accepting(accepting); });
}

void traffic_plane::add_suspicion(crash_suspicion suspicion)
{
    asio::post(context_,
               [this, suspicion] { core_.guard.add(suspicion, mono_now()); });
}

void traffic_plane::refresh()
{
    asio::post(context_, [this] { entry_->home().refresh(); });
}

void traffic_plane::post(peer_endpoint to, wire::frame frame)
{
    asio::post(context_, [this, to = std::move(to), frame = std::move(frame)]
               { core_.links->post(to, frame); });
}

void traffic_plane::reply(link_id link, wire::frame frame)
{
    asio::post(context_, [this, link, frame = std::move(frame)]
               { core_.links->reply(link, frame); });
}

void traffic_plane::reply_to_all(wire::frame frame)
{
    asio::post(context_, [this, frame = std::move(frame)]
               { core_.links->reply_to_all(frame); });
}

void traffic_plane::snapshot(query_subject subject,
                             std::function<void(traffic_snapshot)> handler)
{
    asio::post(
        context_,
        [this, subject = std::move(subject), handler = std::move(handler)]
        {
            traffic_snapshot result{.counts = core_.counts,
                                    .burn = {},
                                    .decisions = {},
                                    .load = entry_->runner().load(),
                                    .links = core_.links->counters()};
            if (subject.burn_member)
                result.burn =
                    to_wire(core_.burn, *subject.burn_member, wall_now());
            if (!subject.trace_id.empty())
                result.decisions = core_.decisions.find(subject.trace_id);
            handler(std::move(result));
        });
}

void traffic_plane::on_frame(link_id link, wire::frame&& frame)
{
    auto const& set = frame.__isset;
    if (set.request)
        on_request(link, std::move(frame.request));
    else if (set.cancel)
        on_cancel(link, frame.cancel);
    else if (set.seal)
    {
        wire::frame answer;
        answer.__set_sealed(entry_->home().answer_seal_request(frame.seal));
        core_.links->reply(link, answer);
    }
    else if (set.sealed)
        entry_->home().on_seal_answer(frame.sealed);
    else
        callbacks_.on_control_frame(link, std::move(frame));
}

void traffic_plane::on_request(link_id link, wire::call_request&& request)
{
    auto const id = request.call_id;
    auto call = from_wire(std::move(request), mono_now());
    auto const answer = [this, link, id](call_result const& result)
    {
        peer_calls_.erase({link, id});
        wire::frame frame;
        frame.__set_answer(to_wire(result, correlation_id(id)));
        core_.links->reply(link, frame);
    };
    if (!call.ok())
    {
        log_event("peer_call_refused", log_level::warning)
            .add("reason", std::string(call.status().message()));
        answer(make_refusal(refusal::key_refused));
        return;
    }
    idle_ = false;
    peer_calls_[{link, id}] = nullptr;
    auto canceller = entry_->serve_peer(std::move(*call), answer);
    auto const found = peer_calls_.find({link, id});
    if (found != peer_calls_.end())
        found->second = std::move(canceller);
}

void traffic_plane::on_cancel(link_id link, wire::call_cancel const& cancel)
{
    auto node = peer_calls_.extract({link, cancel.call_id});
    if (!node.empty() && node.mapped())
        node.mapped()();
}

void traffic_plane::on_link_closed(link_id link)
{
    // The peer that sent these calls no longer waits for their answers.
    std::vector<attempt_canceller> cancellers;
    auto item = peer_calls_.lower_bound({link, 0});
    while (item != peer_calls_.end() && item->first.first == link)
    {
        if (item->second)
            cancellers.push_back(std::move(item->second));
        item = peer_calls_.erase(item);
    }
    for (auto const& cancel : cancellers)
        cancel();
}

} // namespace pollenhall
