// The operators' RPCs, implemented on top of the control thread.

#include "operator_server.hpp"

#include "burn_report.hpp"
#include "operator_access.hpp"

#include <pollenhall/ini_document.hpp>
#include <pollenhall/io/log_event.hpp>
#include <pollenhall/trace_context.hpp>
#include <pollenhall/version.hpp>

#include <operator_service.h>

#include <algorithm>
#include <future>
#include <thread>

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

namespace pollenhall
{
namespace
{

using apache::thrift::protocol::TBinaryProtocolFactory;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TBufferedTransportFactory;
using apache::thrift::transport::TServerSocket;

constexpr milliseconds query_timeout{800};
constexpr int max_concurrent_operators = 16;
// A connection that is idle for this long is closed, since the number of
// connections is limited.
constexpr milliseconds idle_timeout{10'000};
constexpr std::size_t max_actor_bytes = 128;
constexpr std::size_t max_apply_id_bytes = 64;

std::vector<declaration_file>
from_rpc(std::vector<rpc::document> const& documents)
{
    std::vector<declaration_file> files;
    files.reserve(documents.size());
    for (auto const& document : documents)
        files.push_back({.path = document.path, .text = document.text});
    return files;
}

std::vector<rpc::finding> to_rpc(std::vector<finding> const& findings)
{
    std::vector<rpc::finding> result;
    for (auto const& item : findings)
    {
        rpc::finding converted;
        converted.path = item.path;
        converted.line = item.line;
        converted.message = item.message;
        result.push_back(std::move(converted));
    }
    return result;
}

std::string text_at(std::vector<declaration_file> const& files,
                    std::string const& path)
{
    for (auto const& file : files)
    {
        if (file.path == path)
            return file.text;
    }
    return {};
}

std::vector<rpc::document_change>
describe_changes(std::vector<declaration_file> const& before,
                 std::vector<declaration_file> const& after)
{
    std::vector<rpc::document_change> changes;
    for (auto const& document : changed_documents(before, after, generation(1)))
    {
        rpc::document_change change;
        change.path = document.path;
        change.before = text_at(before, document.path);
        change.after = document.text.value_or("");
        bool const existed = std::any_of(
            before.begin(), before.end(),
            [&](auto const& file) { return file.path == document.path; });
        if (!document.text)
            change.kind = rpc::change_kind::removed;
        else
            change.kind =
                existed ? rpc::change_kind::changed : rpc::change_kind::added;
        changes.push_back(std::move(change));
    }
    return changes;
}

rpc::apply_result::type to_rpc(write_outcome result)
{
    switch (result)
    {
    case write_outcome::accepted:
        return rpc::apply_result::accepted;
    case write_outcome::unchanged:
        return rpc::apply_result::unchanged;
    case write_outcome::conflict:
        return rpc::apply_result::conflict;
    case write_outcome::not_accepted:
        return rpc::apply_result::not_accepted;
    case write_outcome::too_large:
        return rpc::apply_result::invalid;
    case write_outcome::not_known:
        break;
    }
    return rpc::apply_result::not_known;
}

rpc::apply_reply to_rpc(apply_report const& report)
{
    rpc::apply_reply reply;
    reply.member = report.member.value();
    reply.findings = to_rpc(report.findings);
    reply.message = report.write.message;
    reply.generation = report.write.current.newest.value();
    if (!report.findings.empty())
    {
        reply.result = rpc::apply_result::invalid;
        return reply;
    }
    reply.result = to_rpc(report.write.what);
    if (report.write.what == write_outcome::conflict)
    {
        document_book now;
        now.merge(report.write.current);
        reply.others_actor = report.write.current.actor;
        reply.others_changes = describe_changes(
            report.documents_before, now.files(report.write.current.space));
    }
    return reply;
}

[[noreturn]] void throw_error(std::string message)
{
    rpc::operator_error error;
    error.message = std::move(message);
    throw error;
}

rpc::board_line to_rpc(kind_ref const& kind, usage_counts const& counts)
{
    rpc::board_line line;
    line.service_name = kind.service.value();
    line.kind = kind.kind.value();
    line.offered = counts.offered;
    line.completed_in_time = counts.completed_in_time;
    line.completed_late = counts.completed_late;
    line.not_run = counts.not_run;
    line.unknown = counts.unknown;
    line.retries = counts.retries;
    line.shed = counts.shed;
    line.upstream_runs = counts.upstream_runs;
    line.runs_for_others = counts.runs_for_others;
    line.lent_ms = counts.lent_ms;
    line.runs_borrowed = counts.runs_borrowed;
    line.borrowed_ms = counts.borrowed_ms;
    return line;
}

rpc::decision to_rpc(decision_record const& record, node_answer const& answer)
{
    rpc::decision line;
    line.at_ms = record.at.time_since_epoch().count();
    line.node = answer.node.value();
    line.zone = answer.zone.value();
    line.service_name = record.kind.service.value();
    line.kind = record.kind.kind.value();
    line.point = to_string(record.point);
    line.outcome = to_string(record.result);
    line.reason = record.reason ? std::string(to_string(*record.reason)) : "";
    line.peer = record.peer.value();
    return line;
}

void require_ok(absl::Status const& status)
{
    if (!status.ok())
        throw_error(std::string(status.message()));
}

// Serves the RPCs of one connection.
class operator_handler : public rpc::operator_serviceIf
{
public:
    operator_handler(node_settings const& settings, node_charts const& charts,
                     control_plane& control, view_holder const& view)
        : settings_(settings), charts_(charts), control_(control), view_(view),
          access_(settings.platform_key_hash, view)
    {
    }

    void log_in(std::string const& name, std::string const& key) override
    {
        require_ok(access_.log_in(name, key));
    }

    void check(rpc::check_reply& reply,
               std::vector<rpc::document> const& documents) override
    {
        require_ok(access_.require_log_in("check"));
        reply.findings = to_rpc(control_.check(from_rpc(documents)).second);
    }

    void diff(rpc::diff_reply& reply,
              std::vector<rpc::document> const& documents) override
    {
        auto const files = from_rpc(documents);
        require_ok(access_.require_log_in("diff"));
        auto const [member, findings] = control_.check(files);
        require_ok(access_.require(operator_right::read, member, "diff"));
        reply.member = member.value();
        reply.findings = to_rpc(findings);
        reply.base_generation = 0;
        if (!findings.empty())
            return;
        auto const space = std::string(member_space_prefix) + member.value();
        auto const current = control_.space_in_force(space);
        document_book book;
        book.merge(current);
        reply.base_generation = current.newest.value();
        reply.changes = describe_changes(book.files(space), files);
    }

    void apply(rpc::apply_reply& reply,
               rpc::apply_request const& request) override
    {
        require_ok(access_.require_log_in("apply"));
        // Both are stored as JSON.
        if (request.apply_id.empty() ||
            request.apply_id.size() > max_apply_id_bytes ||
            !is_valid_utf8(request.apply_id))
            throw_error("apply_id must have 1 to 64 bytes of UTF-8");
        if (request.actor.size() > max_actor_bytes ||
            !is_valid_utf8(request.actor))
            throw_error("actor must have at most 128 bytes of UTF-8");
        apply_parameters parameters{.documents = from_rpc(request.documents),
                                    .base = std::nullopt,
                                    .apply_id = request.apply_id,
                                    .actor = request.actor};
        if (request.base_generation >= 0)
            parameters.base = generation(request.base_generation);
        auto const member = control_.check(parameters.documents).first;
        require_ok(access_.require(operator_right::change, member, "apply"));
        auto const report = control_.apply(std::move(parameters));
        reply = to_rpc(report);
        log_event("apply")
            .add("member", report.member.value())
            .add("apply_id", request.apply_id)
            .add("operator", access_.identity()->name)
            .add("actor", request.actor)
            .add("result", rpc::_apply_result_VALUES_TO_NAMES.at(
                               static_cast<int>(reply.result)))
            .add("generation", reply.generation);
    }

    void settle(rpc::apply_reply& reply, std::string const& member,
                std::string const& apply_id) override
    {
        require_ok(access_.require(operator_right::change, member_name(member),
                                   "settle"));
        reply = to_rpc(control_.settle(member_name(member), apply_id));
    }

    void status(rpc::status_reply& reply) override
    {
        require_ok(access_.require_log_in("status"));
        auto const own = control_.snapshot();
        auto const result = control_.query_all_nodes(query_timeout);
        reply.node = settings_.name.value();
        reply.version = program_version;
        reply.store_reachable = own.store_reachable;
        for (auto const& digest : view_.get()->spaces)
        {
            if (may_read_space(digest.space))
                reply.generations[digest.space] = digest.newest.value();
        }
        for (auto const& peer : result.nodes)
        {
            if (may_read_service(peer.service))
                reply.nodes.push_back(describe_node(peer, result));
        }
    }

    void drain() override
    {
        require_operate("drain");
        if (!control_.fire_upstream_event("drain"))
            throw_error("the upstream's state does not allow draining");
    }

    void undrain() override
    {
        require_operate("undrain");
        if (!control_.fire_upstream_event("undrain"))
            throw_error("the upstream is not draining");
    }

    void report(rpc::report_reply& reply, std::string const& member) override
    {
        require_readable(member, "report");
        auto const result = control_.query_all_nodes(query_timeout);
        board sum;
        for (auto const& answer : result.answers)
            sum.add(answer.counts);
        reply.member = member;
        reply.nodes_heard = static_cast<int>(result.answers.size());
        reply.nodes_known = count_known_nodes(result);
        for (auto const& [key, counts] : sum.rows())
        {
            if (key.member.value() == member)
                reply.lines.push_back(to_rpc(key.kind, counts));
        }
    }

    void burn(rpc::burn_reply& reply, std::string const& member) override
    {
        require_readable(member, "burn");
        auto const result = control_.query_all_nodes(
            query_timeout,
            {.burn_member = member_name(member), .trace_id = {}});
        reply = make_burn_reply(member_name(member), *view_.get()->declarations,
                                result, wall_now());
    }

    void explain(rpc::explain_reply& reply,
                 std::string const& trace_id) override
    {
        require_ok(access_.require_log_in("explain"));
        if (!is_trace_id(trace_id))
            throw_error(
                "the trace id must have 32 lower-case hexadecimal digits");
        auto const result = control_.query_all_nodes(
            query_timeout, {.burn_member = {}, .trace_id = trace_id});
        reply.nodes_heard = static_cast<int>(result.answers.size());
        reply.nodes_known = count_known_nodes(result);
        for (auto const& answer : result.answers)
            add_decisions(reply, answer);
        std::stable_sort(reply.decisions.begin(), reply.decisions.end(),
                         [](auto const& left, auto const& right)
                         { return left.at_ms < right.at_ms; });
    }

private:
    // Adds the decisions of one node, except those on requests of members whose
    // data the operator may not read.
    void add_decisions(rpc::explain_reply& reply,
                       node_answer const& answer) const
    {
        auto const identity = access_.identity();
        for (auto const& record : answer.decisions)
        {
            if (identity && identity->may(operator_right::read, record.member))
                reply.decisions.push_back(to_rpc(record, answer));
        }
    }

    // Whether the operator may read a service's nodes and rosters. The data of
    // an undeclared service belongs to no member.
    [[nodiscard]] bool may_read_service(service_name const& service) const
    {
        auto const view = view_.get();
        auto const* const declared = view->declarations->find(service);
        auto const identity = access_.identity();
        return identity && identity->may(operator_right::read,
                                         declared == nullptr ? member_name()
                                                             : declared->owner);
    }

    [[nodiscard]] bool may_read_space(std::string const& space) const
    {
        if (space.starts_with(roster_space_prefix))
            return may_read_service(
                service_name(space.substr(roster_space_prefix.size())));
        auto const identity = access_.identity();
        return identity && identity->may(operator_right::read,
                                         member_name(space.substr(
                                             member_space_prefix.size())));
    }

    // Requires the right to operate the upstream beside this node, which
    // belongs to the member that declares its service.
    void require_operate(std::string_view call) const
    {
        auto const view = view_.get();
        auto const* const service =
            view->declarations->find(view->self.service);
        require_ok(access_.require(
            operator_right::operate,
            service == nullptr ? member_name() : service->owner, call));
    }

    // Requires the right to read the member's data, and that the member has
    // declarations.
    void require_readable(std::string const& member,
                          std::string_view call) const
    {
        require_ok(
            access_.require(operator_right::read, member_name(member), call));
        auto const view = view_.get();
        auto const& members = view->declarations->members();
        bool const known = std::any_of(members.begin(), members.end(),
                                       [&](auto const& item)
                                       { return item.name.value() == member; });
        if (!known)
            throw_error("member '" + member + "' has no declarations");
    }

    rpc::node_status describe_node(peer_info const& peer,
                                   query_result const& result) const
    {
        rpc::node_status status;
        status.node = peer.node.value();
        status.zone = peer.zone.value();
        status.life = to_string(peer.life);
        status.service_name = peer.service.value();
        status.upstream_state = charts_.upstream.name(peer.upstream_state);
        status.heard = false;
        for (auto const& answer : result.answers)
        {
            if (answer.node != peer.node)
                continue;
            status.heard = true;
            for (auto const& digest : answer.spaces)
                status.generations[digest.space] = digest.newest.value();
        }
        return status;
    }

    node_settings const& settings_;
    node_charts const& charts_;
    control_plane& control_;
    view_holder const& view_;
    operator_access access_;
};

// Creates a handler for each connection, because operators log in for each
// connection.
class operator_handler_factory : public rpc::operator_serviceIfFactory
{
public:
    operator_handler_factory(node_settings const& settings,
                             node_charts const& charts, control_plane& control,
                             view_holder const& view)
        : settings_(settings), charts_(charts), control_(control), view_(view)
    {
    }

    rpc::operator_serviceIf*
    getHandler(apache::thrift::TConnectionInfo const&) override
    {
        return std::make_unique<operator_handler>(settings_, charts_, control_,
                                                  view_)
            .release();
    }

    void releaseHandler(rpc::operator_serviceIf* handler) override
    {
        std::unique_ptr<rpc::operator_serviceIf> const owned(handler);
    }

private:
    node_settings const& settings_;
    node_charts const& charts_;
    control_plane& control_;
    view_holder const& view_;
};

} // namespace

class operator_server::implementation
{
public:
    implementation(node_settings const& settings, node_charts const& charts,
                   control_plane& control, view_holder const& view)
        : socket_(std::make_shared<TServerSocket>(settings.address,
                                                  settings.operator_port)),
          server_(std::make_shared<rpc::operator_serviceProcessorFactory>(
                      std::make_shared<operator_handler_factory>(
                          settings, charts, control, view)),
                  socket_, std::make_shared<TBufferedTransportFactory>(),
                  std::make_shared<TBinaryProtocolFactory>())
    {
        server_.setConcurrentClientLimit(max_concurrent_operators);
        socket_->setRecvTimeout(static_cast<int>(idle_timeout.count()));
        socket_->setSendTimeout(static_cast<int>(idle_timeout.count()));
    }

