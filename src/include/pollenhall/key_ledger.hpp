// Table of the idempotency keys that this node is responsible for (it is their
// home). The home decides each time a request with the key arrives whether the
// request may run, and answers a repeated request with the first answer.

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
    /// Time from its issue for which a key is kept.
    milliseconds window{600'000};
    /// Largest time by which a caller's clock may be ahead of this node's.
    milliseconds max_clock_lead{2'000};
    /// Limit on stored keys. When it is reached, new keys are refused; no key
    /// is removed early to make room.
    std::size_t max_keys = 200'000;
    /// Limit on the total size of the stored answers. When it is reached, new
    /// keys are refused.
    std::size_t max_answer_bytes = 16'000'000;
};

/// The request may run now. The caller must report its end with one of the
/// `on_` functions.
struct key_may_run
{
};
/// The request is running already; all waiting callers get its answer.
struct key_is_running
{
};
/// The request has completed before; `answer` is its first answer.
template <class Answer>
struct key_completed
{
    std::shared_ptr<Answer const> answer;
};
/// The request may have run before; the outcome is unknown.
struct key_unknown
{
};
/// The key is not accepted, and the request did not run.
struct key_not_accepted
{
    std::string reason;
};

/// Stores the keys that this node is the home of, with the answers to their
/// requests. `Answer` is the type of a complete answer. Not thread-safe.
template <class Answer>
class key_ledger
{
public:
    using verdict =
        std::variant<key_may_run, key_is_running, key_completed<Answer>,
                     key_unknown, key_not_accepted>;

    explicit key_ledger(key_ledger_options options = {}) : options_(options) {}

    /// Decides whether a request with `key` may run and, if so, marks the key
    /// as running. `content` is the fingerprint of the request: a key that is
    /// used again with another content is not accepted.
    verdict admit(idempotency_key const& key, fingerprint content,
                  wall_time now);

    /// Records that the request completed. The answer is stored for repeated
    /// requests.
    void on_completed(idempotency_key const& key,
                      std::shared_ptr<Answer const> answer,
                      std::size_t answer_bytes);
    /// Records that the request certainly did not run; the key may be used
    /// again.
    void on_not_run(idempotency_key const& key);
    /// Records that it is unknown whether the request ran.
    void on_unknown(idempotency_key const& key);

    /// Removes the keys whose window is over.
    void expire(wall_time now);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::size_t answer_bytes() const { return answer_bytes_; }
    /// Returns the latest time of issue of any admitted key.
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

    [[nodiscard]] verdict decide_known(entry const& known,
                                       fingerprint content) const;
    void remove(typename std::map<idempotency_key, entry>::iterator position);

    key_ledger_options options_;
    // The text of a key begins with its time of issue, so the entries are
    // sorted by it.
    std::map<idempotency_key, entry> entries_;
    // Sum of `bytes` over entries_.
    std::size_t answer_bytes_ = 0;
    wall_time latest_issued_{};
    // Keys issued at or before this time may have been removed. Never
    // decreases, even if the wall clock is set back.
    wall_time expired_up_to_{};
};

template <class Answer>
auto key_ledger<Answer>::decide_known(entry const& known,
                                      fingerprint content) const -> verdict
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
        return decide_known(found->second, content);
    // The key may have been used before and been removed since.
    if (key.issued() <= expired_up_to_)
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
void key_ledger<Answer>::remove(
    typename std::map<idempotency_key, entry>::iterator position)
{
    answer_bytes_ -= position->second.bytes;
    entries_.erase(position);
}

template <class Answer>
void key_ledger<Answer>::expire(wall_time now)
{
    expired_up_to_ = std::max(expired_up_to_, now - options_.window);
    while (!entries_.empty())
    {
        auto const oldest = entries_.begin();
        if (oldest->first.issued() > expired_up_to_ ||
            oldest->second.state == entry_state::running)
            return;
        remove(oldest);
    }
}

} // namespace pollenhall
