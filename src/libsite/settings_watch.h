#pragma once

#include "lovagehold/event_log.h"
#include "lovagehold/site.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace lovagehold {

/// Reads the settings again at each SIGHUP and now and then. Belongs to the thread of its context.
class SettingsWatch
{
public:
  using Changed = std::function<void(const SiteSettings&)>;

  /// \param settings in force
  /// \param changed called with settings that differ from those before
  SettingsWatch(boost::asio::io_context& context,
                EventLog& log,
                SiteSettings settings,
                ReadSettings read,
                Changed changed);

private:
  void await_signal();
  void await_timer();
  void check();

  EventLog& m_log;
  SiteSettings m_settings;
  ReadSettings m_read;
  Changed m_changed;
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_timer;
  /// Reported already.
  std::string m_last_error;
};

} // namespace lovagehold