    absl::Status start()
    {
        auto const watcher = std::make_shared<start_watcher>();
        server_.setServerEventHandler(watcher);
        auto started = watcher->started.get_future();
        thread_ = std::thread([this, watcher] { serve(*watcher); });
        return started.get();
    }

    void stop()
    {
        if (!thread_.joinable())
            return;
        server_.stop();
        thread_.join();
    }

private:
    // `started` is set once the server listens, or to the error if it cannot.
    struct start_watcher : apache::thrift::server::TServerEventHandler
    {
        void preServe() override { started.set_value(absl::OkStatus()); }

        std::promise<absl::Status> started;
    };

    void serve(start_watcher& watcher)
    {
        try
        {
            server_.serve();
        }
        catch (std::exception const& error)
        {
            watcher.started.set_value(absl::UnavailableError(
                std::string("cannot listen for operators: ") + error.what()));
        }
    }

    std::shared_ptr<TServerSocket> socket_;
    TThreadedServer server_;
    std::thread thread_;
};

operator_server::operator_server(node_settings const& settings,
                                 node_charts const& charts,
                                 control_plane& control,
                                 view_holder const& view)
    : implementation_(
          std::make_unique<implementation>(settings, charts, control, view))
{
}

operator_server::~operator_server()
{
    stop();
}

absl::Status operator_server::start()
{
    return implementation_->start();
}

void operator_server::stop()
{
    implementation_->stop();
}

} // namespace pollenhall
