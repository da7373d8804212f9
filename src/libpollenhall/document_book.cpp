// Merging of space updates, and queries on the documents in force.

#include <pollenhall/document_book.hpp>
#include <pollenhall/hashing.hpp>

#include <algorithm>

namespace pollenhall
{
namespace
{

// Adds the applies of generations that have no record yet.
void record_applies(std::vector<past_apply>& known, space_update const& update)
{
    auto const add = [&](past_apply const& apply)
    {
        if (std::none_of(known.begin(), known.end(),
                         [&](past_apply const& own)
                         { return own.made == apply.made; }))
            known.push_back(apply);
    };
    add({.id = update.apply_id, .made = update.newest});
    for (auto const& apply : update.applies)
        add(apply);
    std::sort(known.begin(), known.end(),
              [](past_apply const& left, past_apply const& right)
              { return left.made > right.made; });
    if (known.size() > max_past_applies)
        known.resize(max_past_applies);
}

} // namespace

merge_result document_book::merge(space_update const& update)
{
    auto const current = newest(update.space);
    if (update.newest <= current)
    {
        auto const found = spaces_.find(update.space);
        if (found != spaces_.end() && update.newest == current &&
            update.apply_id == found->second.apply_id)
            record_applies(found->second.applies, update);
        return merge_result::unchanged;
    }
    if (update.since > current)
        return merge_result::gap;
    auto& known = spaces_[update.space];
    known.newest = update.newest;
    known.apply_id = update.apply_id;
    known.actor = update.actor;
    record_applies(known.applies, update);
    for (auto const& document : update.documents)
    {
        auto const [position, is_new] =
            known.documents.try_emplace(document.path, document);
        if (!is_new && position->second.changed < document.changed)
            position->second = document;
    }
    return merge_result::advanced;
}

generation document_book::newest(std::string_view space) const
{
    auto const found = spaces_.find(space);
    return found == spaces_.end() ? generation(0) : found->second.newest;
}

std::optional<space_update> document_book::changes_since(std::string_view space,
                                                         generation since) const
{
    auto const found = spaces_.find(space);
    if (found == spaces_.end())
        return std::nullopt;
    space_update update{.space = std::string(space),
                        .newest = found->second.newest,
                        .apply_id = found->second.apply_id,
                        .actor = found->second.actor,
                        .since = since,
                        .documents = {}};
    for (auto const& [path, document] : found->second.documents)
    {
        if (document.changed > since)
            update.documents.push_back(document);
    }
    return update;
}

std::optional<known_space> document_book::known(std::string_view space) const
{
    auto content = changes_since(space, generation(0));
    if (!content)
        return std::nullopt;
    return known_space{.content = std::move(*content),
                       .applies = spaces_.find(space)->second.applies};
}

std::vector<declaration_file> document_book::files(std::string_view space) const
{
    std::vector<declaration_file> files;
    auto const found = spaces_.find(space);
    if (found == spaces_.end())
        return files;
    for (auto const& [path, document] : found->second.documents)
    {
        if (document.text)
            files.push_back({.path = path, .text = *document.text});
    }
    return files;
}

std::vector<space_digest> document_book::digests() const
{
    std::vector<space_digest> result;
    for (auto const& [name, item] : spaces_)
        result.push_back({.space = name, .newest = item.newest});
    return result;
}

std::uint64_t document_book::hash() const
{
    std::uint64_t result = 0;
    for (auto const& [name, item] : spaces_)
        result ^=
            hash_text(name, static_cast<std::uint64_t>(item.newest.value()));
    return result;
}

} // namespace pollenhall
