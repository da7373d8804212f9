// Implements the codec with Thrift's compact protocol. Frames have a length
// prefix; datagrams have none.

#include <pollenhall/io/wire_codec.hpp>
#include <pollenhall/mesh/http_message.hpp>
#include <pollenhall/version.hpp>

#include <algorithm>
#include <memory>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace pollenhall
{
namespace
{

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr int max_nesting_depth = 16;

template <class Message>
std::string encode_message(Message const& message)
{
    auto const buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

// Throws Thrift's exceptions on malformed input.
template <class Message>
Message decode_message(std::string_view bytes)
{
    auto const limit = static_cast<int>(max_frame_bytes);
    auto const config =
        std::make_shared<TConfiguration>(limit, limit, max_nesting_depth);
    // OBSERVE only reads the bytes, but Thrift's interface is not const.
    auto* const data = const_cast<std::uint8_t*>(
        reinterpret_cast<std::uint8_t const*>(bytes.data()));
    auto const buffer = std::make_shared<TMemoryBuffer>(
        data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE,
        config);
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, limit, limit);
    Message message;
    auto const bytes_read = message.read(&protocol);
    if (bytes_read != bytes.size())
        throw apache::thrift::TException("unexpected bytes after the message");
    return message;
}

int count_fields(wire::frame const& frame)
{
    auto const& set = frame.__isset;
    return set.hello_message + set.request + set.answer + set.cancel +
           set.notice + set.pull + set.push + set.digest + set.board_request +
           set.board + set.seal + set.sealed + set.beat;
}

wire::peer_record to_wire(peer_info const& info)
{
    wire::peer_record record;
    record.node = info.node.value();
    record.boot = info.boot.value();
    record.incarnation = info.incarnation;
    record.life = static_cast<int>(info.life);
    record.address = info.endpoint.address;
    record.peer_port = info.endpoint.port;
    record.zone = info.zone.value();
    record.service_name = info.service.value();
    record.upstream_state = info.upstream_state.value();
    record.version = info.version;
    return record;
}

peer_info from_wire(wire::peer_record const& record)
{
    constexpr int max_port = 65'535;
    bool const valid = record.life >= 0 &&
                       record.life <= static_cast<int>(peer_liveness::left) &&
                       record.peer_port > 0 && record.peer_port <= max_port &&
                       !record.node.empty();
    if (!valid)
        throw apache::thrift::TException(
            "peer record has an empty or out-of-range field");
    peer_info info;
    info.node = node_id(record.node);
    info.boot = boot_id(record.boot);
    info.incarnation = record.incarnation;
    info.life = static_cast<peer_liveness>(record.life);
    info.endpoint = {.address = record.address, .port = record.peer_port};
    info.zone = zone_name(record.zone);
    info.service = service_name(record.service_name);
    info.upstream_state = state_code(record.upstream_state);
    info.version = record.version;
    return info;
}

wire::gossip_datagram to_wire(gossip_message const& message)
{
    wire::gossip_datagram datagram;
    datagram.protocol_version = protocol_version;
    datagram.kind = static_cast<wire::datagram_kind::type>(message.kind);
    datagram.sequence = message.sequence;
    datagram.sender = to_wire(message.sender);
    datagram.target = message.target.value();
    for (auto const& update : message.updates)
        datagram.updates.push_back(to_wire(update));
    for (auto const& digest : message.spaces)
        datagram.spaces.push_back(to_wire(digest));
    for (auto const& item : message.suspicions)
    {
        wire::suspicion_record record;
        record.fingerprint = static_cast<std::int64_t>(item.content.value());
        record.crash_id = static_cast<std::int64_t>(item.crash.value());
        record.time_left_ms = static_cast<int>(item.time_left.count());
        record.__set_confirmed(item.confirmed);
        datagram.suspicions.push_back(record);
    }
    if (message.suspicion_hash)
        datagram.__set_suspicion_hash(
            static_cast<std::int64_t>(*message.suspicion_hash));
    datagram.table_hash = static_cast<std::int64_t>(message.table_hash);
    datagram.book_hash = static_cast<std::int64_t>(message.book_hash);
    datagram.bucket_hashes.assign(message.bucket_hashes.begin(),
                                  message.bucket_hashes.end());
    datagram.reply_wanted = message.reply_wanted;
    return datagram;
}

gossip_message from_wire(wire::gossip_datagram const& datagram)
{
    gossip_message message;
    message.kind = static_cast<gossip_kind>(datagram.kind);
    message.sequence = datagram.sequence;
    message.sender = from_wire(datagram.sender);
    message.target = node_id(datagram.target);
    for (auto const& update : datagram.updates)
        message.updates.push_back(from_wire(update));
    for (auto const& digest : datagram.spaces)
        message.spaces.push_back(pollenhall::from_wire(digest));
    for (auto const& record : datagram.suspicions)
        message.suspicions.push_back(
            {.content =
                 fingerprint(static_cast<std::uint64_t>(record.fingerprint)),
             .crash = crash_id(static_cast<std::uint64_t>(record.crash_id)),
             .time_left = milliseconds(record.time_left_ms),
             .confirmed = record.confirmed});
    if (datagram.__isset.suspicion_hash)
        message.suspicion_hash =
            static_cast<std::uint64_t>(datagram.suspicion_hash);
    message.table_hash = static_cast<std::uint64_t>(datagram.table_hash);
    message.book_hash = static_cast<std::uint64_t>(datagram.book_hash);
    message.bucket_hashes.assign(datagram.bucket_hashes.begin(),
                                 datagram.bucket_hashes.end());
    message.reply_wanted = datagram.reply_wanted;
    return message;
}

std::vector<wire::header_field> to_wire(std::vector<http_header> const& items)
{
    std::vector<wire::header_field> fields;
    fields.reserve(items.size());
    for (auto const& item : items)
    {
        wire::header_field field;
        field.name = item.name;
        field.value = item.value;
        fields.push_back(std::move(field));
    }
    return fields;
}

std::vector<http_header> from_wire(std::vector<wire::header_field>&& fields)
{
    std::vector<http_header> items;
    items.reserve(fields.size());
    for (auto& field : fields)
        items.push_back(
            {.name = std::move(field.name), .value = std::move(field.value)});
    return items;
}

} // namespace

call_result make_refusal(refusal reason, milliseconds retry_after)
{
    call_result result;
    result.what = outcome::not_run;
    result.reason = reason;
    result.retry_after = retry_after;
    return result;
}

call_result make_home_unreachable_result()
{
    auto result = make_unknown_result();
    result.reason = refusal::home_unreachable;
    return result;
}

call_result make_unknown_result()
{
    return {};
}

std::string encode_frame(wire::frame const& frame)
{
    auto const body = encode_message(frame);
    auto const size = static_cast<std::uint32_t>(body.size());
    std::string bytes;
    bytes.reserve(frame_header_bytes + body.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes +=
            static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xFFU);
    return bytes + body;
}

std::size_t decode_frame_length(std::string_view header)
{
    std::size_t size = 0;
    for (char const c : header.substr(0, frame_header_bytes))
        size = size << 8U | static_cast<unsigned char>(c);
    return size;
}

absl::StatusOr<wire::frame> decode_frame(std::string_view bytes)
{
    try
    {
        auto frame = decode_message<wire::frame>(bytes);
        if (count_fields(frame) != 1)
            return absl::InvalidArgumentError(
                "frame does not contain exactly one known message");
        return frame;
    }
    catch (std::exception const& error)
    {
        return absl::InvalidArgumentError(std::string("frame is malformed: ") +
                                          error.what());
    }
}

std::string encode_gossip(gossip_message const& message)
{
    return encode_message(to_wire(message));
}

absl::StatusOr<gossip_message> decode_gossip(std::string_view bytes)
{
    try
    {
        auto const datagram = decode_message<wire::gossip_datagram>(bytes);
        if (datagram.protocol_version != protocol_version)
            return absl::FailedPreconditionError(
                "protocol version " +
                std::to_string(datagram.protocol_version) +
                " is not supported");
        return from_wire(datagram);
    }
    catch (std::exception const& error)
    {
        return absl::InvalidArgumentError(
            std::string("datagram is malformed: ") + error.what());
    }
}

wire::call_request to_wire(forwarded_call const& call, correlation_id id,
                           mono_time now)
{
    wire::call_request request;
    request.call_id = id.value();
    request.service_name = call.kind.service.value();
    request.kind = call.kind.kind.value();
    request.method = call.method;
    request.target = call.target;
    request.headers = to_wire(call.headers);
    request.body = call.body ? *call.body : std::string();
    auto const left =
        std::chrono::duration_cast<milliseconds>(call.deadline - now);
    request.time_left_ms =
        static_cast<int>(std::max<std::int64_t>(0, left.count()));
    request.retries_lent = call.lent.value();
    request.importance = static_cast<int>(call.level);
    request.cohort = call.cohort;
    request.work_done = call.work_done;
    request.trace_id = call.trace_id;
    request.member = call.member.value();
    request.key = call.key ? call.key->text() : std::string();
    request.delegated = call.delegated;
    request.fingerprint = static_cast<std::int64_t>(call.content.value());
    request.attempt = call.attempt;
    return request;
}

absl::StatusOr<forwarded_call> from_wire(wire::call_request&& request,
                                         mono_time now)
{
    forwarded_call call;
    if (!request.key.empty())
    {
        call.key = idempotency_key::parse(request.key);
        if (!call.key)
            return absl::InvalidArgumentError("idempotency key is malformed");
    }
    call.kind = {.service = service_name(std::move(request.service_name)),
                 .kind = kind_name(std::move(request.kind))};
    call.method = std::move(request.method);
    call.target = std::move(request.target);
    call.headers = from_wire(std::move(request.headers));
    call.body = std::make_shared<std::string const>(std::move(request.body));
    call.deadline = now + milliseconds(request.time_left_ms);
    call.lent = retry_count(request.retries_lent);
    call.level = static_cast<importance>(
        std::clamp(request.importance, 0, importance_count - 1));
    call.cohort = request.cohort;
    call.work_done = request.work_done;
    call.trace_id = std::move(request.trace_id);
    call.member = member_name(std::move(request.member));
    call.delegated = request.delegated;
    call.content = fingerprint(static_cast<std::uint64_t>(request.fingerprint));
    call.attempt = request.attempt;
    return call;
}

wire::call_answer to_wire(call_result const& result, correlation_id id)
{
    wire::call_answer answer;
    answer.call_id = id.value();
    answer.outcome = static_cast<wire::outcome_code::type>(result.what);
    answer.status = result.status;
    answer.headers = to_wire(result.headers);
    answer.body = result.body;
    answer.retries_returned = result.returned.value();
    answer.reason = result.reason ? std::string(to_string(*result.reason)) : "";
    answer.retry_after_ms = static_cast<int>(result.retry_after.count());
    answer.upstream_failed = result.upstream_failed;
    answer.load.running = result.load.running;
    answer.load.queued = result.load.queued;
    answer.load.limit = result.load.limit;
    answer.load.admitted_rank = result.load.admitted_rank.value();
    answer.load.accepting = result.load.accepting;
    return answer;
}

absl::StatusOr<call_result> from_wire(wire::call_answer&& answer)
{
    constexpr int min_status = 200;
    constexpr int max_status = 599;
    call_result result;
    result.from_peer = true;
    result.what = static_cast<outcome>(answer.outcome);
    if (result.what < outcome::completed || result.what > outcome::unknown)
        return absl::InvalidArgumentError("answer has an unknown outcome");
    if (result.what == outcome::completed &&
        (answer.status < min_status || answer.status > max_status))
        return absl::InvalidArgumentError("answer has the status " +
                                          std::to_string(answer.status));
    for (auto const& field : answer.headers)
        if (!mesh::is_valid_field(field.name, field.value))
            return absl::InvalidArgumentError(
                "answer has an invalid header field");
    result.status = answer.status;
    result.headers = from_wire(std::move(answer.headers));
    result.body = std::move(answer.body);
    result.returned = retry_count(answer.retries_returned);
    result.reason = parse_refusal(answer.reason);
    result.retry_after = milliseconds(answer.retry_after_ms);
    result.upstream_failed = answer.upstream_failed;
    result.load = {.running = answer.load.running,
                   .queued = answer.load.queued,
                   .limit = answer.load.limit,
                   .admitted_rank = request_rank(answer.load.admitted_rank),
                   .accepting = answer.load.accepting};
    return result;
}

wire::space_push to_wire(space_update const& update)
{
    wire::space_push push;
    push.space = update.space;
    push.generation = update.newest.value();
    push.apply_id = update.apply_id;
    push.actor = update.actor;
    push.since = update.since.value();
    for (auto const& item : update.documents)
    {
        wire::space_document document;
        document.path = item.path;
        document.generation = item.changed.value();
        if (item.text)
            document.__set_text(*item.text);
        push.documents.push_back(std::move(document));
    }
    return push;
}

space_update from_wire(wire::space_push const& push)
{
    space_update update{.space = push.space,
                        .newest = generation(push.generation),
                        .apply_id = push.apply_id,
                        .actor = push.actor,
                        .since = generation(push.since),
                        .documents = {}};
    for (auto const& item : push.documents)
    {
        versioned_document document{.path = item.path,
                                    .changed = generation(item.generation),
                                    .text = std::nullopt};
        if (item.__isset.text)
            document.text = item.text;
        update.documents.push_back(std::move(document));
    }
    return update;
}

std::vector<wire::board_row> to_wire(board const& counts)
{
    std::vector<wire::board_row> rows;
    for (auto const& [key, item] : counts.rows())
    {
        wire::board_row row;
        row.member = key.member.value();
        row.service_name = key.kind.service.value();
        row.kind = key.kind.kind.value();
        row.offered = item.offered;
        row.completed_in_time = item.completed_in_time;
        row.completed_late = item.completed_late;
        row.not_run = item.not_run;
        row.unknown = item.unknown;
        row.retries = item.retries;
        row.shed = item.shed;
        row.upstream_runs = item.upstream_runs;
        row.runs_for_others = item.runs_for_others;
        row.__set_lent_ms(item.lent_ms);
        row.__set_runs_borrowed(item.runs_borrowed);
        row.__set_borrowed_ms(item.borrowed_ms);
        rows.push_back(std::move(row));
    }
    return rows;
}

board from_wire(std::vector<wire::board_row> const& rows)
{
    board counts;
    for (auto const& row : rows)
    {
        usage_key const key{.member = member_name(row.member),
                            .kind = {.service = service_name(row.service_name),
                                     .kind = kind_name(row.kind)}};
        counts.row(key) += {.offered = row.offered,
                            .completed_in_time = row.completed_in_time,
                            .completed_late = row.completed_late,
                            .not_run = row.not_run,
                            .unknown = row.unknown,
                            .retries = row.retries,
                            .shed = row.shed,
                            .upstream_runs = row.upstream_runs,
                            .runs_for_others = row.runs_for_others,
                            .lent_ms = row.lent_ms,
                            .runs_borrowed = row.runs_borrowed,
                            .borrowed_ms = row.borrowed_ms};
    }
    return counts;
}

wire::burn_part to_wire(burn_history const& history, member_name const& member,
                        wall_time now)
{
    wire::burn_part part;
    for (auto const& [key, windows] : history.windows(member, now))
    {
        wire::burn_row row;
        row.service_name = key.kind.service.value();
        row.kind = key.kind.kind.value();
        row.at_upstream = key.place == measurement_point::upstream;
        for (auto const& counts : windows)
            row.windows.emplace_back(counts.by_end.begin(),
                                     counts.by_end.end());
        part.rows.push_back(std::move(row));
    }
    for (auto const& item : history.seconds_of(member, now))
    {
        wire::load_second_record record;
        record.second = item.second;
        record.ended = item.ended;
        record.in_time = item.in_time;
        record.shed = item.shed;
        part.seconds.push_back(record);
    }
    part.kept_while_shedding = history.kept_while_shedding(member, now);
    part.left_out = history.left_out();
    return part;
}

burn_summary from_wire(wire::burn_part const& part, member_name const& member)
{
    burn_summary summary;
    for (auto const& row : part.rows)
    {
        burn_key const key{.member = member,
                           .kind = {.service = service_name(row.service_name),
                                    .kind = kind_name(row.kind)},
                           .place = row.at_upstream
                                        ? measurement_point::upstream
                                        : measurement_point::entry};
        auto& windows = summary.rows[key];
        // A peer of another version may send a different number of windows or
        // ways to end.
        for (std::size_t i = 0;
             i < std::min(windows.size(), row.windows.size()); ++i)
            std::copy_n(row.windows[i].begin(),
                        std::min(request_end_count, row.windows[i].size()),
                        windows[i].by_end.begin());
    }
    for (auto const& item : part.seconds)
        summary.seconds.push_back({.second = item.second,
                                   .ended = item.ended,
                                   .in_time = item.in_time,
                                   .shed = item.shed});
    summary.kept_while_shedding = part.kept_while_shedding;
    summary.left_out = part.left_out;
    return summary;
}

std::vector<wire::decision_line>
to_wire(std::vector<decision_record> const& records)
{
    std::vector<wire::decision_line> lines;
    lines.reserve(records.size());
    for (auto const& record : records)
    {
        wire::decision_line line;
        line.at_ms = record.at.time_since_epoch().count();
        line.member = record.member.value();
        line.service_name = record.kind.service.value();
        line.kind = record.kind.kind.value();
        line.point = to_string(record.point);
        line.outcome = to_string(record.result);
        line.reason =
            record.reason ? std::string(to_string(*record.reason)) : "";
        line.peer = record.peer.value();
        lines.push_back(std::move(line));
    }
    return lines;
}

std::vector<decision_record>
from_wire(std::vector<wire::decision_line> const& lines)
{
    std::vector<decision_record> records;
    records.reserve(lines.size());
    for (auto const& line : lines)
        records.push_back(
            {.at = wall_time(milliseconds(line.at_ms)),
             .trace_id = {},
             .member = member_name(line.member),
             .kind = {.service = service_name(line.service_name),
                      .kind = kind_name(line.kind)},
             .point = parse_decision_point(line.point)
                          .value_or(decision_point::entry),
             .result = parse_outcome(line.outcome).value_or(outcome::unknown),
             .reason = parse_refusal(line.reason),
             .peer = node_id(line.peer)});
    return records;
}

wire::space_digest to_wire(space_digest const& digest)
{
    wire::space_digest result;
    result.space = digest.space;
    result.generation = digest.newest.value();
    return result;
}

space_digest from_wire(wire::space_digest const& digest)
{
    return {.space = digest.space, .newest = generation(digest.generation)};
}

} // namespace pollenhall
