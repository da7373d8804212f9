// Simulates an overloaded service that each request calls several times.
// Guards against capacity and retries being spread over the calls of all
// requests, which leaves almost no request complete.

#include <pollenhall/mesh/attempt_policy.hpp>
#include <pollenhall/mesh/call_rank.hpp>
#include <pollenhall/mesh/gate_queue.hpp>
#include <pollenhall/trace_context.hpp>

#include <doctest/doctest.h>

#include <functional>
#include <queue>
#include <random>

namespace
{

using namespace pollenhall;
using namespace pollenhall::mesh;

/// Event queue of a simulation, ordered by time.
class timeline
{
public:
    void at(double ms, std::function<void()> action)
    {
        events_.push(
            {.ms = ms, .number = ++last_, .action = std::move(action)});
    }
    void run()
    {
        while (!events_.empty())
        {
            auto const next = events_.top();
            events_.pop();
            now_ = next.ms;
            next.action();
        }
    }
    [[nodiscard]] double now_ms() const { return now_; }
    [[nodiscard]] mono_time now() const
    {
        return mono_time(microseconds(static_cast<std::int64_t>(now_ * 1'000)));
    }

private:
    struct event
    {
        double ms;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(event const& other) const
        {
            return ms != other.ms ? ms > other.ms : number > other.number;
        }
    };
    std::priority_queue<event> events_;
    std::uint64_t last_ = 0;
    double now_ = 0;
};

struct simulation_options
{
    // Offered load relative to the capacity of the service.
    double demand = 1.4;
    int calls_per_request = 4;
    // Whether calls of one request share a cohort or each gets its own.
    bool by_request = true;
};

/// Simulates requests that call one service four times in sequence. A request
/// with a rejected call fails.
class service_simulation
{
public:
    explicit service_simulation(simulation_options options) : options_(options)
    {
        queue_.set_slots(42);
    }

    /// Returns the fraction of requests that completed all their calls.
    double run()
    {
        constexpr double simulated_seconds = 20;
        double const calls_per_second = 40 / (service_ms / 1'000);
        double const requests_per_second =
            options_.demand * calls_per_second / options_.calls_per_request;
        std::exponential_distribution<double> gap(requests_per_second / 1'000);
        for (double ms = gap(random_); ms < simulated_seconds * 1'000;
             ms += gap(random_))
            time_.at(ms,
                     [this]
                     {
                         ++started_;
                         call({.rank = cohort(),
                               .calls_left = options_.calls_per_request});
                     });
        time_.run();
        return static_cast<double>(completed_) / started_;
    }

private:
    static constexpr double service_ms = 22;
    // A rejection is reported to the caller after about the time of one hop.
    struct request
    {
        call_rank rank;
        int calls_left;
    };

    call_rank cohort()
    {
        return {.level = 4,
                .cohort = static_cast<int>(random_() % cohort_count)};
    }

    void call(request of)
    {
        if (!options_.by_request)
            of.rank = cohort();
        gate_call_id const number(++last_);
        requests_[number] = of;
        auto const now = time_.now();
        if (queue_.offer({.number = number,
                          .rank = of.rank,
                          .arrived = now,
                          .deadline = now + milliseconds{700},
                          .max_wait = milliseconds{150}},
                         now))
            requests_.erase(number);
        else
            time_.at(time_.now_ms() + 150.5, [this] { step(); });
        step();
    }

    void step()
    {
        for (auto const& dropped : queue_.take_dropped(time_.now()))
            requests_.erase(dropped.number);
        for (auto const& started : queue_.take_startable())
        {
            auto const of = requests_.extract(started.number).mapped();
            std::lognormal_distribution<double> spread(0, 0.5);
            double const took = service_ms * spread(random_) / 1.133;
            time_.at(time_.now_ms() + took,
                     [this, of, took] { end(of, took); });
        }
    }

    void end(request of, double took)
    {
        queue_.on_finished(
            microseconds(static_cast<std::int64_t>(took * 1'000)), false,
            time_.now());
        if (--of.calls_left == 0)
            ++completed_;
        else
            time_.at(time_.now_ms() + 3, [this, of] { call(of); });
        step();
    }

    simulation_options options_;
    timeline time_;
    gate_queue queue_;
    std::mt19937_64 random_{20261204};
    std::map<gate_call_id, request> requests_;
    std::uint64_t last_ = 0;
    int started_ = 0;
    int completed_ = 0;
};

} // namespace

TEST_CASE("call ranks")
{
    auto const entry = rank_of_entry(2, "9c41d07be2a35f68");
    auto const inner = rank_of_inner_call(entry);

    SUBCASE("put work in progress before new requests of the same priority")
    {
        CHECK(inner < entry);
        CHECK(rank_of_entry(1, "1") < inner);
        CHECK(rank_of_inner_call(inner) == inner);
    }
    SUBCASE("keep the cohort at every hop")
    {
        CHECK(inner.cohort == entry.cohort);
    }
    SUBCASE("are urgent only for the highest priority")
    {
        CHECK(is_urgent(rank_of_entry(0, "1")));
        CHECK_FALSE(is_urgent(rank_of_entry(1, "1")));
    }
}

TEST_CASE("at 1.4 times capacity, shared cohorts complete more requests of "
          "four calls")
{
    double const by_call =
        service_simulation({.demand = 1.4, .by_request = false}).run();
    double const by_request = service_simulation({.demand = 1.4}).run();
    MESSAGE("completed requests: cohort per call ", by_call,
            ", cohort per request ", by_request);
    // The capacity allows at most 1 / 1.4 = 0.71 of the requests.
    CHECK(by_request >= 0.6);
    CHECK(by_request > by_call);
}

TEST_CASE("cohorts reject almost no requests of a service below its capacity")
{
    CHECK(service_simulation({.demand = 0.8}).run() >= 0.99);
}

namespace
{

struct rejection_simulation_options
{
    bool by_request = true;
    double per_second_fraction = 0.15;
};

/// Simulates a service that gets 400 calls a second for ten seconds and then
/// rejects 55% of them for eight seconds. Requests of the highest priority make
/// eight calls each, others four. Returns the fraction of requests of the
/// highest priority whose calls all complete during the rejections.
double completed_urgent_fraction(rejection_simulation_options options)
{
    service_name const service("leaf");
    retry_allowance allowance(
        {.ratio = 0.2,
         .slack = 4,
         .per_second_fraction = options.per_second_fraction,
         .per_second_slack = 8});
    std::mt19937_64 random(20261204);
    std::bernoulli_distribution is_rejected(0.55);
    int completed = 0;
    int started = 0;
    auto const random_cohort = [&]
    { return static_cast<int>(random() % cohort_count); };
    auto const run_request =
        [&](int level, int calls, mono_time now, bool rejecting)
    {
        int const cohort = random_cohort();
        bool failed = false;
        for (int n = 0; n < calls && !failed; ++n)
        {
            allowance.on_first_attempt(service, now);
            call_rank const rank{
                .level = level,
                .cohort = options.by_request ? cohort : random_cohort()};
            for (int rejections = 0;
                 rejecting && !failed && is_rejected(random); ++rejections)
                failed = rejections >= attempt_limits{}.max_rejections ||
                         !allowance.spend(service, rank, now);
        }
        return !failed;
    };
    for (int tick = 0; tick < 1'800; ++tick)
    {
        mono_time const now(seconds{100} + milliseconds{10 * tick});
        bool const rejecting = tick >= 1'000;
        // On average 20 requests a second with eight calls and 60 with four.
        bool const urgent = tick % 5 == 0;
        if (urgent)
        {
            bool const done = run_request(0, 8, now, rejecting);
            started += rejecting ? 1 : 0;
            completed += rejecting && done ? 1 : 0;
        }
        else if (tick % 5 < 4)
            run_request(4, 4, now, rejecting);
    }
    return static_cast<double>(completed) / started;
}

} // namespace

TEST_CASE("a short retry allowance is spent on complete requests")
{
    double const by_call = completed_urgent_fraction({.by_request = false});
    double const without_second_limit =
        completed_urgent_fraction({.per_second_fraction = 1});
    double const by_request = completed_urgent_fraction({});
    MESSAGE("completed requests: cohort per call ", by_call,
            ", per request without limit per second ", without_second_limit,
            ", per request ", by_request);
    CHECK(by_request > by_call);
    CHECK(by_request > without_second_limit);
    // The allowance is 64 retries a second. A request needs 9.8 to complete, so
    // the 20 that arrive need 196: a third of them can complete.
    CHECK(by_request >= 0.2);
}
