#include "lovagehold/request_numbers.h"

#include <random>

namespace lovagehold {

namespace {

std::uint64_t
random_first()
{
  std::random_device device;
  return std::uniform_int_distribution<std::uint64_t>(1, RequestNumbers::kMaxFirst)(device);
}

} // namespace

RequestNumbers::RequestNumbers(std::uint64_t first)
  : m_next(first == 0 ? random_first() : first)
{
}

} // namespace lovagehold
