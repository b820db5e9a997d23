#include "settings_watch.h"

#include <csignal>

namespace lovagehold {

namespace {

// The settings file is also polled, because it may change without a signal.
constexpr std::chrono::seconds kPollInterval{ 5 };

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
                             ChangeHandler on_change)
  : m_log(log)
  , m_settings(std::move(settings))
  , m_read(std::move(read))
  , m_on_change(std::move(on_change))
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
  m_timer.expires_after(kPollInterval);
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
    // The file may have been read while it was being written. The settings in effect are kept.
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
  m_on_change(m_settings);
}

} // namespace lovagehold
