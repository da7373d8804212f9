// Exchange of documents on the control thread: pulls and pushes between peers,
// the comparison of document books, and changes by operators.

#include "control_plane.hpp"

#include <pollenhall/io/log_event.hpp>
#include <pollenhall/io/wire_codec.hpp>

#include <map>
#include <tuple>

namespace pollenhall
{
namespace
{

constexpr milliseconds pull_timeout{1'000};
// If the hash of a peer's documents differs for this long, all digests are
// exchanged. Shorter differences are usual while a change is gossiped.
constexpr milliseconds book_sync_delay{1'000};
constexpr milliseconds book_digest_interval{2'000};

} // namespace

void control_plane::pull_if_newer(space_digest const& digest,
                                  peer_endpoint const& from, mono_time now)
{
    auto const have = configuration_.book().newest(digest.space);
    if (digest.newest <= have)
        return;
    auto& next = pending_pulls_[digest.space];
    if (now < next)
        return;
    next = now + pull_timeout;
    wire::frame frame;
    frame.__set_pull({});
    frame.pull.space = digest.space;
    frame.pull.have = have.value();
    traffic_->post(from, frame);
}

void control_plane::compare_book_hashes(gossip_message const& message,
                                        peer_endpoint const& from,
                                        mono_time now)
{
    if (message.book_hash == configuration_.book().hash())
    {
        books_differ_since_.reset();
        return;
    }
    if (!books_differ_since_)
        books_differ_since_ = now;
    if (now < *books_differ_since_ + book_sync_delay || now < next_book_digest_)
        return;
    next_book_digest_ = now + book_digest_interval;
    wire::frame frame;
    frame.__set_digest({});
    for (auto const& digest : configuration_.book().digests())
        frame.digest.spaces.push_back(to_wire(digest));
    frame.digest.reply_wanted = true;
    traffic_->post(from, frame);
}

void control_plane::on_pull(link_id link, wire::space_pull const& request)
{
    auto const update = configuration_.book().changes_since(
        request.space, generation(request.have));
    if (!update || update->newest <= generation(request.have))
        return;
    wire::frame frame;
    frame.__set_push(to_wire(*update));
    traffic_->reply(link, std::move(frame));
}

void control_plane::on_push(link_id link, wire::space_push const& push)
{
    pending_pulls_.erase(push.space);
    auto const update = from_wire(push);
    auto const have = configuration_.book().newest(update.space);
    if (update.since > have && update.newest > have)
    {
        wire::frame frame;
        frame.__set_pull({});
        frame.pull.space = update.space;
        frame.pull.have = have.value();
        traffic_->reply(link, std::move(frame));
        return;
    }
    merge(update);
}

void control_plane::on_book_digest(link_id link,
                                   wire::book_digest const& digest)
{
    for (auto const& item : digest.spaces)
    {
        auto const have = configuration_.book().newest(item.space);
        if (generation(item.generation) <= have)
            continue;
        wire::frame frame;
        frame.__set_pull({});
        frame.pull.space = item.space;
        frame.pull.have = have.value();
        traffic_->reply(link, std::move(frame));
    }
    if (!digest.reply_wanted)
        return;
    wire::frame frame;
    frame.__set_digest({});
    for (auto const& item : configuration_.book().digests())
        frame.digest.spaces.push_back(to_wire(item));
    frame.digest.reply_wanted = false;
    traffic_->reply(link, std::move(frame));
}

void control_plane::merge(space_update const& update)
{
    if (configuration_.merge(update) != merge_result::advanced)
        return;
    members_.set_book_hash(configuration_.book().hash());
    socket_.send(members_.announce_space(
        {.space = update.space, .newest = update.newest}, mono_now()));
    rebuild_view();
}

void control_plane::on_stored_spaces(std::vector<space_update> const& spaces,
                                     bool complete)
{
    std::map<std::string, generation, std::less<>> stored;
    for (auto const& update : spaces)
    {
        merge(update);
        stored[update.space] = update.newest;
        auto const own =
            configuration_.book().changes_since(update.space, update.newest);
        if (own && own->newest == update.newest &&
            own->apply_id != update.apply_id)
            store_again(update.space);
    }
    for (auto const& known : configuration_.book().digests())
    {
        auto const found = stored.find(known.space);
        if (found == stored.end() ? complete : found->second < known.newest)
            store_again(known.space);
    }
}

void control_plane::store_again(std::string const& space)
{
    store_.submit(
        [this, known = known_space_of(space)](etcd_store& store)
        {
            auto const restored =
                restore_space(store, settings_.store_prefix, known);
            if (!restored.ok())
                log_event("lost_space_not_stored", log_level::warning)
                    .add("space", known.content.space)
                    .add("generation", known.content.newest.value())
                    .add("error", std::string(restored.status().message()));
            else if (*restored)
                log_event("lost_space_stored_again", log_level::warning)
                    .add("space", known.content.space)
                    .add("generation", known.content.newest.value());
        });
}

std::pair<member_name, std::vector<finding>>
control_plane::check(std::vector<declaration_file> documents)
{
    return run_on_control_thread(
        [&]
        {
            member_name member;
            auto findings = configuration_.check(documents, member);
            return std::pair(member, std::move(findings));
        });
}

apply_report control_plane::apply(apply_parameters parameters)
{
    apply_report report;
    std::tie(report.member, report.findings) = check(parameters.documents);
    if (!report.findings.empty())
        return report;
    auto const space = std::string(member_space_prefix) + report.member.value();
    auto const known = known_in_force(space);
    document_book before;
    before.merge(known.content);
    report.documents_before = before.files(space);
    write_request request{.space = space,
                          .base =
                              parameters.base.value_or(known.content.newest),
                          .documents = std::move(parameters.documents),
                          .apply_id = std::move(parameters.apply_id),
                          .actor = std::move(parameters.actor),
                          .known = known};
    report.write = run_on_store_thread(
        [&](etcd_store& store)
        { return write_documents(store, settings_.store_prefix, request); });
    run_on_control_thread(
        [&]
        {
            merge(report.write.current);
            return true;
        });
    return report;
}

apply_report control_plane::settle(member_name const& member,
                                   std::string const& apply_id)
{
    apply_report report;
    report.member = member;
    auto const space = std::string(member_space_prefix) + member.value();
    auto const current = space_in_force(space);
    document_book before;
    before.merge(current);
    report.documents_before = before.files(space);
    report.write = run_on_store_thread(
        [&](etcd_store& store)
        {
            return resolve_write(store, settings_.store_prefix, space, apply_id,
                                 current.newest);
        });
    run_on_control_thread(
        [&]
        {
            merge(report.write.current);
            return true;
        });
    return report;
}

space_update control_plane::space_in_force(std::string space)
{
    return known_in_force(std::move(space)).content;
}

known_space control_plane::known_in_force(std::string space)
{
    return run_on_control_thread([&] { return known_space_of(space); });
}

known_space control_plane::known_space_of(std::string const& space) const
{
    auto known = configuration_.book().known(space);
    if (known)
        return std::move(*known);
    known_space none;
    none.content.space = space;
    return none;
}

} // namespace pollenhall
