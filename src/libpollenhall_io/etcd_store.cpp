// Implements `etcd_store`. The gateway encodes keys and values in base64 and
// 64-bit numbers as strings.

#include <pollenhall/io/etcd_store.hpp>

#include <atomic>
#include <mutex>

#include <absl/strings/escaping.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace pollenhall
{
namespace
{

using nlohmann::json;

constexpr int http_ok = 200;
constexpr std::string_view json_type = "application/json";

std::string encode_base64(std::string_view text)
{
    return absl::Base64Escape(std::string(text));
}

std::string decode_base64(std::string const& text)
{
    std::string bytes;
    if (!absl::Base64Unescape(text, &bytes))
        throw std::runtime_error("key or value is not valid base64");
    return bytes;
}

// First key after all keys that begin with `prefix`.
std::string end_of_prefix(std::string_view prefix)
{
    std::string end(prefix);
    if (!end.empty())
        ++end.back();
    return end;
}

// The gateway writes 64-bit numbers as strings and omits zeros.
std::int64_t int64_at(json const& object, char const* name)
{
    if (!object.is_object())
        throw std::runtime_error(std::string(name) + " is not in an object");
    auto const found = object.find(name);
    if (found == object.end())
        return 0;
    if (found->is_string())
        return std::stoll(found->get<std::string>());
    return found->get<std::int64_t>();
}

// Every response of the store has a header.
store_revision revision_of(json const& response)
{
    return store_revision(int64_at(response.at("header"), "revision"));
}

store_record parse_record(json const& item)
{
    return {.key = decode_base64(item.at("key").get<std::string>()),
            .value = decode_base64(item.value("value", "")),
            .modified = store_revision(int64_at(item, "mod_revision"))};
}

/// Returns what `parse` returns. Its exceptions, which tell that a response is
/// malformed, become InternalError.
template <class Parse>
auto parse_response(Parse&& parse) -> absl::StatusOr<decltype(parse())>
{
    try
    {
        return parse();
    }
    catch (std::exception const& error)
    {
        return absl::InternalError(std::string("store: ") + error.what());
    }
}

/// One message of a watch.
struct watch_message
{
    bool cancelled = false;
    std::vector<std::string> keys;
    /// Revision of the store; 0 if the message does not name it.
    store_revision revision;
};

watch_message parse_watch_message(std::string const& line)
{
    auto const result = json::parse(line).value("result", json::object());
    watch_message message{.cancelled = result.value("canceled", false),
                          .keys = {},
                          .revision = {}};
    for (auto const& event : result.value("events", json::array()))
    {
        std::string key;
        auto const kv = event.value("kv", json::object());
        if (absl::Base64Unescape(kv.value("key", ""), &key))
            message.keys.push_back(std::move(key));
    }
    if (!message.keys.empty() || result.contains("header"))
        message.revision = revision_of(result);
    return message;
}

absl::Status status_from_error(httplib::Error error)
{
    auto const text = "store: " + httplib::to_string(error);
    bool const never_sent = error == httplib::Error::Connection ||
                            error == httplib::Error::ConnectionTimeout ||
                            error == httplib::Error::BindIPAddress;
    return never_sent ? absl::UnavailableError(text) : absl::UnknownError(text);
}

absl::Status status_from_http(int code, std::string const& body)
{
    constexpr int service_unavailable = 503;
    constexpr std::size_t max_shown_bytes = 200;
    auto const text = "store returned HTTP status " + std::to_string(code) +
                      ": " + body.substr(0, max_shown_bytes);
    if (code == service_unavailable)
        return absl::UnavailableError(text);
    return absl::UnknownError(text);
}

} // namespace

class etcd_store::implementation
{
public:
    explicit implementation(etcd_store_options options)
        : options_(std::move(options)), client_(options_.address, options_.port)
    {
        client_.set_keep_alive(true);
        client_.set_tcp_nodelay(true);
        client_.set_connection_timeout(options_.timeout);
        client_.set_read_timeout(options_.timeout);
        client_.set_write_timeout(options_.timeout);
    }

    absl::StatusOr<json> post(char const* path, json const& body)
    {
        ++calls;
        auto const result =
            client_.Post(path, body.dump(), std::string(json_type));
        if (!result)
            return status_from_error(result.error());
        if (result->status != http_ok)
            return status_from_http(result->status, result->body);
        auto response = json::parse(result->body, nullptr, false);
        if (response.is_discarded())
            return absl::UnknownError("store: response is not valid JSON");
        if (!response.is_object())
            return absl::InternalError("store: response is not a JSON object");
        return response;
    }

    absl::Status stream(char const* path, json const& body,
                        milliseconds idle_timeout,
                        std::function<bool(std::string_view)> const& on_data)
    {
        ++calls;
        httplib::Client client(options_.address, options_.port);
        client.set_connection_timeout(options_.timeout);
        client.set_read_timeout(idle_timeout);
        stream_guard const guard(*this, client);
        httplib::Request request;
        request.method = "POST";
        request.path = path;
        request.body = body.dump();
        request.set_header("Content-Type", std::string(json_type));
        std::optional<int> status;
        request.response_handler = [&](httplib::Response const& response)
        {
            status = response.status;
            return status == http_ok;
        };
        request.content_receiver = [&](char const* data, std::size_t size,
                                       std::uint64_t, std::uint64_t) {
            return !interrupted_ && on_data({data, size});
        };
        auto const result = client.send(request);
        if (!result && result.error() != httplib::Error::Canceled)
            return status_from_error(result.error());
        if (status && *status != http_ok)
            return status_from_http(*status, {});
        return absl::OkStatus();
    }

    void interrupt()
    {
        std::lock_guard const lock(mutex_);
        interrupted_ = true;
        if (stream_client_ != nullptr)
            stream_client_->stop();
    }

    std::atomic<std::uint64_t> calls{0};

private:
    // Registers a stream's client for `interrupt` while the stream is open.
    class stream_guard
    {
    public:
        stream_guard(implementation& owner, httplib::Client& client)
            : owner_(owner)
        {
            std::lock_guard const lock(owner_.mutex_);
            owner_.stream_client_ = &client;
        }
        ~stream_guard()
        {
            std::lock_guard const lock(owner_.mutex_);
            owner_.stream_client_ = nullptr;
        }
        stream_guard(stream_guard const&) = delete;
        stream_guard& operator=(stream_guard const&) = delete;

    private:
        implementation& owner_;
    };

    etcd_store_options options_;
    httplib::Client client_;
    std::mutex mutex_;
    // Client of the open stream; null if there is none.
    httplib::Client* stream_client_ = nullptr;
    std::atomic<bool> interrupted_{false};
};

etcd_store::etcd_store(etcd_store_options options)
    : implementation_(std::make_unique<implementation>(std::move(options)))
{
}

etcd_store::~etcd_store() = default;

void etcd_store::interrupt()
{
    implementation_->interrupt();
}

std::uint64_t etcd_store::calls() const
{
    return implementation_->calls;
}

absl::StatusOr<store_view> etcd_store::read_prefix(std::string_view prefix)
{
    auto const response = implementation_->post(
        "/v3/kv/range", {{"key", encode_base64(prefix)},
                         {"range_end", encode_base64(end_of_prefix(prefix))}});
    if (!response.ok())
        return response.status();
    return parse_response(
        [&]
        {
            store_view view{.revision = revision_of(*response), .records = {}};
            for (auto const& item : response->value("kvs", json::array()))
                view.records.push_back(parse_record(item));
            return view;
        });
}

absl::StatusOr<commit_result>
etcd_store::commit(std::vector<store_condition> const& conditions,
                   std::vector<store_write> const& writes)
{
    json compare = json::array();
    for (auto const& condition : conditions)
        compare.push_back(
            {{"key", encode_base64(condition.key)},
             {"target", "MOD"},
             {"result", "EQUAL"},
             {"mod_revision", std::to_string(condition.modified.value())}});
    json success = json::array();
    for (auto const& write : writes)
    {
        if (write.value.size() > max_store_value_bytes)
            return absl::InvalidArgumentError(
                "value of " + write.key + " has " +
                std::to_string(write.value.size()) + " bytes; the maximum is " +
                std::to_string(max_store_value_bytes));
        json put{{"key", encode_base64(write.key)},
                 {"value", encode_base64(write.value)}};
        if (write.lease)
            put["lease"] = std::to_string(write.lease->value());
        success.push_back({{"requestPut", put}});
    }
    auto const response = implementation_->post(
        "/v3/kv/txn", {{"compare", compare}, {"success", success}});
    if (!response.ok())
        return response.status();
    return parse_response(
        [&]
        {
            return commit_result{.succeeded =
                                     response->value("succeeded", false),
                                 .revision = revision_of(*response)};
        });
}

absl::StatusOr<lease_id> etcd_store::grant_lease(seconds time_to_live)
{
    auto const response = implementation_->post(
        "/v3/lease/grant", {{"TTL", std::to_string(time_to_live.count())}});
    if (!response.ok())
        return response.status();
    auto lease =
        parse_response([&] { return lease_id(int64_at(*response, "ID")); });
    if (lease.ok() && lease->value() == 0)
        return absl::InternalError("store: response has no lease");
    return lease;
}

absl::Status etcd_store::keep_alive(lease_id lease)
{
    auto const response = implementation_->post(
        "/v3/lease/keepalive", {{"ID", std::to_string(lease.value())}});
    if (!response.ok())
        return response.status();
    auto const time_to_live = parse_response(
        [&]
        { return int64_at(response->value("result", json::object()), "TTL"); });
    if (!time_to_live.ok())
        return time_to_live.status();
    if (*time_to_live <= 0)
        return absl::NotFoundError("lease has expired");
    return absl::OkStatus();
}

absl::Status etcd_store::watch(std::string_view prefix, store_revision from,
                               milliseconds idle_timeout,
                               change_handler const& on_change)
{
    json const body{{"create_request",
                     {{"key", encode_base64(prefix)},
                      {"range_end", encode_base64(end_of_prefix(prefix))},
                      {"start_revision", std::to_string(from.value())}}}};
    // The response is a stream of JSON objects, one per line. It arrives in
    // chunks that need not end with a line.
    std::string buffered;
    absl::Status malformed;
    auto const on_data = [&](std::string_view data)
    {
        buffered += data;
        for (auto end = buffered.find('\n'); end != std::string::npos;
             end = buffered.find('\n'))
        {
            auto const message = parse_response(
                [&] { return parse_watch_message(buffered.substr(0, end)); });
            buffered.erase(0, end + 1);
            malformed = message.status();
            if (!message.ok() || message->cancelled)
                return false;
            // A store that was restored from an older snapshot sends nothing
            // until its revision has reached `from` once more.
            auto const store_has = message->revision.value();
            if (store_has != 0 && store_has + 1 < from.value())
                return false;
            if (!message->keys.empty() &&
                !on_change(message->keys, message->revision))
                return false;
        }
        return true;
    };
    auto const streamed =
        implementation_->stream("/v3/watch", body, idle_timeout, on_data);
    return malformed.ok() ? streamed : malformed;
}

} // namespace pollenhall
