#include "settings_watch.h"

#include <csignal>

namespace lovagehold {

namespace {

// The settings file may change without a signal.
constexpr std::chrono::seconds kInterval{ 5 };

std::string
join(const std::vector<std::string>& texts)
{
  std::string joined;
  for (const std::string& text : texts) {
    joined += (joined.empty() ? "" : ",") + text;
  }
  return joined;
}

} // namespace

SettingsWatch::SettingsWatch(boost::asio::io_context& context,
                             EventLog& log,
                             SiteSettings settings,
                             ReadSettings read,
                             Changed changed)
  : m_log(log)
  , m_settings(std::move(settings))
  , m_read(std::move(read))
  , m_changed(std::move(changed))
  , m_signals(context, SIGHUP)
  , m_timer(context)
{
  await_signal();
  await_timer();
}

void
SettingsWatch::await_signal()
{
  m_signals.async_wait([this](auto error, int) {
    if (!error) {
      m_log.info("reload_requested");
      check();
      await_signal();
    }
  });
}

void
SettingsWatch::await_timer()
{
  m_timer.expires_after(kInterval);
  m_timer.async_wait([this](auto error) {
    if (!error) {
      check();
      await_timer();
    }
  });
}

void
SettingsWatch::check()
{
  const Result<SiteSettings> read = m_read();
  if (read.has_error()) {
    // The file may be read while it is written; the settings in force stay.
    if (std::exchange(m_last_error, read.error().message) != read.error().message) {
      m_log.warn("settings_unreadable",
                 { { "error", read.error().message }, { "remedy", read.error().remedy } });
    }
    return;
  }
  m_last_error.clear();
  if (read.value() == m_settings) {
    return;
  }
  m_settings = read.value();
  m_log.info("settings_reloaded", { { "seeds", join(m_settings.seeds) } });
  m_changed(m_settings);
}

} // namespace lovagehold
