// Bounds the bytes that a process holds for callers and peers. Load pattern:
// large bodies from many callers at once, or answers that callers take slowly;
// each is within its limit, and together they exceed the memory of a host.

#pragma once

#include <cstddef>
#include <limits>

namespace pollenhall::mesh
{

/// Bytes held for others. Not thread-safe.
class byte_budget
{
public:
    explicit byte_budget(
        std::size_t most = std::numeric_limits<std::size_t>::max());
    byte_budget(byte_budget const&) = delete;
    byte_budget& operator=(byte_budget const&) = delete;

    /// Whether nothing new should be taken.
    [[nodiscard]] bool exhausted() const { return held_ >= most_; }
    [[nodiscard]] std::size_t held() const { return held_; }

    /// The part of the budget that one connection holds; given back when it
    /// ends. The budget must live longer.
    class charge
    {
    public:
        explicit charge(byte_budget& budget) : budget_(budget) {}
        ~charge() { set(0); }
        charge(charge const&) = delete;
        charge& operator=(charge const&) = delete;

        void set(std::size_t bytes);
        [[nodiscard]] std::size_t bytes() const { return bytes_; }

    private:
        byte_budget& budget_;
        std::size_t bytes_ = 0;
    };

private:
    std::size_t most_;
    // Sum of all charges.
    std::size_t held_ = 0;
};

} // namespace pollenhall::mesh
