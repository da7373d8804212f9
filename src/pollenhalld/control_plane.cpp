// The control thread: timers, gossip, the upstream's state, snapshots, rosters
// and queries. `control_documents.cpp` holds the exchange of documents.

#include "control_plane.hpp"

#include <pollenhall/hashing.hpp>
#include <pollenhall/io/log_event.hpp>
#include <pollenhall/io/wire_codec.hpp>

#include <algorithm>
#include <random>

namespace pollenhall
{
namespace
{

constexpr milliseconds tick_interval{20};
constexpr milliseconds role_check_interval{200};
constexpr std::size_t store_nodes_per_zone = 2;

peer_info make_self(node_settings const& settings, boot_id boot)
{
    peer_info self;
    self.node = settings.name;
    self.boot = boot;
    self.endpoint = {.address = settings.address, .port = settings.peer_port};
    self.zone = settings.zone;
    return self;
}

membership_options make_membership_options(node_settings const& settings,
                                           boot_id boot)
{
    membership_options options;
    options.probe_interval = settings.gossip_period;
    options.seed = hash_text(settings.name.value(),
                             static_cast<std::uint64_t>(boot.value()));
    return options;
}

state_chart load_chart(std::string const& path, finding_list& findings)
{
    auto const text = read_file(path);
    if (!text.ok())
    {
        findings.add(path, 0, std::string(text.status().message()));
        return {};
    }
    return state_chart::parse(path, *text, findings);
}

} // namespace

node_charts load_charts(std::string const& folder, finding_list& findings)
{
    return {.upstream = load_chart(folder + "/upstream.ini", findings),
            .node_stop = load_chart(folder + "/node_stop.ini", findings)};
}

control_plane::control_plane(node_settings const& settings,
                             node_charts const& charts, view_holder& view,
                             boot_id boot)
    : settings_(settings), view_(view), work_(asio::make_work_guard(context_)),
      socket_(context_,
              [this](gossip_message const& message, peer_endpoint const& from)
              { on_gossip(message, from); }),
      members_(make_self(settings, boot),
               make_membership_options(settings, boot)),
      queries_(context_),
      store_(settings.store, settings.store_prefix,
             static_cast<std::uint64_t>(boot.value()),
             {.on_spaces =
                  [this](std::vector<space_update> spaces, bool complete)
              {
                  asio::post(context_,
                             [this, spaces = std::move(spaces), complete]
                             { on_stored_spaces(spaces, complete); });
              }}),
      seeds_(settings, store_,
             [this](std::vector<peer_endpoint> endpoints)
             {
                 asio::post(context_, [this, endpoints = std::move(endpoints)]
                            { members_.add_seeds(endpoints); });
             }),
      suspicions_(context_, settings, store_,
                  [this](std::vector<crash_suspicion> const& loaded)
                  {
                      for (auto const& suspicion : loaded)
                          traffic_->add_suspicion(suspicion);
                      socket_.send(
                          members_.gossip_suspicions(loaded, mono_now()));
                  }),
      upstream_life_(charts.upstream, {.lease = settings.upstream_lease,
                                       .warm_up = settings.warm_up}),
      upstream_chart_(charts.upstream), tick_timer_(context_)
{
    members_.add_seeds(settings.seeds);
}

control_plane::~control_plane()
{
    stop();
}

absl::Status control_plane::start()
{
    auto status = socket_.open(
        {.address = settings_.address, .port = settings_.peer_port});
    if (!status.ok())
        return status;
    rebuild_view();
    store_.start();
    schedule_tick();
    thread_ = std::thread([this] { context_.run(); });
    return absl::OkStatus();
}

void control_plane::stop()
{
    if (!thread_.joinable())
        return;
    store_.stop();
    asio::post(context_,
               [this]
               {
                   socket_.close();
                   context_.stop();
               });
    thread_.join();
}

void control_plane::schedule_tick()
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

void control_plane::tick()
{
    auto const now = mono_now();
    socket_.send(members_.tick(now));
    suspicions_.tick(now);
    upstream_life_.tick(now);
    publish_upstream();
    if (built_version_ != members_.table_version())
        rebuild_view();
    if (now < next_role_check_)
        return;
    next_role_check_ = now + role_check_interval;
    bool const role = !stopping_ && has_store_role();
    if (role != watching_)
    {
        watching_ = role;
        store_.set_watching(role);
    }
    seeds_.tick(now, role, members_.live_count() == 0);
    propose_roster(now);
    if (members_.is_superseded())
        log_event("node_superseded", log_level::error)
            .add("node", settings_.name.value());
}

void control_plane::on_gossip(gossip_message const& message,
                              peer_endpoint const& from)
{
    auto const now = mono_now();
    socket_.send(members_.receive(message, from, now));
    for (auto const& digest : message.spaces)
        pull_if_newer(digest, message.sender.endpoint, now);
    auto const received = members_.take_received_suspicions();
    for (auto const& suspicion : received)
        traffic_->add_suspicion(suspicion);
    suspicions_.hear(received);
    compare_book_hashes(message, message.sender.endpoint, now);
}

void control_plane::on_control_frame(link_id link, wire::frame frame)
{
    asio::post(context_,
               [this, link, frame = std::move(frame)]
               {
                   auto const& set = frame.__isset;
                   if (set.pull)
                       on_pull(link, frame.pull);
                   else if (set.push)
                       on_push(link, frame.push);
                   else if (set.digest)
                       on_book_digest(link, frame.digest);
                   else if (set.notice)
                       members_.record_upstream_state(
                           node_id(frame.notice.node),
                           boot_id(frame.notice.boot),
                           service_name(frame.notice.service_name),
                           state_code(frame.notice.state), frame.notice.version,
                           mono_now());
                   else if (set.board_request)
                       on_node_query(link, frame.board_request);
                   else if (set.board)
                       on_node_answer(frame.board);
               });
}

void control_plane::announce_upstream(announced_upstream upstream)
{
    asio::post(context_,
               [this, upstream = std::move(upstream)]() mutable
               {
                   if (upstream != upstream_)
                   {
                       upstream_ = std::move(upstream);
                       traffic_->set_upstream(upstream_);
                   }
                   upstream_life_.on_announced(mono_now());
                   publish_upstream();
               });
}

bool control_plane::fire_upstream_event(std::string_view event)
{
    return run_on_control_thread(
        [&]
        {
            bool const accepted = upstream_life_.fire(event);
            publish_upstream();
            return accepted;
        });
}

void control_plane::report_unreachable()
{
    asio::post(context_,
               [this]
               {
                   upstream_life_.fire("silent");
                   publish_upstream();
               });
}

void control_plane::publish_upstream()
{
    auto const state = upstream_life_.state();
    if (members_.self().upstream_state == state &&
        members_.self().service == upstream_.service)
        return;
    log_event("upstream_state")
        .add("service", upstream_.service.value())
        .add("state", upstream_life_.name());
    traffic_->set_accepting(upstream_life_.accepts_work() && !stopping_);
    socket_.send(members_.set_upstream(upstream_.service, state, mono_now()));
    // Nodes that call this upstream keep a connection open. A frame on these
    // connections reaches them sooner than gossip.
    wire::frame frame;
    frame.__set_notice({});
    frame.notice.service_name = upstream_.service.value();
    frame.notice.state = state.value();
    frame.notice.version = members_.self().version;
    frame.notice.node = settings_.name.value();
    frame.notice.boot = members_.self().boot.value();
    traffic_->reply_to_all(frame);
    rebuild_view();
}

void control_plane::share_suspicions(std::vector<crash_suspicion> suspicions)
{
    asio::post(context_,
               [this, suspicions = std::move(suspicions)]
               {
                   suspicions_.report(suspicions);
                   socket_.send(
                       members_.gossip_suspicions(suspicions, mono_now()));
               });
}

void control_plane::on_roster_status(std::vector<roster_status> statuses)
{
    asio::post(context_,
               [this, statuses = std::move(statuses)]() mutable
               {
                   for (auto& status : statuses)
                   {
                       auto const service = status.service;
                       roster_statuses_[service] = std::move(status);
                   }
               });
}

// The nodes of each zone with the lowest ranks access the store. All nodes
// compute the same ranks from the zone's live peers, so no assignment is needed
// and another node takes over from one that fails.
bool control_plane::has_store_role() const
{
    auto const rank = [&](node_id const& node)
    { return hash_text(node.value(), hash_text(settings_.zone.value())); };
    auto const own = rank(settings_.name);
    std::size_t lower_ranked = 0;
    members_.for_each_peer(
        [&](peer_info const& peer)
        {
            if (peer.zone == settings_.zone && !is_dead_or_left(peer.life) &&
                rank(peer.node) < own)
                ++lower_ranked;
        });
    return lower_ranked < store_nodes_per_zone;
}

service_view
control_plane::candidates_of(std::vector<peer_info const*> const& hosts) const
{
    service_view result;
    for (auto const* host : hosts)
    {
        if (upstream_chart_.has_flag(host->upstream_state, "accepts-work"))
            result.candidates.push_back(
                {.node = host->node,
                 .zone = host->zone,
                 .warming_up = upstream_chart_.has_flag(host->upstream_state,
                                                        "warming-up"),
                 .suspected_dead = host->life == peer_liveness::suspect});
    }
    return result;
}

void control_plane::rebuild_view()
{
    auto view = std::make_shared<node_view>();
    view->self = members_.self();
    view->declarations = configuration_.declarations();
    view->rosters = configuration_.rosters();
    view->spaces = configuration_.book().digests();
    view->accepts_work = !stopping_;
    view->ready = !view->declarations->members().empty();
    for (auto& peer : members_.peers())
        view->peers.emplace(peer.node, std::move(peer));
    std::map<service_name, std::vector<peer_info const*>> hosts;
    for (auto const& [node, peer] : view->peers)
    {
        if (!is_dead_or_left(peer.life) && !peer.service.value().empty())
            hosts[peer.service].push_back(&peer);
    }
    if (!view->self.service.value().empty() && !stopping_)
        hosts[view->self.service].push_back(&view->self);
    for (auto const& [service, list] : hosts)
        view->services.emplace(service, candidates_of(list));
    view_.set(std::move(view));
    built_version_ = members_.table_version();
    traffic_->refresh();
}

void control_plane::propose_roster(mono_time now)
{
    auto const service = upstream_.service;
    if (service.value().empty() || stopping_)
        return;
    std::vector<roster_member> live{
        {.node = settings_.name, .boot = members_.self().boot}};
    members_.for_each_peer(
        [&](peer_info const& peer)
        {
            if (peer.service == service && !is_dead_or_left(peer.life))
                live.push_back({.node = peer.node, .boot = peer.boot});
        });
    auto const rosters = configuration_.rosters();
    auto const known = rosters->find(service);
    auto const status = roster_statuses_.find(service);
    roster_history const none;
    auto const& history = known == rosters->end() ? none : known->second;
    auto const next = proposer_.propose(
        {.node = settings_.name, .boot = members_.self().boot}, std::move(live),
        history,
        status == roster_statuses_.end() ? roster_status{} : status->second,
        now, wall_now());
    if (!next)
        return;
    auto const space = std::string(roster_space_prefix) + service.value();
    write_request request{
        .space = space,
        .base = configuration_.book().newest(space),
        .documents = {{.path = std::string(roster_path),
                       .text = next->format()}},
        .apply_id = settings_.name.value() + "/" +
                    std::to_string(members_.self().boot.value()) + "/" +
                    std::to_string(next->latest()->number.value()),
        .actor = settings_.name.value(),
        .known = known_space_of(space)};
    store_.submit(
        [this, request = std::move(request)](etcd_store& store)
        {
            auto report =
                write_documents(store, settings_.store_prefix, request);
            asio::post(context_, [this, report = std::move(report)]
                       { merge(report.current); });
        });
}

void control_plane::announce_stop()
{
    run_on_control_thread(
        [this]
        {
            stopping_ = true;
            upstream_life_.fire("drain");
            traffic_->set_accepting(false);
            publish_upstream();
            rebuild_view();
            return true;
        });
}

void control_plane::announce_departure()
{
    run_on_control_thread(
        [this]
        {
            socket_.send(members_.leave(mono_now()));
            return true;
        });
}

query_result control_plane::query_all_nodes(milliseconds timeout,
                                            query_subject subject)
{
    std::promise<query_result> promise;
    auto future = promise.get_future();
    asio::post(context_,
               [&]
               {
                   auto nodes = members_.peers();
                   nodes.insert(nodes.begin(), members_.self());
                   auto const endpoints = nodes;
                   auto const id =
                       queries_.open(std::move(nodes), timeout,
                                     [&promise](query_result result)
                                     { promise.set_value(std::move(result)); });
                   wire::frame frame;
                   frame.__set_board_request({});
                   frame.board_request.request_id = id;
                   if (subject.burn_member)
                       frame.board_request.__set_burn_member(
                           subject.burn_member->value());
                   if (!subject.trace_id.empty())
                       frame.board_request.__set_trace_id(subject.trace_id);
                   for (auto const& node : endpoints)
                   {
                       if (!is_dead_or_left(node.life))
                           traffic_->post(node.endpoint, frame);
                   }
               });
    return future.get();
}

void control_plane::on_node_query(link_id link, wire::board_pull const& request)
{
    query_subject subject;
    if (request.__isset.burn_member)
        subject.burn_member = member_name(request.burn_member);
    subject.trace_id = request.trace_id;
    traffic_->snapshot(
        std::move(subject),
        [this, link, id = request.request_id](traffic_snapshot const& snapshot)
        {
            auto const view = view_.get();
            wire::frame frame;
            frame.__set_board({});
            frame.board.request_id = id;
            frame.board.__set_zone(settings_.zone.value());
            if (snapshot.burn)
                frame.board.__set_burn(*snapshot.burn);
            frame.board.__set_decisions(to_wire(snapshot.decisions));
            frame.board.node = settings_.name.value();
            frame.board.boot = view->self.boot.value();
            frame.board.rows = to_wire(snapshot.counts);
            for (auto const& digest : view->spaces)
                frame.board.in_force.push_back(to_wire(digest));
            traffic_->reply(link, std::move(frame));
        });
}

void control_plane::on_node_answer(wire::board_push const& push)
{
    node_answer answer;
    answer.node = node_id(push.node);
    answer.boot = boot_id(push.boot);
    answer.zone = zone_name(push.zone);
    answer.burn = from_wire(push.burn, member_name());
    answer.decisions = from_wire(push.decisions);
    answer.counts = from_wire(push.rows);
    for (auto const& digest : push.in_force)
        answer.spaces.push_back(from_wire(digest));
    queries_.on_answer(push.request_id, std::move(answer));
}

std::size_t control_plane::count_accepting() const
{
    std::size_t count = 0;
    members_.for_each_peer(
        [&](peer_info const& peer)
        {
            if (!is_dead_or_left(peer.life) &&
                upstream_chart_.has_flag(peer.upstream_state, "accepts-work"))
                ++count;
        });
    return count;
}

control_snapshot control_plane::snapshot()
{
    return run_on_control_thread(
        [this]
        {
            return control_snapshot{.gossip = socket_.counters(),
                                    .live_peers = members_.live_count(),
                                    .accepting_peers = count_accepting(),
                                    .store_calls = store_.calls(),
                                    .store_reachable = store_.is_reachable(),
                                    .watching = watching_,
                                    .upstream_state =
                                        std::string(upstream_life_.name())};
        });
}

} // namespace pollenhall
