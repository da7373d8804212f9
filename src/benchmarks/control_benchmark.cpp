// Measures CPU time and memory of the control plane's data structures at
// design size: 3,200 peers, 530 services and 11,000 changes a day. Prints the
// results as JSON.

#include <pollenhall/burn_history.hpp>
#include <pollenhall/document_book.hpp>
#include <pollenhall/home_roster.hpp>
#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/wire_codec.hpp>
#include <pollenhall/membership.hpp>

#include <iostream>
#include <malloc.h>

#include <nlohmann/json.hpp>

namespace
{

using namespace pollenhall;
using nlohmann::json;

constexpr int peer_count = 3'200;
constexpr int service_count = 530;
constexpr int zone_count = 12;
constexpr int changes_per_day = 11'000;
constexpr int measured_messages = 200;

double megabytes_in_use()
{
    auto const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

// Runs a function `runs` times; returns the mean duration in microseconds.
template <class Function>
double mean_us(int runs, Function function)
{
    auto const start = mono_now();
    for (int i = 0; i < runs; ++i)
        function(i);
    return static_cast<double>((mono_now() - start).count()) / runs;
}

peer_info make_peer(int number)
{
    peer_info peer;
    peer.node = node_id("service-" + std::to_string(number % service_count) +
                        "-host-" + std::to_string(number));
    peer.boot = boot_id(1'796'374'781'890 + number);
    peer.endpoint = {.address = "10.20." + std::to_string(number / 250) + "." +
                                std::to_string(number % 250),
                     .port = 7'002};
    peer.zone = zone_name("zone-" + std::to_string(number % zone_count));
    peer.service =
        service_name("service-" + std::to_string(number % service_count));
    peer.upstream_state = state_code(2);
    peer.version = 2;
    return peer;
}

json measure_membership()
{
    auto const before = megabytes_in_use();
    membership members(make_peer(0), {});
    mono_time now{seconds{1}};
    for (int i = 1; i < peer_count; ++i)
    {
        gossip_message message;
        message.sender = make_peer(i);
        members.receive(message, message.sender.endpoint, now);
    }
    gossip_message ping;
    ping.kind = gossip_kind::ping;
    ping.sender = make_peer(7);
    ping.target = make_peer(0).node;
    // Enough pings for `members` to pass on all updates, so that the next
    // measurement shows the state without changes.
    constexpr int warm_up_messages = 12'000;
    auto const receive_with_updates_us =
        mean_us(warm_up_messages,
                [&](int) { members.receive(ping, ping.sender.endpoint, now); });
    double bytes = 0;
    auto const receive_us =
        mean_us(measured_messages,
                [&](int)
                {
                    for (auto const& item :
                         members.receive(ping, ping.sender.endpoint, now))
                        bytes += static_cast<double>(
                            encode_gossip(item.message).size());
                });
    // Only a few ticks, so that no peer becomes suspect because its probes
    // remain unanswered.
    constexpr int measured_ticks = 20;
    auto const tick_us =
        mean_us(measured_ticks, [&](int) { members.tick(now += seconds{1}); });
    return {{"peers", peer_count},
            {"megabytes", megabytes_in_use() - before},
            {"receive_ping_with_news_us", receive_with_updates_us},
            {"receive_ping_us", receive_us},
            {"tick_us", tick_us},
            {"bytes_sent_a_ping", bytes / measured_messages}};
}

json measure_documents()
{
    auto const before = megabytes_in_use();
    document_book book;
    std::string const text(1'200, 'x');
    for (int i = 0; i < service_count; ++i)
    {
        space_update update{.space = "roster/service-" + std::to_string(i),
                            .newest = generation(1),
                            .apply_id = "id",
                            .actor = "node",
                            .since = generation(0),
                            .documents = {{.path = "roster.json",
                                           .changed = generation(1),
                                           .text = text}}};
        book.merge(update);
        update.space = "member/all";
        update.newest = generation(i + 1);
        update.since = generation(i);
        update.documents.front().path =
            "services/" + std::to_string(i) + ".ini";
        update.documents.front().changed = update.newest;
        book.merge(update);
    }
    auto const megabytes = megabytes_in_use() - before;
    auto const merge_us =
        mean_us(changes_per_day,
                [&](int i)
                {
                    generation const next(service_count + 1 + i);
                    space_update const update{
                        .space = "member/all",
                        .newest = next,
                        .apply_id = std::to_string(i),
                        .actor = "operator",
                        .since = generation(next.value() - 1),
                        .documents = {
                            {.path = "services/" +
                                     std::to_string(i % service_count) + ".ini",
                             .changed = next,
                             .text = text}}};
                    book.merge(update);
                });
    auto const hash_us = mean_us(measured_messages,
                                 [&](int) { static_cast<void>(book.hash()); });
    return {{"services", service_count},
            {"megabytes", megabytes},
            {"merge_us", merge_us},
            {"book_hash_us", hash_us}};
}

// Measures the history of a node that receives requests of 256 kinds, half of
// its maximum number of rows, in every minute of the longest window, and the
// sum of such histories over all nodes.
json measure_history()
{
    constexpr int kind_count = 256;
    constexpr int minutes = 360;
    constexpr int kinds_per_member = 20;
    auto const key_of = [](int kind)
    {
        return burn_key{
            .member = member_name("member-" +
                                  std::to_string(kind / kinds_per_member)),
            .kind = {service_name("service"),
                     kind_name("kind-" + std::to_string(kind))}};
    };
    auto const time_of = [](int minute)
    { return wall_time(std::chrono::minutes(20'000'000 + minute)); };
    auto const before = megabytes_in_use();
    burn_history history;
    std::vector<burn_key> keys;
    keys.reserve(kind_count);
    for (int kind = 0; kind < kind_count; ++kind)
        keys.push_back(key_of(kind));
    auto const note_us =
        mean_us(minutes * kind_count,
                [&](int i)
                {
                    history.note(keys[static_cast<std::size_t>(i % kind_count)],
                                 importance::high, request_end::in_time,
                                 time_of(i / kind_count));
                });
    auto const megabytes = megabytes_in_use() - before;
    auto const now = time_of(minutes - 1);
    auto const member = member_name("member-0");
    auto const part = to_wire(history, member, now);
    auto const answer_us =
        mean_us(measured_messages,
                [&](int) { static_cast<void>(to_wire(history, member, now)); });
    burn_summary sum;
    auto const merge_us =
        mean_us(peer_count, [&](int) { sum += from_wire(part, member); });
    wire::frame frame;
    frame.__set_board({});
    frame.board.__set_burn(part);
    return {{"kinds", kind_count},
            {"megabytes", megabytes},
            {"note_us", note_us},
            {"rows_of_member", part.rows.size()},
            {"answer_bytes", encode_frame(frame).size()},
            {"answer_us", answer_us},
            {"merge_all_peers_ms", merge_us * peer_count / 1'000}};
}

} // namespace

int main()
{
    json const report{{"membership", measure_membership()},
                      {"documents", measure_documents()},
                      {"history", measure_history()}};
    std::cout << report.dump(2) << "\n";
    return 0;
}
