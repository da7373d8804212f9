// Written forms of what nodes tell each other about a call: words separated
// by spaces, small because they travel with each call.

#include "call.hpp"

#include <pollenhall/hashing.hpp>

#include <algorithm>
#include <sstream>

namespace pollenhall::sidecar
{

std::string const terms_field = "Pollenhall-Call";
std::string const result_field = "Pollenhall-Result";

namespace
{

// An empty word or one with a space would shift the words behind it.
std::string word(std::string_view text)
{
    std::string safe(text.empty() ? "-" : text);
    std::replace(safe.begin(), safe.end(), ' ', '_');
    return safe;
}

std::optional<mesh::attempt_end> parse_end(std::string_view name)
{
    using enum mesh::attempt_end;
    for (auto const end :
         {answered, failed, not_offered, not_run, unknown, timed_out})
        if (mesh::to_string(end) == name)
            return end;
    return std::nullopt;
}

} // namespace

std::string write_terms(call_terms const& terms)
{
    return word(terms.service.value()) + " " + word(terms.expected.value()) +
           (terms.idempotent ? " i " : " n ") +
           std::to_string(terms.rank.level) + " " +
           std::to_string(terms.rank.cohort) + " " +
           std::to_string(terms.objective.count()) +
           (terms.is_repeat ? " r " : " f ") +
           std::to_string(terms.version.value());
}

std::optional<call_terms> parse_terms(std::string_view text)
{
    std::istringstream in{std::string(text)};
    std::string service;
    std::string expected;
    std::string idempotent;
    std::string repeat;
    std::int64_t objective = 0;
    std::int64_t version = 0;
    call_terms terms;
    if (!(in >> service >> expected >> idempotent >> terms.rank.level >>
          terms.rank.cohort >> objective >> repeat >> version))
        return std::nullopt;
    terms.service = service_name(service);
    terms.expected = mesh::incarnation_id(expected);
    terms.idempotent = idempotent == "i";
    terms.objective = milliseconds(objective);
    terms.is_repeat = repeat == "r";
    terms.version = mesh::config_version(version);
    return terms;
}

std::string write_report(gate_report const& report)
{
    return std::string(mesh::to_string(report.end)) + " " +
           word(report.reason) + (report.gate_not_ready ? " 1 " : " 0 ") +
           std::to_string(report.retry_after.count()) + " " +
           std::to_string(report.version.value()) + " " +
           mesh::write_load(report.load);
}

std::optional<gate_report> parse_report(std::string_view text)
{
    std::istringstream in{std::string(text)};
    std::string end;
    gate_report report;
    std::int64_t retry_after = 0;
    std::int64_t version = 0;
    if (!(in >> end >> report.reason >> report.gate_not_ready >> retry_after >>
          version))
        return std::nullopt;
    std::string load;
    std::getline(in, load);
    auto const parsed_end = parse_end(end);
    auto const parsed_load = mesh::parse_load(load);
    if (!parsed_end || !parsed_load)
        return std::nullopt;
    report.end = *parsed_end;
    report.retry_after = milliseconds(retry_after);
    report.version = mesh::config_version(version);
    report.load = *parsed_load;
    return report;
}

fingerprint fingerprint_of(mesh::http_request const& request,
                           mesh::header_names const& names)
{
    auto hash = hash_text(request.method + " " + request.target);
    for (auto const* name : {"Host", names.caller_service.c_str()})
        if (auto const* value = request.fields.find(name))
            hash = combine_hashes(hash, hash_text(*value));
    return fingerprint(combine_hashes(hash, hash_text(request.body)));
}

milliseconds time_left(mono_time deadline, mono_time now)
{
    return std::max(milliseconds{0},
                    std::chrono::duration_cast<milliseconds>(deadline - now));
}

} // namespace pollenhall::sidecar
