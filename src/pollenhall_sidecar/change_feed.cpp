// Serves store changes to peers, and their JSON form.

#include "change_feed.hpp"

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/log_event.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <limits>

namespace pollenhall::sidecar
{
namespace
{

using nlohmann::json;

constexpr std::string_view changes_path = "/mesh/changes";
// Longer than peers keep idle connections open, so that the client closes
// first.
constexpr milliseconds peer_idle_timeout{30'000};
// Requests for changes have no body; suspicions have about 60 bytes each.
constexpr std::size_t max_request_bytes = 16'384;
// Upper bound of the wait that a peer may request.
constexpr std::int64_t max_wait_ms = 5'000;

// Value of a query parameter, given as `name=`; empty if it is missing or not a
// number of 0 or more.
std::optional<std::int64_t> query_number(std::string_view target,
                                         std::string_view name)
{
    auto const at = target.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    auto const digits = target.substr(at + name.size());
    std::int64_t value = 0;
    auto const [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (error != std::errc{} || value < 0)
        return std::nullopt;
    return value;
}

} // namespace

std::string changes_target(changes_request const& request)
{
    return std::string(changes_path) +
           "?after=" + std::to_string(request.after.number()) +
           "&era=" + std::to_string(request.after.era().value()) +
           "&version=" + std::to_string(request.version.value()) +
           "&wait_ms=" + std::to_string(request.wait.count());
}

std::string write_changes(change_report const& report)
{
    auto items = json::array();
    for (auto const& item : report.changes.items)
        items.push_back({item.key, item.revision.number(),
                         item.value ? json(*item.value) : json(nullptr)});
    json out{{"at", report.changes.revision.number()},
             {"era", report.changes.revision.era().value()},
             {"complete", report.changes.complete},
             {"current", report.current},
             {"items", items}};
    if (report.newer_configuration)
        out["configuration"] = *report.newer_configuration;
    // Values of other writers may be invalid UTF-8. They can't be parsed as
    // entries in any case, so replacing bytes loses nothing.
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<change_report> parse_changes(std::string const& text)
{
    try
    {
        auto const in = json::parse(text);
        // Earlier builds do not report an era.
        store_era const era(in.value("era", std::int64_t{0}));
        change_report report{
            .changes = {.revision = store_revision(
                            in.at("at").get<std::int64_t>(), era),
                        .complete = in.at("complete").get<bool>()},
            .current = in.at("current").get<bool>()};
        if (auto const found = in.find("configuration"); found != in.end())
            report.newer_configuration = found->get<std::string>();
        for (auto const& row : in.at("items"))
        {
            store_item item{
                .key = row.at(0).get<std::string>(),
                .revision = store_revision(row.at(1).get<std::int64_t>(), era)};
            if (!row.at(2).is_null())
                item.value = row.at(2).get<std::string>();
            report.changes.items.push_back(std::move(item));
        }
        return report;
    }
    catch (json::exception const& error)
    {
        return absl::InvalidArgumentError(error.what());
    }
}

change_feed::change_feed(deadline_timers& timers,
                         mesh::store_mirror const& mirror)
    : timers_(timers), mirror_(mirror)
{
}

server_handlers change_feed::handlers()
{
    return {.on_request =
                [this](auto const& from, mesh::http_request const& request)
            { serve(from, request); },
            .on_request_error =
                [](request_error)
            {
                log_event("peer_request_not_readable", log_level::warning);
                return mesh::http_response{.status = 400};
            },
            .limits =
                []
            {
                return server_limits{
                    .reader = {.body_bytes = max_request_bytes},
                    .idle_timeout = peer_idle_timeout};
            }};
}

void change_feed::serve(std::shared_ptr<server_exchange> const& from,
                        mesh::http_request const& request)
{
    auto const after = query_number(request.target, "after=");
    auto const wait = query_number(request.target, "wait_ms=");
    if (!request.target.starts_with(changes_path) || !after || !wait)
    {
        log_event("peer_request_not_readable", log_level::warning)
            .add("from", from->remote_host());
        return from->respond({.status = 404}, false);
    }
    // Earlier builds send neither an era nor a version. Their revision counts
    // as one of this era, and they are not sent a configuration.
    auto const known = mirror_.revision();
    changes_request const wanted{
        .after = store_revision(*after,
                                store_era(query_number(request.target, "era=")
                                              .value_or(known.era().value()))),
        .wait = milliseconds(std::min(*wait, max_wait_ms)),
        .version = mesh::config_version(
            query_number(request.target, "version=")
                .value_or(std::numeric_limits<std::int64_t>::max()))};
    bool const is_behind = wanted.after.era() > known.era();
    if (is_behind && on_later_era_)
        on_later_era_(mesh::host_address(from->remote_host()));
    if (!current_ || *wait == 0 || known > wanted.after || is_behind ||
        has_newer_configuration(wanted))
        return respond(from, wanted);
    auto const request_id = ++last_request_id_;
    pending_.emplace(
        request_id,
        pending_request{.exchange = from,
                        .request = wanted,
                        .timeout = timers_.after(wanted.wait, [this, request_id]
                                                 { on_timeout(request_id); })});
}

void change_feed::respond(std::shared_ptr<server_exchange> const& to,
                          changes_request const& request) const
{
    change_report report{.changes = mirror_.changes_after(request.after),
                         .current = current_};
    if (has_newer_configuration(request))
        report.newer_configuration = unstored_configuration_;
    auto const text = write_changes(report);
    to->respond({.status = 200, .body = text}, false);
}

bool change_feed::has_newer_configuration(changes_request const& request) const
{
    return !unstored_configuration_.empty() &&
           unstored_version_ > request.version;
}

void change_feed::set_unstored_configuration(mesh::config_version version,
                                             std::string document)
{
    unstored_version_ = version;
    unstored_configuration_ = std::move(document);
}

void change_feed::set_later_era_handler(
    std::function<void(mesh::host_address const&)> handler)
{
    on_later_era_ = std::move(handler);
}

void change_feed::set_current(bool current)
{
    current_ = current;
    if (!current_)
        on_change();
}

void change_feed::on_change()
{
    auto requests = std::move(pending_);
    pending_.clear();
    for (auto& [request_id, request] : requests)
    {
        timers_.cancel(request.timeout);
        respond(request.exchange, request.request);
    }
}

void change_feed::on_timeout(std::uint64_t request_id)
{
    auto const request = pending_.extract(request_id);
    if (!request.empty())
        respond(request.mapped().exchange, request.mapped().request);
}

} // namespace pollenhall::sidecar
