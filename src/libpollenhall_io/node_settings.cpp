// Implements the parsing of a daemon's settings, one function per section.

#include <pollenhall/io/node_settings.hpp>
#include <pollenhall/io/wire_codec.hpp>
#include <pollenhall/value_reader.hpp>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <sstream>

#include <asio/ip/address_v4.hpp>

namespace pollenhall
{
namespace
{

constexpr number_range port_range{1, 65'535};
constexpr number_range connections_range{1, 16'384};
constexpr number_range body_range{1, static_cast<std::int64_t>(max_body_bytes)};
constexpr duration_range time_range{milliseconds{10}, std::chrono::hours{1}};
constexpr duration_range zone_trip_range{microseconds{0}, seconds{1}};
constexpr std::array<std::string_view, 2> policy_names{"full", "none"};

milliseconds read_time(value_reader& reader, std::string_view name,
                       milliseconds default_value)
{
    return std::chrono::duration_cast<milliseconds>(
        reader.duration(name, time_range, default_value));
}

int read_int(value_reader& reader, std::string_view name, number_range range,
             int default_value)
{
    return static_cast<int>(reader.number(name, range, default_value));
}

std::string read_address(value_reader& reader, std::string_view name)
{
    auto text = reader.text(name, "");
    asio::error_code error;
    asio::ip::make_address_v4(text, error);
    if (!error)
        return text;
    reader.report(name, std::string(name) + " is '" + text +
                            "'; allowed is an IPv4 address");
    return {};
}

int read_port(value_reader& reader, std::string_view name)
{
    if (!reader.has(name))
        reader.report(name, std::string(name) +
                                " is missing; allowed is a port from 1 to "
                                "65535");
    return read_int(reader, name, port_range, 0);
}

void read_node(value_reader& reader, node_settings& settings)
{
    settings.name = node_id(reader.required_name("name"));
    settings.zone = zone_name(reader.required_name("zone"));
    settings.address = read_address(reader, "address");
    settings.caller_port = read_port(reader, "caller-port");
    settings.peer_port = read_port(reader, "peer-port");
    settings.operator_port = read_port(reader, "operator-port");
    settings.charts = reader.text("charts", settings.charts);
}

void read_peers(value_reader& reader, node_settings& settings)
{
    for (auto const& item : reader.list("seeds"))
    {
        if (auto const endpoint = parse_endpoint(item))
            settings.seeds.push_back(*endpoint);
        else
            reader.report("seeds",
                          "seed '" + item + "' is not of the form IP:PORT");
    }
    settings.gossip_period =
        read_time(reader, "gossip-period", settings.gossip_period);
    settings.cross_zone_latency = reader.duration("zone-trip", zone_trip_range,
                                                  settings.cross_zone_latency);
}

void read_store(value_reader& reader, node_settings& settings)
{
    auto const text = reader.text("address", "");
    if (auto const endpoint = parse_endpoint(text))
    {
        settings.store.address = endpoint->address;
        settings.store.port = endpoint->port;
    }
    else
        reader.report("address",
                      "address '" + text + "' is not of the form IP:PORT");
    settings.store_prefix = reader.text("prefix", settings.store_prefix);
    settings.store.timeout =
        read_time(reader, "timeout", settings.store.timeout);
}

void read_callers(value_reader& reader, node_settings& settings)
{
    settings.caller_connections =
        read_int(reader, "max-connections", connections_range,
                 settings.caller_connections);
    settings.max_body_bytes =
        read_int(reader, "max-body-bytes", body_range, settings.max_body_bytes);
}

void read_upstream(value_reader& reader, node_settings& settings)
{
    settings.upstream_connections =
        read_int(reader, "max-connections", connections_range,
                 settings.upstream_connections);
    settings.upstream_lease =
        read_time(reader, "lease", settings.upstream_lease);
    settings.warm_up = read_time(reader, "warm-up", settings.warm_up);
}

void read_stop(value_reader& reader, node_settings& settings)
{
    settings.stop_grace = read_time(reader, "grace", settings.stop_grace);
}

void read_policy(value_reader& reader, node_settings& settings)
{
    settings.policy =
        static_cast<policy_mode>(reader.choice("mode", policy_names, 0));
}

void read_operators(value_reader& reader, node_settings& settings)
{
    settings.platform_key_hash = reader.key_hash("key-hash");
}

struct section_rule
{
    std::string_view name;
    void (*read)(value_reader&, node_settings&);
    bool required;
};

constexpr std::array section_rules{
    section_rule{"node", &read_node, true},
    section_rule{"peers", &read_peers, false},
    section_rule{"store", &read_store, true},
    section_rule{"callers", &read_callers, false},
    section_rule{"upstream", &read_upstream, false},
    section_rule{"stop", &read_stop, false},
    section_rule{"policy", &read_policy, false},
    section_rule{"operators", &read_operators, true},
};

void read_section(std::string_view path, ini_section const& section,
                  node_settings& settings, finding_list& findings)
{
    for (auto const& rule : section_rules)
    {
        if (rule.name != section.name)
            continue;
        value_reader reader(path, section, findings);
        rule.read(reader, settings);
        reader.report_unknown();
        return;
    }
    std::string allowed;
    for (auto const& rule : section_rules)
        allowed += " [" + std::string(rule.name) + "]";
    findings.add(path, section.line,
                 "unknown section [" + section.name + "]; allowed are" +
                     allowed);
}

} // namespace

std::optional<peer_endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string const address(text.substr(0, colon));
    asio::error_code error;
    asio::ip::make_address_v4(address, error);
    int port = 0;
    auto const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data() + colon + 1, end, port);
    if (error || result.ec != std::errc{} || result.ptr != end ||
        port < port_range.low || port > port_range.high)
        return std::nullopt;
    return peer_endpoint{.address = address, .port = port};
}

node_settings parse_settings(std::string_view path, std::string_view text,
                             finding_list& findings)
{
    node_settings settings;
    settings.max_body_bytes = static_cast<int>(max_body_bytes);
    auto const document = ini_document::parse(path, text, findings);
    for (auto const& section : document.sections())
        read_section(path, section, settings, findings);
    for (auto const& rule : section_rules)
    {
        bool found = false;
        for (auto const& section : document.sections())
            found = found || section.name == rule.name;
        if (rule.required && !found)
            findings.add(path, 0,
                         "section [" + std::string(rule.name) + "] is missing");
    }
    return settings;
}

absl::StatusOr<std::string> read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return absl::NotFoundError("cannot read " + path + ": " +
                                   std::strerror(errno));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace pollenhall
