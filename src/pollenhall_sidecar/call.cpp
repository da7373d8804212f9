// Written forms of what nodes tell each other about a call: words separated
// by spaces, small because they travel with each call.

#include "call.hpp"

#include <pollenhall/hashing.hpp>
#include <pollenhall/mesh/word_reader.hpp>

#include <algorithm>

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
    mesh::word_reader in(text);
    call_terms terms;
    terms.service = service_name(std::string(in.word()));
    terms.expected = mesh::incarnation_id(std::string(in.word()));
    terms.idempotent = in.word() == "i";
    terms.rank.level = in.number<int>();
    terms.rank.cohort = in.number<int>();
    terms.objective = milliseconds(in.number<std::int64_t>());
    terms.is_repeat = in.word() == "r";
    terms.version = mesh::config_version(in.number<std::int64_t>());
    return in.ok() ? std::optional(terms) : std::nullopt;
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
    mesh::word_reader in(text);
    auto const end = parse_end(in.word());
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
