// Conversion of host entries and crash suspicions to and from JSON.

#include "host_entry_json.hpp"

#include "json_numbers.hpp"

#include <nlohmann/json.hpp>

#include <asio/ip/address.hpp>

namespace pollenhall::sidecar
{
namespace
{

using nlohmann::json;

constexpr int max_port = 65'535;
// An entry with the maximum number of suspicions has about 4 KB.
constexpr std::size_t max_entry_bytes = 65'536;

std::int64_t to_ms(wall_time time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
        .count();
}

json to_json(mesh::host_entry const& entry)
{
    json suspicions = json::array();
    for (auto const& item : entry.suspicions)
        suspicions.push_back({item.content.value(), item.crash.value(),
                              to_ms(item.expires), item.confirmed ? 1 : 0});
    return {{"host", entry.host.value()},
            {"gate_port", entry.gate_port},
            {"zone", entry.zone.value()},
            {"service", entry.service.value()},
            {"incarnation", entry.incarnation.value()},
            {"started_ms", entry.started ? to_ms(*entry.started) : 0},
            {"slots", entry.slots},
            {"ready", entry.ready},
            {"stopping", entry.stopping},
            {"draining", entry.draining},
            {"left", entry.left},
            {"sequence", entry.sequence},
            {"cold_ms", entry.cold_remaining.count()},
            {"boot", entry.boot.value()},
            {"suspicions", suspicions}};
}

// Throws json::exception if a field is missing or has the wrong type, and
// std::invalid_argument if a number is out of range.
mesh::host_entry from_json(json const& item)
{
    std::vector<published_suspicion> suspicions;
    for (auto const& part : item.at("suspicions"))
        suspicions.push_back({.content = fingerprint(read_hash(part.at(0))),
                              .crash = crash_id(read_hash(part.at(1))),
                              .confirmed = part.size() < 4 ||
                                           read_integer(part.at(3), 0, 1) != 0,
                              .expires = wall_time(milliseconds(
                                  read_integer(part.at(2), 0, max_epoch_ms)))});
    // Zero if the upstream did not report it.
    auto const started_ms =
        item.contains("started_ms")
            ? read_integer(item.at("started_ms"), 0, max_epoch_ms)
            : 0;
    return {.host = mesh::host_address(item.at("host").get<std::string>()),
            .gate_port = static_cast<int>(
                read_integer(item.at("gate_port"), 1, max_port)),
            .zone = zone_name(item.at("zone").get<std::string>()),
            .service = service_name(item.at("service").get<std::string>()),
            .incarnation =
                mesh::incarnation_id(item.at("incarnation").get<std::string>()),
            .started = started_ms == 0
                           ? std::nullopt
                           : std::optional(wall_time(milliseconds(started_ms))),
            .slots = static_cast<int>(
                read_integer(item.at("slots"), 0, mesh::max_slots)),
            .ready = item.at("ready").get<bool>(),
            // Missing in the entries of earlier versions.
            .stopping = item.value("stopping", false),
            .draining = item.value("draining", false),
            .left = item.value("left", false),
            .sequence = item.contains("sequence")
                            ? read_integer(item.at("sequence"), -1, INT64_MAX)
                            : 0,
            .cold_remaining = milliseconds(read_integer(
                item.at("cold_ms"), 0, mesh::max_cold_time.count())),
            .boot = boot_id(read_integer(item.at("boot"), 0, INT64_MAX)),
            .suspicions = std::move(suspicions)};
}

absl::Status validate(mesh::host_entry const& entry)
{
    std::error_code error;
    asio::ip::make_address(entry.host.value(), error);
    if (error)
        return absl::InvalidArgumentError("host entry has an invalid address");
    if (entry.incarnation.value().empty())
        return absl::OkStatus();
    return mesh::parse_incarnation_id(entry.incarnation.value()).status();
}

} // namespace

std::string write_host_entry(mesh::host_entry const& entry)
{
    return to_json(entry).dump();
}

absl::StatusOr<mesh::host_entry> parse_host_entry(std::string const& text)
{
    // Nested values cost about a hundred times their size while they are read.
    if (text.size() > max_entry_bytes)
        return absl::InvalidArgumentError("host entry is too long");
    try
    {
        auto entry = from_json(json::parse(text));
        if (auto status = validate(entry); !status.ok())
            return status;
        return entry;
    }
    catch (json::exception const& error)
    {
        return absl::InvalidArgumentError(error.what());
    }
    catch (std::invalid_argument const& error)
    {
        return absl::InvalidArgumentError(error.what());
    }
}

std::string write_suspicions(std::vector<crash_suspicion> const& suspicions)
{
    auto out = json::array();
    for (auto const& item : suspicions)
        out.push_back({item.content.value(), item.crash.value(),
                       item.time_left.count(), item.confirmed});
    return out.dump();
}

absl::StatusOr<std::vector<crash_suspicion>>
parse_suspicions(std::string const& text)
{
    try
    {
        std::vector<crash_suspicion> suspicions;
        for (auto const& part : json::parse(text))
            suspicions.push_back(
                {.content = fingerprint(read_hash(part.at(0))),
                 .crash = crash_id(read_hash(part.at(1))),
                 .time_left = milliseconds(read_integer(
                     part.at(2), 0, max_suspicion_lifetime.count())),
                 .confirmed = part.at(3).get<bool>()});
        return suspicions;
    }
    catch (json::exception const& error)
    {
        return absl::InvalidArgumentError(error.what());
    }
    catch (std::invalid_argument const& error)
    {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace pollenhall::sidecar
