// Stand-in for the platform's store: an in-memory implementation of the part
// of etcd's v3 JSON gateway that the daemon uses, with fault injection for
// tests.
//
// POST /standin/fault takes a JSON object with any of: down (bool), slow_ms,
// lose_answers (number of transactions whose response is lost after they took
// effect), stale_reads (bool), silent_watches (bool), expire_leases (bool),
// compacted (bool), copy (bool; takes a copy of the store) and restore (bool;
// the store is restored from that copy) and writes (with `restore`; operations
// of a transaction that another client had performed before any other call).
// GET /standin/counters returns the number of calls by path.

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/connection_queue.hpp>
#include <pollenhall/io/http_server.hpp>
#include <pollenhall/io/process_limits.hpp>

#include <boost/program_options.hpp>

#include <absl/strings/escaping.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace
{

using nlohmann::json;
using namespace pollenhall;

constexpr std::size_t max_connections = 2'048;
constexpr int service_unavailable = 503;

/// Value of a key and the revision of its last change.
struct stored_value
{
    std::string value;
    std::int64_t modified = 0;
    std::int64_t lease = 0;
};

struct lease
{
    seconds time_to_live{0};
    mono_time expires{};
};

/// Faults that tests inject; see the head of this file.
struct faults
{
    /// Every call fails with status 503.
    bool down = false;
    /// Delay of every call, ms.
    int slow_ms = 0;
    int lose_answers = 0;
    /// Reads return the data as of when this fault was set.
    bool stale_reads = false;
    /// Watches stay open but report no changes.
    bool silent_watches = false;
    /// Each watch is cancelled, as if its history had been discarded.
    bool compacted = false;
};

/// What a copy of the store holds.
struct store_copy
{
    std::map<std::string, stored_value> data;
    std::map<std::int64_t, lease> leases;
    std::int64_t revision = 1;
    std::int64_t next_lease = 0;
};

std::string encode_base64(std::string const& text)
{
    return absl::Base64Escape(text);
}

std::string decode_base64(json const& object, char const* name)
{
    std::string bytes;
    absl::Base64Unescape(object.value(name, ""), &bytes);
    return bytes;
}

// Reads an integer, which etcd's gateway encodes as a number or a string; 0 if
// absent.
std::int64_t read_integer(json const& object, char const* name)
{
    auto const found = object.find(name);
    if (found == object.end())
        return 0;
    return found->is_string() ? std::stoll(found->get<std::string>())
                              : found->get<std::int64_t>();
}

/// Keys and leases, with etcd's revisions.
class memory_store
{
public:
    json range(json const& request)
    {
        std::lock_guard const lock(mutex_);
        expire_leases();
        auto const& source = fault_.stale_reads ? stale_data_ : data_;
        auto const from = decode_base64(request, "key");
        auto const end = decode_base64(request, "range_end");
        json records = json::array();
        for (auto item = source.lower_bound(from);
             item != source.end() && item->first < end; ++item)
            records.push_back(record(*item));
        json answer{{"header", header()}};
        if (!records.empty())
            answer["kvs"] = records;
        return answer;
    }

    /// Applies a transaction. Sets `lose_response` if the response is to be
    /// lost.
    json transact(json const& request, bool& lose_response)
    {
        std::lock_guard const lock(mutex_);
        expire_leases();
        bool compare_succeeded = true;
        for (auto const& item : request.value("compare", json::array()))
        {
            auto const found = data_.find(decode_base64(item, "key"));
            auto const modified =
                found == data_.end() ? 0 : found->second.modified;
            compare_succeeded = compare_succeeded &&
                                modified == read_integer(item, "mod_revision");
        }
        if (compare_succeeded)
            apply(request.value("success", json::array()));
        lose_response = fault_.lose_answers > 0;
        fault_.lose_answers -= lose_response ? 1 : 0;
        json answer{{"header", header()}};
        if (compare_succeeded)
            answer["succeeded"] = true;
        return answer;
    }

    json grant(json const& request)
    {
        std::lock_guard const lock(mutex_);
        auto const id = ++next_lease_;
        seconds const time(read_integer(request, "TTL"));
        leases_[id] = {.time_to_live = time, .expires = mono_now() + time};
        return {{"header", header()},
                {"ID", std::to_string(id)},
                {"TTL", std::to_string(time.count())}};
    }

    json keep_alive(json const& request)
    {
        std::lock_guard const lock(mutex_);
        expire_leases();
        json result{{"header", header()}, {"ID", request.value("ID", "")}};
        auto const found = leases_.find(read_integer(request, "ID"));
        if (found != leases_.end())
        {
            found->second.expires = mono_now() + found->second.time_to_live;
            result["TTL"] = std::to_string(found->second.time_to_live.count());
        }
        return {{"result", result}};
    }

    /// Waits up to 200 ms for changes at or after `revision`; returns their
    /// keys and advances `revision` past them. Empty if there are none.
    std::vector<std::string> wait_for_changes(std::int64_t& revision,
                                              std::string const& from,
                                              std::string const& end)
    {
        constexpr milliseconds max_wait{200};
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, max_wait,
                          [&] { return revision_ >= revision; });
        std::vector<std::string> keys;
        // As etcd does, a watch from a later revision waits for it.
        if (fault_.silent_watches || fault_.down || revision_ < revision)
            return keys;
        for (auto const& [key, item] : data_)
        {
            if (item.modified >= revision && key >= from && key < end)
                keys.push_back(key);
        }
        revision = revision_ + 1;
        return keys;
    }

    void set_faults(json const& wanted)
    {
        std::lock_guard const lock(mutex_);
        fault_.down = wanted.value("down", fault_.down);
        fault_.slow_ms = wanted.value("slow_ms", fault_.slow_ms);
        fault_.lose_answers = wanted.value("lose_answers", fault_.lose_answers);
        fault_.silent_watches =
            wanted.value("silent_watches", fault_.silent_watches);
        fault_.compacted = wanted.value("compacted", fault_.compacted);
        bool const stale = wanted.value("stale_reads", fault_.stale_reads);
        if (stale && !fault_.stale_reads)
            stale_data_ = data_;
        fault_.stale_reads = stale;
        if (wanted.value("expire_leases", false))
        {
            for (auto& [id, item] : leases_)
                item.expires = mono_time{};
        }
        if (wanted.value("copy", false))
            copy_ = {.data = data_,
                     .leases = leases_,
                     .revision = revision_,
                     .next_lease = next_lease_};
        if (wanted.value("restore", false))
        {
            restore();
            if (wanted.contains("writes"))
                apply(wanted.at("writes"));
        }
    }

    /// Number of times that the store was restored from a snapshot.
    int restores()
    {
        std::lock_guard const lock(mutex_);
        return restores_;
    }

    faults current_faults()
    {
        std::lock_guard const lock(mutex_);
        return fault_;
    }

    json header_now()
    {
        std::lock_guard const lock(mutex_);
        return header();
    }

private:
    [[nodiscard]] json header() const
    {
        return {{"revision", std::to_string(revision_)}};
    }

    static json record(std::pair<std::string const, stored_value> const& item)
    {
        return {{"key", encode_base64(item.first)},
                {"value", encode_base64(item.second.value)},
                {"mod_revision", std::to_string(item.second.modified)}};
    }

    void apply(json const& operations)
    {
        ++revision_;
        for (auto const& operation : operations)
        {
            auto const put = operation.value("requestPut", json::object());
            data_[decode_base64(put, "key")] = {
                .value = decode_base64(put, "value"),
                .modified = revision_,
                .lease = read_integer(put, "lease")};
        }
        changed_.notify_all();
    }

    // Revisions and leases since the copy are reused. As in etcd,
    // leases begin anew when the store starts.
    void restore()
    {
        data_ = copy_.data;
        leases_ = copy_.leases;
        revision_ = copy_.revision;
        next_lease_ = copy_.next_lease;
        for (auto& [id, item] : leases_)
            item.expires = mono_now() + item.time_to_live;
        ++restores_;
    }

    void expire_leases()
    {
        auto const now = mono_now();
        std::erase_if(leases_, [&](auto const& item)
                      { return now >= item.second.expires; });
        std::erase_if(data_,
                      [&](auto const& item) {
                          return item.second.lease != 0 &&
                                 !leases_.contains(item.second.lease);
                      });
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, stored_value> data_;
    std::map<std::string, stored_value> stale_data_;
    std::map<std::int64_t, lease> leases_;
    std::int64_t revision_ = 1;
    std::int64_t next_lease_ = 0;
    store_copy copy_;
    int restores_ = 0;
    faults fault_;
};

/// HTTP server of the gateway's paths.
class gateway
{
public:
    gateway()
    {
        server_.new_task_queue = []
        { return new connection_queue(max_connections); };
        serve("/v3/kv/range",
              [this](json const& body) { return store_.range(body); });
        serve("/v3/lease/grant",
              [this](json const& body) { return store_.grant(body); });
        serve("/v3/lease/keepalive",
              [this](json const& body) { return store_.keep_alive(body); });
        server_.Post("/v3/kv/txn", [this](auto const& request, auto& reply)
                     { handle_transaction(request, reply); });
        server_.Post("/v3/watch", [this](auto const& request, auto& reply)
                     { handle_watch(request, reply); });
        server_.Post("/standin/fault",
                     [this](auto const& request, auto& reply)
                     {
                         store_.set_faults(json::parse(request.body));
                         reply.set_content("{}", "application/json");
                     });
        server_.Get("/standin/counters",
                    [this](auto const&, auto& reply)
                    {
                        std::lock_guard const lock(mutex_);
                        reply.set_content(json(calls_).dump(),
                                          "application/json");
                    });
    }

    bool listen(std::string const& address, int port)
    {
        return server_.bind(address, port) >= 0 && server_.listen_after_bind();
    }
    void stop()
    {
        stopping_ = true;
        // Exits without joining the threads of idle connections.
        std::quick_exit(0);
    }

private:
    // Counts the call and applies the injected faults; returns false, with an
    // error reply, if the call fails.
    bool begin_call(std::string const& path, httplib::Response& reply)
    {
        {
            std::lock_guard const lock(mutex_);
            ++calls_[path];
        }
        auto const fault = store_.current_faults();
        if (fault.slow_ms > 0)
            std::this_thread::sleep_for(milliseconds(fault.slow_ms));
        if (!fault.down)
            return true;
        reply.status = service_unavailable;
        reply.set_content(R"({"error":"etcdserver: no leader","code":14})",
                          "application/json");
        return false;
    }

    template <class Handler>
    void serve(char const* path, Handler handler)
    {
        server_.Post(path,
                     [this, path, handler](auto const& request, auto& reply)
                     {
                         if (begin_call(path, reply))
                             reply.set_content(
                                 handler(json::parse(request.body)).dump(),
                                 "application/json");
                     });
    }

    void handle_transaction(httplib::Request const& request,
                            httplib::Response& reply)
    {
        if (!begin_call("/v3/kv/txn", reply))
            return;
        bool lose_response = false;
        auto const answer =
            store_.transact(json::parse(request.body), lose_response);
        if (!lose_response)
        {
            reply.set_content(answer.dump(), "application/json");
            return;
        }
        // Closes the connection after the response header.
        reply.set_content_provider(
            answer.dump().size(), "application/json",
            [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
    }

    void handle_watch(httplib::Request const& request, httplib::Response& reply)
    {
        if (!begin_call("/v3/watch", reply))
            return;
        auto const create =
            json::parse(request.body).value("create_request", json::object());
        auto revision = read_integer(create, "start_revision");
        auto const from = decode_base64(create, "key");
        auto const end = decode_base64(create, "range_end");
        bool first = true;
        auto const restores = store_.restores();
        reply.set_chunked_content_provider(
            "application/json",
            [this, revision, from, end, first,
             restores](std::size_t, httplib::DataSink& sink) mutable
            {
                auto const fault = store_.current_faults();
                // A store that is restored from a snapshot has been restarted.
                if (stopping_ || fault.down || store_.restores() != restores)
                {
                    sink.done();
                    return true;
                }
                if (first)
                {
                    first = false;
                    return write_result(sink, {{"created", true}});
                }
                if (fault.compacted)
                {
                    write_result(sink, {{"canceled", true},
                                        {"compact_revision",
                                         std::to_string(revision + 1)}});
                    sink.done();
                    return true;
                }
                return write_events(
                    sink, store_.wait_for_changes(revision, from, end));
            });
    }

    bool write_events(httplib::DataSink& sink,
                      std::vector<std::string> const& keys)
    {
        if (keys.empty())
            return sink.is_writable();
        json events = json::array();
        for (auto const& key : keys)
            events.push_back({{"kv", {{"key", encode_base64(key)}}}});
        return write_result(sink, {{"events", events}});
    }

    bool write_result(httplib::DataSink& sink, json result)
    {
        result["header"] = store_.header_now();
        auto const line = json{{"result", result}}.dump() + "\n";
        return sink.write(line.data(), line.size());
    }

    memory_store store_;
    http_server server_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::map<std::string, int> calls_;
};

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    std::string address;
    int port = 0;
    po::options_description options("Options");
    options.add_options()("address",
                          po::value(&address)->default_value("127.0.0.1"))(
        "port", po::value(&port)->required());
    po::variables_map variables;
    po::store(po::parse_command_line(argc, argv, options), variables);
    po::notify(variables);
    std::signal(SIGPIPE, SIG_IGN);
    constexpr std::uint64_t needed_open_files = 4'096;
    if (auto const limits = raise_open_file_limit(needed_open_files);
        !limits.ok())
        std::cerr << limits.message() << "\n";
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    gateway server;
    std::thread signal_thread(
        [&]
        {
            int signal = 0;
            sigwait(&signals, &signal);
            server.stop();
        });
    bool const listened = server.listen(address, port);
    std::quick_exit(listened ? 0 : 1);
}
