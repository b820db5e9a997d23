#pragma once

#include "lovagehold/types.h"

namespace lovagehold {

struct LinkPacerOptions
{
  /// Bandwidth of the link in Mbit/s; 0 if unknown.
  double link_mbps = 0;
  /// Share of the bandwidth that long bodies may use. The rest is for short messages sent at the
  /// same time and for packet headers.
  double share = 0.8;
};

/// Paces long bodies so that they don't fill the send queue of a slow link: at 2.2 Mbit/s, a body
/// of 60 KB delays everything sent after it by 0.2 s. Each direction of a link needs its own pacer.
/// Not thread-safe.
class LinkPacer
{
public:
  /// Largest piece of a body that is sent at once.
  static constexpr std::size_t kPieceBytes = std::size_t{ 4 } << 10;

  explicit LinkPacer(LinkPacerOptions options)
    : m_options(options)
  {
  }

  /// \return whether bodies have to be paced; false on links of unknown bandwidth and on fast
  /// links, where sending a piece takes less than the resolution of timers
  bool active() const;

  /// Reserves the link for a piece of a body.
  /// \return when the piece may be sent; \p now if the link is free
  TimePoint reserve(std::size_t bytes, TimePoint now);

private:
  LinkPacerOptions m_options;
  TimePoint m_free_at{};
};

} // namespace lovagehold
