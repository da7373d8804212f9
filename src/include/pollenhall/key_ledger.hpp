// What the home of an idempotency key remembers of it. The home decides for
// each arrival of the key whether it may run, and answers a re-sent key with
// the first answer.

#pragma once

#include <pollenhall/idempotency_key.hpp>
#include <pollenhall/ids.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace pollenhall
{

/// Settings of `key_ledger`.
struct key_ledger_options
{
    /// Time after its issue in which a key is remembered.
    milliseconds window{600'000};
    /// Largest lead of a caller's clock over this node's.
    milliseconds max_clock_lead{2'000};
    /// Most keys; beyond it new keys are refused, none is forgotten early.
    std::size_t max_keys = 200'000;
    /// Most bytes of answers; beyond it new keys are refused.
    std::size_t max_answer_bytes = 16'000'000;
};

/// May run now; the caller reports the end with one of the `on_` functions.
struct key_may_run
{
};
/// Runs already; the answer will be given to all who wait for it.
struct key_is_running
{
};
/// Ran before; `Answer` is the first answer.
template <class Answer>
struct key_completed
{
    std::shared_ptr<Answer const> answer;
};
/// May have run before, and nobody can tell.
struct key_unknown
{
};
/// Is not acceptable and did not run.
struct key_not_accepted
{
    std::string reason;
};

/// Keys that this node is home of. `Answer` is the type of a whole answer.
/// Not thread-safe.
template <class Answer>
class key_ledger
{
public:
    using verdict =
        std::variant<key_may_run, key_is_running, key_completed<Answer>,
                     key_unknown, key_not_accepted>;

    explicit key_ledger(key_ledger_options options = {}) : options_(options) {}

    /// Decides on an arrival of `key` and, if it may run, notes that it does.
    /// `content` is the request's fingerprint: a key that comes back with
    /// another content is not accepted.
    verdict admit(idempotency_key const& key, fingerprint content,
                  wall_time now);

    /// The run completed; the answer is kept for re-sent keys.
    void on_completed(idempotency_key const& key,
                      std::shared_ptr<Answer const> answer,
                      std::size_t answer_bytes);
    /// The run certainly did not take place; the key may be tried again.
    void on_not_run(idempotency_key const& key);
    /// Nobody can tell whether it ran.
    void on_unknown(idempotency_key const& key);

    /// Forgets the keys whose window is over.
    void expire(wall_time now);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::size_t answer_bytes() const { return answer_bytes_; }
    /// Latest time of issue of any key that was admitted.
    [[nodiscard]] wall_time latest_issued() const { return latest_issued_; }

private:
    enum class entry_state
    {
        running,
        completed,
        unknown
    };
    struct entry
    {
        entry_state state = entry_state::running;
        fingerprint content;
        std::shared_ptr<Answer const> answer;
        std::size_t bytes = 0;
    };

    [[nodiscard]] verdict judge(entry const& known, fingerprint content) const;
    void forget(typename std::map<idempotency_key, entry>::iterator position);

    key_ledger_options options_;
    // The text of a key begins with its time of issue, so keys are in order
    // of their issue.
    std::map<idempotency_key, entry> entries_;
    // Sum of `bytes` over entries_.
    std::size_t answer_bytes_ = 0;
    wall_time latest_issued_{};
    // Keys issued up to here may be forgotten. Never moves back, even if the
    // wall clock does.
    wall_time horizon_{};
};

template <class Answer>
auto key_ledger<Answer>::judge(entry const& known, fingerprint content) const
    -> verdict
{
    if (known.content != content)
        return key_not_accepted{"the key was used with another request"};
    switch (known.state)
    {
    case entry_state::running:
        return key_is_running{};
    case entry_state::completed:
        return key_completed<Answer>{known.answer};
    case entry_state::unknown:
        break;
    }
    return key_unknown{};
}

template <class Answer>
auto key_ledger<Answer>::admit(idempotency_key const& key, fingerprint content,
                               wall_time now) -> verdict
{
    expire(now);
    auto const found = entries_.find(key);
    if (found != entries_.end())
        return judge(found->second, content);
    // A key older than the window may have been forgotten.
    if (key.issued() <= horizon_)
        return key_unknown{};
    if (key.issued() > now + options_.max_clock_lead)
        return key_not_accepted{"the key's time of issue is in the future"};
    if (entries_.size() >= options_.max_keys ||
        answer_bytes_ >= options_.max_answer_bytes)
        return key_not_accepted{"too many keys are remembered now"};
    entries_.emplace(key, entry{.state = entry_state::running,
                                .content = content,
                                .answer = nullptr,
                                .bytes = 0});
    latest_issued_ = std::max(latest_issued_, key.issued());
    return key_may_run{};
}

template <class Answer>
void key_ledger<Answer>::on_completed(idempotency_key const& key,
                                      std::shared_ptr<Answer const> answer,
                                      std::size_t answer_bytes)
{
    auto const found = entries_.find(key);
    if (found == entries_.end())
        return;
    found->second.state = entry_state::completed;
    found->second.answer = std::move(answer);
    found->second.bytes = answer_bytes;
    answer_bytes_ += answer_bytes;
}

template <class Answer>
void key_ledger<Answer>::on_not_run(idempotency_key const& key)
{
    auto const found = entries_.find(key);
    if (found != entries_.end() && found->second.state == entry_state::running)
        entries_.erase(found);
}

template <class Answer>
void key_ledger<Answer>::on_unknown(idempotency_key const& key)
{
    auto const found = entries_.find(key);
    if (found != entries_.end() && found->second.state == entry_state::running)
        found->second.state = entry_state::unknown;
}

template <class Answer>
void key_ledger<Answer>::forget(
    typename std::map<idempotency_key, entry>::iterator position)
{
    answer_bytes_ -= position->second.bytes;
    entries_.erase(position);
}

template <class Answer>
void key_ledger<Answer>::expire(wall_time now)
{
    horizon_ = std::max(horizon_, now - options_.window);
    while (!entries_.empty())
    {
        auto const oldest = entries_.begin();
        if (oldest->first.issued() > horizon_ ||
            oldest->second.state == entry_state::running)
            return;
        forget(oldest);
    }
}

} // namespace pollenhall
