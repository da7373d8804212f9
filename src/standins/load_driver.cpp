// Load generator for a deployment, with callers that retry aggressively. Reads
// a load plan as JSON from standard input and writes the results as JSON to
// standard output.
//
// The plan: {"seed", "seconds", "entries": [port, ...], "max_threads",
// "client_retries", "streams": [{"kind", "keyed", "deadline_ms",
// "critical", "rates": [[from_second, per_second], ...]}]}.
//
// The load is open-loop: a request starts at its scheduled time, no matter
// whether earlier ones have completed. It counts as completed if a complete and
// correct response arrives within its deadline, measured from the scheduled
// time.

#include <pollenhall/io/clocks.hpp>
#include <pollenhall/io/elastic_pool.hpp>
#include <pollenhall/io/process_limits.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <iterator>
#include <mutex>
#include <random>
#include <thread>

namespace
{

using nlohmann::json;
using namespace pollenhall;

constexpr milliseconds client_retry_delay{20};
constexpr int http_ok = 200;

/// One stream of requests of the same kind.
struct stream_plan
{
    std::string kind;
    bool keyed = false;
    bool critical = false;
    milliseconds deadline{1'000};
    /// Requests per second, each with the second from which the rate applies.
    std::vector<std::pair<double, double>> rates;
};

struct load_plan
{
    std::uint64_t seed = 1;
    double duration_s = 10;
    int client_retries = 3;
    std::size_t max_threads = 2'000;
    std::vector<int> entries;
    std::vector<stream_plan> streams;
};

load_plan parse_plan(json const& text)
{
    load_plan plan;
    plan.seed = text.value("seed", plan.seed);
    plan.duration_s = text.value("seconds", plan.duration_s);
    plan.client_retries = text.value("client_retries", plan.client_retries);
    plan.max_threads = text.value("max_threads", plan.max_threads);
    plan.entries = text.at("entries").get<std::vector<int>>();
    for (auto const& item : text.at("streams"))
    {
        stream_plan stream;
        stream.kind = item.at("kind").get<std::string>();
        stream.keyed = item.value("keyed", false);
        stream.critical = item.value("critical", false);
        stream.deadline = milliseconds(item.value("deadline_ms", 1'000));
        for (auto const& rate : item.at("rates"))
            stream.rates.emplace_back(rate.at(0).get<double>(),
                                      rate.at(1).get<double>());
        plan.streams.push_back(std::move(stream));
    }
    return plan;
}

double rate_at(stream_plan const& stream, double second)
{
    double rate = 0;
    for (auto const& [from, value] : stream.rates)
        rate = second >= from ? value : rate;
    return rate;
}

// Makes an idempotency key in the format of a UUIDv7.
std::string make_idempotency_key(std::uint64_t random)
{
    std::array<char, 64> text{};
    auto const ms =
        static_cast<unsigned long long>(wall_now().time_since_epoch().count());
    std::snprintf(
        text.data(), text.size(), "%08llx-%04llx-7%03llx-8%03llx-%012llx",
        ms >> 16U & 0xFFFF'FFFFU, ms & 0xFFFFU,
        static_cast<unsigned long long>(random & 0xFFFU),
        static_cast<unsigned long long>(random >> 12U & 0xFFFU),
        static_cast<unsigned long long>(random >> 24U & 0xFF'FFFF'FFFFULL));
    return text.data();
}

/// Result of one request.
struct request_record
{
    std::size_t stream = 0;
    double start_s = 0;
    double time_ms = 0;
    int attempts = 0;
    bool completed = false;
    bool wrong_answer = false;
    std::string key;
    std::string last_outcome;
    // Whether every attempt returned `not_run`; then the request must not have
    // run on any upstream.
    bool all_not_run = true;
};

/// Generates the load of a plan and collects the results.
class load_driver
{
public:
    explicit load_driver(load_plan plan)
        : plan_(std::move(plan)), pool_({.max_threads = plan_.max_threads})
    {
    }

    json run()
    {
        start_ = mono_now();
        std::vector<std::thread> stream_threads;
        for (std::size_t i = 0; i < plan_.streams.size(); ++i)
            stream_threads.emplace_back([this, i] { send_stream(i); });
        for (auto& stream_thread : stream_threads)
            stream_thread.join();
        pool_.finish();
        return report();
    }

private:
    [[nodiscard]] double now_s() const
    {
        return static_cast<double>((mono_now() - start_).count()) / 1e6;
    }

    void send_stream(std::size_t index)
    {
        std::mt19937_64 random(plan_.seed + index);
        double next = 0;
        while (next < plan_.duration_s)
        {
            auto const rate = rate_at(plan_.streams[index], next);
            if (rate <= 0)
            {
                // The stream is paused; check again 10 ms later.
                next += 0.01;
                continue;
            }
            next += std::exponential_distribution<double>(rate)(random);
            auto const due =
                start_ + microseconds(static_cast<std::int64_t>(next * 1e6));
            std::this_thread::sleep_for(due - mono_now());
            auto const seed = random();
            pool_.run([this, index, next, seed] { send(index, next, seed); });
        }
    }

    static httplib::Client& client_for(int port)
    {
        thread_local std::map<int, std::unique_ptr<httplib::Client>> clients;
        auto& client = clients[port];
        if (!client)
        {
            client = std::make_unique<httplib::Client>("127.0.0.1", port);
            client->set_keep_alive(true);
            client->set_tcp_nodelay(true);
        }
        return *client;
    }

    void send(std::size_t index, double start_s, std::uint64_t seed)
    {
        auto const& stream = plan_.streams[index];
        request_record record;
        record.stream = index;
        record.start_s = start_s;
        record.key = stream.keyed ? make_idempotency_key(seed) : "";
        auto const start =
            start_ + microseconds(static_cast<std::int64_t>(start_s * 1e6));
        auto const deadline = start + stream.deadline;
        auto const body = "request " + std::to_string(seed);
        std::mt19937_64 random(seed);
        while (record.attempts <= plan_.client_retries && mono_now() < deadline)
        {
            ++record.attempts;
            auto const port = plan_.entries[random() % plan_.entries.size()];
            if (send_attempt(record, stream, port, body, deadline))
                break;
            std::this_thread::sleep_for(client_retry_delay);
        }
        auto const end = mono_now();
        record.time_ms = static_cast<double>((end - start).count()) / 1e3;
        record.completed = record.completed && end <= deadline;
        std::lock_guard const lock(mutex_);
        records_.push_back(std::move(record));
    }

    bool send_attempt(request_record& record, stream_plan const& stream,
                      int port, std::string const& body, mono_time deadline)
    {
        auto& client = client_for(port);
        auto const left = std::max(
            milliseconds{1},
            std::chrono::duration_cast<milliseconds>(deadline - mono_now()));
        client.set_read_timeout(left + milliseconds{50});
        httplib::Headers headers{
            {"Pollenhall-Timeout-Ms", std::to_string(left.count())}};
        if (!record.key.empty())
            headers.emplace("Idempotency-Key", record.key);
        auto const result = client.Post(("/call/" + stream.kind), headers, body,
                                        "application/octet-stream");
        if (!result)
        {
            record.last_outcome = "lost";
            record.all_not_run = false;
            return false;
        }
        record.last_outcome = result->get_header_value("Pollenhall-Outcome");
        record.all_not_run =
            record.all_not_run && record.last_outcome == "not_run";
        if (record.last_outcome != "completed" || result->status != http_ok)
            return false;
        record.wrong_answer = result->body != body;
        record.completed = !record.wrong_answer;
        return true;
    }

    json report()
    {
        json requests = json::array();
        for (auto const& item : records_)
            requests.push_back({item.stream, item.start_s, item.time_ms,
                                item.attempts, item.completed,
                                item.wrong_answer, item.key, item.last_outcome,
                                item.all_not_run});
        return {{"columns",
                 {"stream", "start_s", "time_ms", "tries", "completed",
                  "wrong_answer", "key", "last_outcome", "all_not_run"}},
                {"requests", requests}};
    }

    load_plan plan_;
    elastic_pool pool_;
    mono_time start_{};
    std::mutex mutex_;
    std::vector<request_record> records_;
};

} // namespace

int main()
{
    std::string const text{std::istreambuf_iterator<char>(std::cin),
                           std::istreambuf_iterator<char>()};
    constexpr std::uint64_t needed_open_files = 20'000;
    if (auto const limits = raise_open_file_limit(needed_open_files);
        !limits.ok())
        std::cerr << "load_driver: " << limits.message() << "\n";
    load_driver driver(parse_plan(json::parse(text)));
    std::cout << driver.run().dump() << "\n";
    return 0;
}
