#pragma once

#include "lovagehold/types.h"

namespace lovagehold {

struct LinkPacerOptions
{
  /// Rate of the link in Mbit/s; 0 if it is not known.
  double link_mbps = 0;
  /// Share of the link that long bodies may use. The rest is for short messages that pass beside
  /// them, and for headers of packets.
  double share = 0.8;
};

/// Spreads long bodies over time, so that they do not fill the queue of a slow link: a body of 60
/// KB at 2.2 Mbit/s delays all that is sent after it by 0.2 s. One for each direction of a link.
/// Not thread-safe.
class LinkPacer
{
public:
  /// Largest piece of a body that passes at once.
  static constexpr std::size_t kPieceBytes = std::size_t{ 4 } << 10;

  explicit LinkPacer(LinkPacerOptions options)
    : m_options(options)
  {
  }

  /// \return whether bodies have to be spread; false on fast links, where a piece takes less than
  /// the resolution of timers
  bool active() const;

  /// Reserves the link for a piece of a body.
  /// \return when the piece may pass; \p now if the link is free
  TimePoint reserve(std::size_t bytes, TimePoint now);

private:
  LinkPacerOptions m_options;
  TimePoint m_free{};
};

} // namespace lovagehold
