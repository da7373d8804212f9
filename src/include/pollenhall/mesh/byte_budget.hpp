// Limits the bytes that a process buffers for callers and peers. Large bodies
// from many callers at once, or responses that callers read slowly, are each
// within their limit but may together exceed the memory of the host.

#pragma once

#include <cstddef>
#include <limits>

namespace pollenhall::mesh
{

/// Counts the buffered bytes of all connections against a limit. Not
/// thread-safe.
class byte_budget
{
public:
    explicit byte_budget(
        std::size_t max_bytes = std::numeric_limits<std::size_t>::max());
    byte_budget(byte_budget const&) = delete;
    byte_budget& operator=(byte_budget const&) = delete;

    /// Whether the limit is reached and nothing new should be read.
    [[nodiscard]] bool exhausted() const { return held_ >= max_bytes_; }
    /// Whether so many bytes more stay within the limit.
    [[nodiscard]] bool has_room(std::size_t bytes) const
    {
        return held_ <= max_bytes_ && bytes <= max_bytes_ - held_;
    }
    /// Bytes that are held by all charges.
    [[nodiscard]] std::size_t held() const { return held_; }

    /// The bytes of the budget that one connection holds. They are released by
    /// the destructor. The budget must outlive its charges.
    class charge
    {
    public:
        explicit charge(byte_budget& budget) : budget_(budget) {}
        ~charge() { set(0); }
        charge(charge const&) = delete;
        charge& operator=(charge const&) = delete;

        /// Replaces the number of bytes held by this charge.
        void set(std::size_t bytes);
        [[nodiscard]] std::size_t bytes() const { return bytes_; }

    private:
        byte_budget& budget_;
        std::size_t bytes_ = 0;
    };

private:
    std::size_t max_bytes_;
    // Sum of the bytes of all charges.
    std::size_t held_ = 0;
};

} // namespace pollenhall::mesh
