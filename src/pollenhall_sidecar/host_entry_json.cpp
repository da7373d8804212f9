// Conversion of host entries to and from JSON.

#include "host_entry_json.hpp"

#include <nlohmann/json.hpp>

#include <asio/ip/address.hpp>

namespace pollenhall::sidecar
{
namespace
{

using nlohmann::json;

json to_json(mesh::host_entry const& entry)
{
    json suspicions = json::array();
    for (auto const& item : entry.suspicions)
        suspicions.push_back(
            {item.content.value(), item.crash.value(), item.time_left.count()});
    return {{"host", entry.host.value()},
            {"gate_port", entry.gate_port},
            {"zone", entry.zone.value()},
            {"service", entry.service.value()},
            {"incarnation", entry.incarnation.value()},
            {"slots", entry.slots},
            {"ready", entry.ready},
            {"cold_ms", entry.cold_remaining.count()},
            {"boot", entry.boot.value()},
            {"suspicions", suspicions}};
}

// Throws json::exception if a field is missing or has the wrong type.
mesh::host_entry from_json(json const& item)
{
    std::vector<crash_suspicion> suspicions;
    for (auto const& part : item.at("suspicions"))
        suspicions.push_back(
            {.content = fingerprint(part.at(0).get<std::uint64_t>()),
             .crash = crash_id(part.at(1).get<std::uint64_t>()),
             .time_left = milliseconds(part.at(2).get<std::int64_t>())});
    return {.host = mesh::host_address(item.at("host").get<std::string>()),
            .gate_port = item.at("gate_port").get<int>(),
            .zone = zone_name(item.at("zone").get<std::string>()),
            .service = service_name(item.at("service").get<std::string>()),
            .incarnation =
                mesh::incarnation_id(item.at("incarnation").get<std::string>()),
            .slots = item.at("slots").get<int>(),
            .ready = item.at("ready").get<bool>(),
            .cold_remaining =
                milliseconds(item.at("cold_ms").get<std::int64_t>()),
            .boot = boot_id(item.at("boot").get<std::int64_t>()),
            .suspicions = std::move(suspicions)};
}

absl::Status validate(mesh::host_entry const& entry)
{
    std::error_code error;
    asio::ip::make_address(entry.host.value(), error);
    if (error || entry.gate_port <= 0 || entry.gate_port > 65'535)
        return absl::InvalidArgumentError(
            "host entry has an invalid address or gate port");
    return absl::OkStatus();
}

} // namespace

std::string write_host_entry(mesh::host_entry const& entry)
{
    return to_json(entry).dump();
}

absl::StatusOr<mesh::host_entry> parse_host_entry(std::string const& text)
{
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
}

} // namespace pollenhall::sidecar
