// Formatting and parsing of documents in the store.

#include <pollenhall/store_layout.hpp>

#include <algorithm>
#include <map>
#include <optional>

#include <nlohmann/json.hpp>

namespace pollenhall
{
namespace
{

using nlohmann::json;

// Separates the space name from the rest of a key; names do not contain it.
constexpr char name_separator = '|';
constexpr std::string_view head_suffix = "head";
constexpr std::string_view document_key_prefix = "documents/";

space_head parse_head(std::string_view text)
{
    auto const object = json::parse(text);
    space_head head;
    head.newest = generation(object.at("generation").get<std::int64_t>());
    head.actor = object.at("actor").get<std::string>();
    for (auto const& item : object.at("applies"))
        head.applies.push_back(
            {.id = item.at("id").get<std::string>(),
             .made = generation(item.at("generation").get<std::int64_t>())});
    return head;
}

versioned_document parse_document(std::string path, std::string_view text)
{
    auto const object = json::parse(text);
    versioned_document document;
    document.path = std::move(path);
    document.changed = generation(object.at("generation").get<std::int64_t>());
    if (object.contains("text"))
        document.text = object.at("text").get<std::string>();
    return document;
}

// The unparsed values of one space.
struct raw_space
{
    stored_value const* head = nullptr;
    std::vector<std::pair<std::string, stored_value const*>> documents;
};

absl::StatusOr<stored_space> parse_space(std::string const& name,
                                         raw_space const& raw)
{
    if (raw.head == nullptr)
        return absl::InvalidArgumentError("space " + name + " has no head");
    std::string const* key = &raw.head->key;
    try
    {
        stored_space space;
        space.head = parse_head(raw.head->value);
        space.head_revision = raw.head->revision;
        space.update.space = name;
        space.update.newest = space.head.newest;
        space.update.actor = space.head.actor;
        if (!space.head.applies.empty())
            space.update.apply_id = space.head.applies.front().id;
        space.update.applies = space.head.applies;
        for (auto const& [path, value] : raw.documents)
        {
            key = &value->key;
            auto document = parse_document(path, value->value);
            if (document.changed > space.head.newest)
                return absl::InvalidArgumentError(
                    value->key + " is newer than the head of its space");
            space.update.documents.push_back(std::move(document));
        }
        return space;
    }
    catch (json::exception const& error)
    {
        return absl::InvalidArgumentError(*key +
                                          " cannot be parsed: " + error.what());
    }
}

} // namespace

generation space_head::generation_created_by(std::string_view apply_id) const
{
    for (auto const& item : applies)
    {
        if (item.id == apply_id)
            return item.made;
    }
    return generation(0);
}

std::string spaces_prefix(std::string_view prefix)
{
    return std::string(prefix) + "spaces/";
}

std::string space_prefix(std::string_view prefix, std::string_view space)
{
    return spaces_prefix(prefix) + std::string(space) + name_separator;
}

std::string_view space_of_key(std::string_view prefix, std::string_view key)
{
    auto const root = spaces_prefix(prefix);
    if (!key.starts_with(root))
        return {};
    key.remove_prefix(root.size());
    auto const end = key.find(name_separator);
    return end == std::string_view::npos ? std::string_view{}
                                         : key.substr(0, end);
}

std::string head_key(std::string_view prefix, std::string_view space)
{
    return space_prefix(prefix, space) + std::string(head_suffix);
}

std::string document_key(std::string_view prefix, std::string_view space,
                         std::string_view path)
{
    return space_prefix(prefix, space) + std::string(document_key_prefix) +
           std::string(path);
}

std::string format_head(space_head const& head)
{
    json applies = json::array();
    for (auto const& item : head.applies)
        applies.push_back({{"id", item.id}, {"generation", item.made.value()}});
    return json{{"generation", head.newest.value()},
                {"actor", head.actor},
                {"applies", applies}}
        .dump();
}

std::string format_document(versioned_document const& document)
{
    json object{{"generation", document.changed.value()}};
    if (document.text)
        object["text"] = *document.text;
    return object.dump();
}

std::vector<absl::StatusOr<stored_space>>
parse_spaces(std::string_view prefix, std::vector<stored_value> const& values)
{
    std::map<std::string, raw_space> raw;
    for (auto const& value : values)
    {
        std::string const name(space_of_key(prefix, value.key));
        if (name.empty())
            continue;
        auto const rest = value.key.substr(space_prefix(prefix, name).size());
        if (rest == head_suffix)
            raw[name].head = &value;
        else if (rest.starts_with(document_key_prefix))
            raw[name].documents.emplace_back(
                rest.substr(document_key_prefix.size()), &value);
    }
    std::vector<absl::StatusOr<stored_space>> spaces;
    spaces.reserve(raw.size());
    for (auto const& [name, space] : raw)
        spaces.push_back(parse_space(name, space));
    return spaces;
}

space_head next_head(space_head const& head, std::string apply_id,
                     std::string actor)
{
    space_head next = head;
    next.newest = generation(head.newest.value() + 1);
    next.actor = std::move(actor);
    next.applies.insert(next.applies.begin(),
                        {.id = std::move(apply_id), .made = next.newest});
    if (next.applies.size() > max_past_applies)
        next.applies.resize(max_past_applies);
    return next;
}

bool have_diverged(space_head const& stored, known_space const& known)
{
    for (auto const& item : stored.applies)
    {
        auto const own = std::find_if(
            known.applies.begin(), known.applies.end(),
            [&](past_apply const& apply) { return apply.made == item.made; });
        if (own != known.applies.end())
            return own->id != item.id;
    }
    return false;
}

space_head restored_head(space_head const& stored, known_space const& known)
{
    space_head head{.newest = known.content.newest,
                    .actor = known.content.actor,
                    .applies = known.applies};
    for (auto const& item : stored.applies)
    {
        if (head.generation_created_by(item.id) == generation(0))
            head.applies.push_back(item);
    }
    std::stable_sort(head.applies.begin(), head.applies.end(),
                     [](auto const& left, auto const& right)
                     { return left.made > right.made; });
    if (head.applies.size() > max_past_applies)
        head.applies.resize(max_past_applies);
    return head;
}

std::vector<versioned_document>
changed_documents(std::vector<declaration_file> const& current,
                  std::vector<declaration_file> const& wanted, generation made)
{
    std::map<std::string, std::optional<std::string>> before;
    for (auto const& file : current)
        before[file.path] = file.text;
    std::vector<versioned_document> changes;
    for (auto const& file : wanted)
    {
        auto const found = before.find(file.path);
        bool const same = found != before.end() && found->second == file.text;
        if (!same)
            changes.push_back(
                {.path = file.path, .changed = made, .text = file.text});
        if (found != before.end())
            before.erase(found);
    }
    for (auto const& [path, text] : before)
        changes.push_back(
            {.path = path, .changed = made, .text = std::nullopt});
    return changes;
}

} // namespace pollenhall
