#pragma once

#include "lovagehold/event_log.h"
#include "lovagehold/site.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace lovagehold {

/// Reloads the settings on each SIGHUP and periodically. Runs on the context's thread.
class SettingsWatch
{
public:
  using ChangeHandler = std::function<void(const SiteSettings&)>;

  /// \param settings the settings in effect
  /// \param on_change called with the new settings whenever they differ from the previous ones
  SettingsWatch(boost::asio::io_context& context,
                EventLog& log,
                SiteSettings settings,
                ReadSettings read,
                ChangeHandler on_change);

private:
  void await_signal();
  void await_timer();
  void check();

  EventLog& m_log;
  SiteSettings m_settings;
  ReadSettings m_read;
  ChangeHandler m_on_change;
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_timer;
  /// Last error reported; a repeated one is not logged again.
  std::string m_last_error;
};

} // namespace lovagehold
