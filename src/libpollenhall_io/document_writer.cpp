// Implements the changes of documents as transactions on the store.

#include <pollenhall/io/document_writer.hpp>

#include <algorithm>
#include <thread>

namespace pollenhall
{
namespace
{

constexpr int max_resolve_attempts = 3;
constexpr milliseconds resolve_retry_delay{200};

write_report make_report(write_outcome what, space_update current,
                         std::string message)
{
    return {.what = what,
            .current = std::move(current),
            .message = std::move(message)};
}

write_report resolve_with_retries(etcd_store& store, std::string_view prefix,
                                  write_request const& request)
{
    write_report result;
    for (int attempt = 0; attempt < max_resolve_attempts; ++attempt)
    {
        result = resolve_write(store, prefix, request.space, request.apply_id,
                               request.base);
        if (result.what != write_outcome::not_known)
            return result;
        std::this_thread::sleep_for(resolve_retry_delay);
    }
    return result;
}

write_report commit(etcd_store& store, std::string_view prefix,
                    write_request const& request, stored_space const& stored,
                    std::vector<versioned_document> const& changes)
{
    auto const head = next_head(stored.head, request.apply_id, request.actor);
    std::vector<store_write> writes{{.key = head_key(prefix, request.space),
                                     .value = format_head(head),
                                     .lease = std::nullopt}};
    for (auto const& document : changes)
        writes.push_back(
            {.key = document_key(prefix, request.space, document.path),
             .value = format_document(document),
             .lease = std::nullopt});
    auto const result =
        store.commit({{.key = head_key(prefix, request.space),
                       .modified = store_revision(stored.head_revision)}},
                     writes);
    if (result.ok() && result->succeeded)
    {
        space_update update{.space = request.space,
                            .newest = head.newest,
                            .apply_id = request.apply_id,
                            .actor = request.actor,
                            .since = request.base,
                            .documents = changes};
        return make_report(write_outcome::accepted, std::move(update), "");
    }
    if (absl::IsUnavailable(result.status()))
        return make_report(write_outcome::not_accepted, {},
                           std::string(result.status().message()));
    if (absl::IsInvalidArgument(result.status()))
        return make_report(write_outcome::too_large, {},
                           std::string(result.status().message()));
    return resolve_with_retries(store, prefix, request);
}

bool is_member_space(known_space const& known)
{
    return known.content.space.starts_with(member_space_prefix);
}

// Whether the store has lost what this node has in force, or has another change
// under its generation.
bool must_restore(space_head const& stored, known_space const& known)
{
    auto const newest = known.content.newest;
    // Of two rosters with the same generation, the known one stays: homes may
    // have run keys by its epochs.
    return stored.newest < newest ||
           (stored.newest == newest && is_member_space(known) &&
            have_diverged(stored, known));
}

/// Head and documents that replace what the store has.
struct restored_space
{
    space_head head;
    std::vector<versioned_document> documents;
};

// Returns the content of the store as the generation after the known one.
restored_space as_next_generation(stored_space const& stored,
                                  known_space const& known)
{
    auto const next = generation(known.content.newest.value() + 1);
    restored_space result{.head = stored.head,
                          .documents = stored.update.documents};
    result.head.newest = next;
    result.head.applies.insert(result.head.applies.begin(),
                               {.id = stored.update.apply_id, .made = next});
    if (result.head.applies.size() > max_past_applies)
        result.head.applies.resize(max_past_applies);
    for (auto const& document : known.content.documents)
    {
        if (std::none_of(result.documents.begin(), result.documents.end(),
                         [&](versioned_document const& present)
                         { return present.path == document.path; }))
            result.documents.push_back(
                {.path = document.path, .changed = next, .text = std::nullopt});
    }
    for (auto& document : result.documents)
        document.changed = next;
    return result;
}

// Reads the space, after storing again what this node has in force if the store
// has lost it.
absl::StatusOr<stored_space> read_or_restore(etcd_store& store,
                                             std::string_view prefix,
                                             write_request const& request)
{
    auto stored = read_space(store, prefix, request.space);
    if (!stored.ok() || !must_restore(stored->head, request.known))
        return stored;
    auto const restored = restore_space(store, prefix, request.known);
    if (!restored.ok())
        return restored.status();
    stored = read_space(store, prefix, request.space);
    if (stored.ok() && must_restore(stored->head, request.known))
        return absl::UnavailableError(
            "the store has an older generation than this node");
    return stored;
}

} // namespace

absl::StatusOr<stored_space>
read_space(etcd_store& store, std::string_view prefix, std::string_view space)
{
    auto view = store.read_prefix(space_prefix(prefix, space));
    if (!view.ok())
        return view.status();
    std::vector<stored_value> values;
    for (auto& record : view->records)
        values.push_back({.key = std::move(record.key),
                          .value = std::move(record.value),
                          .revision = record.modified.value()});
    auto spaces = parse_spaces(prefix, values);
    if (!spaces.empty())
        return std::move(spaces.front());
    stored_space empty;
    empty.update.space = space;
    return empty;
}

absl::StatusOr<bool> restore_space(etcd_store& store, std::string_view prefix,
                                   known_space const& known)
{
    auto const& content = known.content;
    auto const stored = read_space(store, prefix, content.space);
    if (!stored.ok())
        return stored.status();
    if (!must_restore(stored->head, known))
        return false;
    auto const restored =
        is_member_space(known) && have_diverged(stored->head, known)
            ? as_next_generation(*stored, known)
            : restored_space{.head = restored_head(stored->head, known),
                             .documents = content.documents};
    auto const& present = stored->update.documents;
    std::vector<store_write> writes{{.key = head_key(prefix, content.space),
                                     .value = format_head(restored.head),
                                     .lease = std::nullopt}};
    for (auto const& document : restored.documents)
    {
        if (std::find(present.begin(), present.end(), document) ==
            present.end())
            writes.push_back(
                {.key = document_key(prefix, content.space, document.path),
                 .value = format_document(document),
                 .lease = std::nullopt});
    }
    // The head changes with each write, so nothing that was written after the
    // read is overwritten.
    auto const result =
        store.commit({{.key = head_key(prefix, content.space),
                       .modified = store_revision(stored->head_revision)}},
                     writes);
    if (!result.ok())
        return result.status();
    return result->succeeded;
}

write_report write_documents(etcd_store& store, std::string_view prefix,
                             write_request const& request)
{
    auto const stored = read_or_restore(store, prefix, request);
    if (!stored.ok())
        return make_report(write_outcome::not_accepted, {},
                           std::string(stored.status().message()));
    if (stored->head.generation_created_by(request.apply_id) != generation(0))
        return make_report(write_outcome::accepted, stored->update,
                           "a change with this apply id was accepted before");
    if (stored->head.newest != request.base)
        return make_report(write_outcome::conflict, stored->update, "");
    document_book book;
    book.merge(stored->update);
    auto const changes =
        changed_documents(book.files(request.space), request.documents,
                          generation(stored->head.newest.value() + 1));
    if (changes.empty())
        return make_report(write_outcome::unchanged, stored->update, "");
    if (changes.size() > max_changed_documents)
        return make_report(
            write_outcome::too_large, stored->update,
            std::to_string(changes.size()) +
                " documents change; the maximum for one apply is " +
                std::to_string(max_changed_documents));
    return commit(store, prefix, request, *stored, changes);
}

write_report resolve_write(etcd_store& store, std::string_view prefix,
                           std::string_view space, std::string_view apply_id,
                           generation base)
{
    auto const stored = read_space(store, prefix, space);
    if (!stored.ok())
        return make_report(write_outcome::not_known, {},
                           std::string(stored.status().message()));
    if (stored->head.generation_created_by(apply_id) != generation(0))
        return make_report(write_outcome::accepted, stored->update, "");
    if (stored->head.newest > base)
        return make_report(write_outcome::conflict, stored->update, "");
    return make_report(write_outcome::not_known, stored->update,
                       "the change is not in the store yet, but may still "
                       "take effect");
}

} // namespace pollenhall
