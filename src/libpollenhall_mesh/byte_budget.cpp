// Updates the sum of the charges of a byte budget.

#include <pollenhall/mesh/byte_budget.hpp>

namespace pollenhall::mesh
{

byte_budget::byte_budget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

void byte_budget::charge::set(std::size_t bytes)
{
    budget_.held_ = budget_.held_ - bytes_ + bytes;
    bytes_ = bytes;
}

} // namespace pollenhall::mesh
