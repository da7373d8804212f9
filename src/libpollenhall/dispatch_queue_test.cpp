// Tests the dispatch queue together with its admission threshold and its
// concurrency limit, against a simulated upstream. Guards against an overload
// in which important calls are refused, capacity stays unused, calls are still
// shed after the overload has ended, or the limit depends on the declared
// slots.

#include <pollenhall/dispatch_queue.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <queue>
#include <random>

namespace
{

using namespace pollenhall;

mono_time at_ms(std::int64_t ms)
{
    return mono_time(milliseconds(ms));
}

queued_call make_call(std::uint64_t number, importance level, mono_time now,
                      char const* member = "vanderhoek")
{
    return {.number = call_number(number),
            .rank = rank_of(level, static_cast<int>(number % 128), 0),
            .member = member_name(member),
            .arrived = now,
            .deadline = now + seconds{2}};
}

/// Simulates an upstream that runs `slots` calls at once and queues the rest
/// internally.
class simulated_upstream
{
public:
    simulated_upstream(int slots, microseconds service)
        : slots_(slots), service_(service)
    {
    }

    void set_service(microseconds service) { service_ = service; }

    void start(call_number number, mono_time now)
    {
        // The call takes the slot that becomes free first.
        if (static_cast<int>(free_at_.size()) < slots_)
            free_at_.push(now);
        auto const begin = std::max(now, free_at_.top());
        free_at_.pop();
        auto const end = begin + service_;
        free_at_.push(end);
        ends_.push({end, number});
    }

    std::optional<call_number> next_end(mono_time now)
    {
        if (ends_.empty() || ends_.top().first > now)
            return std::nullopt;
        auto const number = ends_.top().second;
        ends_.pop();
        return number;
    }

private:
    template <class Item>
    using min_heap =
        std::priority_queue<Item, std::vector<Item>, std::greater<>>;

    int slots_;
    microseconds service_;
    min_heap<mono_time> free_at_;
    min_heap<std::pair<mono_time, call_number>> ends_;
};

/// Results of the calls of one importance class.
struct class_counts
{
    int offered = 0;
    int completed = 0;
    int refused = 0;
};

/// Applies a steady load to a queue in front of a simulated upstream.
class load_simulation
{
public:
    load_simulation(dispatch_options options, int slots, microseconds service,
                    std::uint64_t seed)
        : queue(options), upstream_(slots, service), random_(seed)
    {
    }

    /// Offers `per_second` calls of each class, in steps of 1 ms, for `time`.
    void run(milliseconds time, std::array<double, importance_count> per_second)
    {
        auto const end = now_ + time;
        for (; now_ < end; now_ += milliseconds{1})
        {
            for (int level = 0; level < importance_count; ++level)
                offer(static_cast<importance>(level),
                      per_second.at(static_cast<std::size_t>(level)) / 1'000);
            advance();
        }
    }

    void set_service(microseconds service) { upstream_.set_service(service); }
    void reset_counts() { counts = {}; }

    dispatch_queue queue;
    std::array<class_counts, importance_count> counts{};

private:
    void offer(importance level, double share)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        for (; share > 0; share -= 1)
        {
            if (chance(random_) >= share)
                continue;
            auto call = make_call(++next_, level, now_);
            call.rank = rank_of(level, static_cast<int>(random_() % 128), 0);
            auto& row = counts.at(static_cast<std::size_t>(level));
            ++row.offered;
            level_of_[call.number] = level;
            if (queue.offer(call, now_))
                ++row.refused;
        }
    }

    void advance()
    {
        while (auto const ended = upstream_.next_end(now_))
        {
            queue.on_finished(*ended, now_, true);
            ++counts.at(static_cast<std::size_t>(level_of_[*ended])).completed;
        }
        for (auto const& dropped : queue.take_dropped(now_))
            ++counts.at(static_cast<std::size_t>(level_of_[dropped.number]))
                  .refused;
        for (auto const& call : queue.take_startable(now_))
            upstream_.start(call.number, now_);
    }

    simulated_upstream upstream_;
    std::mt19937_64 random_;
    std::map<call_number, importance> level_of_;
    std::uint64_t next_ = 0;
    mono_time now_{seconds{1}};
};

dispatch_options options_with_initial_limit(int limit)
{
    dispatch_options options;
    options.concurrency.initial = limit;
    return options;
}

} // namespace

