#pragma once

#include <cstdint>

namespace lovagehold {

/// Numbers the requests of one process whose answers are matched by the number alone. The first
/// number is random: an answer to an earlier process at the same address, or to another component
/// of this one, then matches no request. Since any version of the program returns the number
/// unchanged, this also holds while two versions run. Not thread-safe.
class RequestNumbers
{
public:
  /// Numbers of different processes overlap with a probability of about their count / 2^61.
  static constexpr std::uint64_t kMaxFirst = std::uint64_t{ 1 } << 61;

  /// \param first the first number, at most kMaxFirst; 0 draws a random one
  explicit RequestNumbers(std::uint64_t first = 0);

  /// \return the number of the next request
  std::uint64_t next() { return m_next++; }

private:
  std::uint64_t m_next;
};

} // namespace lovagehold
