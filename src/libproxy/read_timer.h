#pragma once

#include "http_types.h"
#include "lovagehold/types.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace lovagehold {

/// Cancels a read from a caller at a deadline and leaves the connection open, so that an error
/// response can still be sent. The timer of beast::tcp_stream would close the connection. Used on
/// one thread only.
class ReadTimer
{
public:
  explicit ReadTimer(beast::tcp_stream& caller);
  ~ReadTimer();
  ReadTimer(const ReadTimer&) = delete;
  ReadTimer& operator=(const ReadTimer&) = delete;

  /// Starts the timer; to be called before the read.
  void arm(TimePoint deadline);

  /// Stops the timer; to be called after the read.
  /// \param error result of the read; set to beast::error::timeout if the deadline cancelled it
  void disarm(boost::system::error_code& error);

private:
  struct State
  {
    beast::tcp_stream* caller = nullptr;
    std::uint64_t generation = 0;
    bool expired = false;
  };

  asio::steady_timer m_timer;
  std::shared_ptr<State> m_state;
};

} // namespace lovagehold