TEST_CASE("the queue starts calls by rank and drops calls that cannot run")
{
    dispatch_queue queue(options_with_initial_limit(2));
    auto const now = at_ms(1'000);
    for (std::uint64_t i = 1; i <= 2; ++i)
        queue.offer(make_call(i, importance::critical, now), now);
    CHECK(queue.take_startable(now).size() == 2);

    SUBCASE("a critical call starts before waiting calls of a lower class")
    {
        queue.offer(make_call(10, importance::sheddable, now), now);
        queue.offer(make_call(11, importance::critical, now), now);
        queue.on_finished(call_number(1), now, true);
        auto const started = queue.take_startable(now);
        REQUIRE(started.size() == 1);
        CHECK(started[0].number == call_number(11));
    }
    SUBCASE("within a class the member with the fewest running calls is next")
    {
        queue.offer(make_call(127, importance::critical, now), now);
        queue.offer(make_call(20, importance::critical, now, "umbrella"), now);
        queue.on_finished(call_number(1), now, true);
        auto const started = queue.take_startable(now);
        REQUIRE(started.size() == 1);
        CHECK(started[0].member == member_name("umbrella"));
    }
    SUBCASE("a call that waits too long is dropped without running")
    {
        queue.offer(make_call(30, importance::critical, now), now);
        auto const dropped = queue.take_dropped(now + seconds{1});
        REQUIRE(dropped.size() == 1);
        CHECK(dropped[0].reason == refusal::queue_timeout);
    }
    SUBCASE("a call that cannot meet its deadline is refused at once")
    {
        queue.on_finished(call_number(1), now + seconds{3}, true);
        auto call = make_call(40, importance::critical, now);
        call.deadline = now + milliseconds{100};
        CHECK(queue.offer(call, now) == refusal::deadline);
    }
    SUBCASE("a draining upstream accepts no new calls")
    {
        queue.set_accepting(false);
        CHECK(queue.offer(make_call(50, importance::critical, now), now) ==
              refusal::draining);
    }
}

TEST_CASE("the queue sheds low classes under overload and then recovers")
{
    // 20 slots of 10 ms serve 2,000 calls a second.
    load_simulation simulation(options_with_initial_limit(20), 20,
                               milliseconds{10}, 7);
    simulation.run(seconds{2}, {3'000, 0, 0, 800});
    simulation.reset_counts();
    simulation.run(seconds{5}, {3'000, 0, 0, 800});
    auto const& low = simulation.counts[0];
    auto const& critical = simulation.counts[3];

    SUBCASE("critical calls that fit the capacity complete")
    {
        CHECK(critical.completed >= critical.offered * 0.95);
    }
    SUBCASE("at least 90% of the capacity is used")
    {
        CHECK(low.completed + critical.completed >= 5 * 2'000 * 0.9);
    }
    SUBCASE("no call is shed once the overload has ended")
    {
        simulation.run(seconds{2}, {500, 0, 0, 500});
        simulation.reset_counts();
        simulation.run(seconds{2}, {500, 0, 0, 500});
        CHECK(simulation.counts[0].refused == 0);
        CHECK(simulation.queue.admitted_rank() == request_rank(0));
    }
}

TEST_CASE("no call is shed while one of a lower rank is admitted")
{
    CHECK(rc::check(
        "a rank above an admitted rank is admitted",
        []
        {
            admission_controller admission;
            auto now = at_ms(0);
            auto const rounds = *rc::gen::inRange(1, 60);
            for (int i = 0; i < rounds; ++i)
            {
                now += milliseconds{*rc::gen::inRange(1, 80)};
                auto const rank =
                    request_rank(*rc::gen::inRange(0, rank_count));
                admission.on_arrival(rank);
                admission.on_wait(*rc::gen::inRange(0, 100) / 100.0);
                if (*rc::gen::arbitrary<bool>())
                    admission.on_completion();
                admission.tick(now);
                auto const other =
                    request_rank(*rc::gen::inRange(0, rank_count));
                if (admission.admits(std::min(rank, other)))
                    RC_ASSERT(admission.admits(std::max(rank, other)));
            }
            // Without further load the threshold always returns to zero.
            for (int i = 0; i < 40; ++i)
                admission.tick(now += milliseconds{60});
            RC_ASSERT(admission.threshold() == request_rank(0));
        }));
}

TEST_CASE("the concurrency limit converges to the slots of an upstream")
{
    auto const converge = [](int declared_slots, int slots)
    {
        load_simulation simulation(options_with_initial_limit(declared_slots),
                                   slots, milliseconds{10}, 11);
        auto const rate = slots * 100 * 1.5;
        simulation.run(seconds{20}, {0, 0, 0, rate});
        return simulation.queue.limit();
    };

    SUBCASE("if five times too many slots are declared")
    {
        auto const limit = converge(150, 30);
        CHECK(limit >= 24);
        CHECK(limit <= 60);
    }
    SUBCASE("if five times too few slots are declared")
    {
        auto const limit = converge(6, 30);
        CHECK(limit >= 24);
        CHECK(limit <= 60);
    }
    SUBCASE("and stays there when the upstream becomes ten times slower")
    {
        load_simulation simulation(options_with_initial_limit(30), 30,
                                   milliseconds{10}, 13);
        simulation.run(seconds{5}, {0, 0, 0, 4'500});
        simulation.set_service(milliseconds{100});
        simulation.run(seconds{20}, {0, 0, 0, 4'500});
        CHECK(simulation.queue.limit() >= 20);
        CHECK(simulation.queue.limit() <= 60);
    }
}
