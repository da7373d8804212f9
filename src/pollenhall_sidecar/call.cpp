// Encodes and decodes call metadata and gate reports as space-separated words.
// The format is compact because it is sent with every call.

#include "call.hpp"

#include <pollenhall/hashing.hpp>
#include <pollenhall/mesh/word_reader.hpp>

#include <algorithm>

namespace pollenhall::sidecar
{

std::string const call_metadata_header = "Pollenhall-Call";
std::string const gate_report_header = "Pollenhall-Result";

namespace
{

// Replaces an empty word and spaces, which would shift the words that follow.
std::string escape_word(std::string_view text)
{
    std::string safe(text.empty() ? "-" : text);
    std::replace(safe.begin(), safe.end(), ' ', '_');
    return safe;
}

std::optional<mesh::attempt_end> parse_attempt_end(std::string_view name)
{
    using enum mesh::attempt_end;
    for (auto const end : {answered, failed, not_offered, not_run, unknown,
                           timed_out, quarantined})
        if (mesh::to_string(end) == name)
            return end;
    return std::nullopt;
}

} // namespace

std::string format_call_metadata(call_metadata const& metadata)
{
    return escape_word(metadata.service.value()) + " " +
           escape_word(metadata.expected_incarnation.value()) +
           (metadata.idempotent ? " i " : " n ") +
           std::to_string(metadata.rank.level) + " " +
           std::to_string(metadata.rank.cohort) + " " +
           std::to_string(metadata.objective.count()) +
           (metadata.is_retry ? " r " : " f ") +
           std::to_string(metadata.version.value());
}

std::optional<call_metadata> parse_call_metadata(std::string_view text)
{
    mesh::word_reader in(text);
    call_metadata metadata;
    metadata.service = service_name(std::string(in.word()));
    metadata.expected_incarnation =
        mesh::incarnation_id(std::string(in.word()));
    metadata.idempotent = in.word() == "i";
    metadata.rank.level = in.number<int>();
    metadata.rank.cohort = in.number<int>();
    metadata.objective = milliseconds(in.number<std::int64_t>());
    metadata.is_retry = in.word() == "r";
    metadata.version = mesh::config_version(in.number<std::int64_t>());
    return in.ok() ? std::optional(metadata) : std::nullopt;
}

std::string format_gate_report(gate_report const& report)
{
    return std::string(mesh::to_string(report.end)) + " " +
           escape_word(report.reason) +
           (report.gate_not_ready ? " 1 " : " 0 ") +
           std::to_string(report.retry_after.count()) + " " +
           std::to_string(report.version.value()) + " " +
           mesh::write_load(report.load);
}

std::optional<gate_report> parse_gate_report(std::string_view text)
{
    mesh::word_reader in(text);
    auto const end = parse_attempt_end(in.word());
    gate_report report{.reason = std::string(in.word())};
    report.gate_not_ready = in.word() == "1";
    report.retry_after = milliseconds(in.number<std::int64_t>());
    report.version = mesh::config_version(in.number<std::int64_t>());
    auto const load = mesh::parse_load(in.rest());
    if (!in.ok() || !end || !load)
        return std::nullopt;
    report.end = *end;
    report.load = *load;
    return report;
}

fingerprint fingerprint_of(mesh::http_request const& request)
{
    auto hash = hash_text(request.method + " " + request.target);
    if (auto const* host = request.fields.find("Host"))
        hash = combine_hashes(hash, hash_text(*host));
    return fingerprint(combine_hashes(hash, hash_text(request.body)));
}

milliseconds time_left(mono_time deadline, mono_time now)
{
    return std::max(milliseconds{0},
                    std::chrono::duration_cast<milliseconds>(deadline - now));
}

} // namespace pollenhall::sidecar
