#pragma once

#include "http_types.h"
#include "lovagehold/types.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace lovagehold {

/// Ends a read from a caller at a deadline and leaves the connection open, so that the caller can
/// be told. The timer of beast::tcp_stream closes the connection instead. Belongs to one thread.
class ReadTimer
{
public:
  explicit ReadTimer(beast::tcp_stream& caller);
  ~ReadTimer();
  ReadTimer(const ReadTimer&) = delete;
  ReadTimer& operator=(const ReadTimer&) = delete;

  /// To be called before the read.
  void arm(TimePoint deadline);

  /// To be called after the read. \param error set to beast::error::timeout if the deadline ended
  /// the read
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
