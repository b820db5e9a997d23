#include "lovagehold/site.h"

#include "control_host.h"
#include "entry_host.h"
#include "lovagehold/address.h"
#include "lovagehold/event_page.h"
#include "settings_watch.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

namespace lovagehold {

namespace {

// An entry host serves about 30 requests a second at most; more lines than this are the result of a
// fault.
constexpr std::size_t kMaxLogLinesPerSecond = 100;
// Number of log events kept for the events page.
constexpr std::size_t kRecentEvents = 64;
// The process that this one replaces may still hold an address.
constexpr std::chrono::seconds kListenPatience{ 20 };
constexpr std::chrono::seconds kMetricsRetryInterval{ 1 };
constexpr char kMetricsPath[] = "/metrics";
constexpr char kStatusPath[] = "/status";
constexpr char kEventsPath[] = "/events";

// \return the addresses without which the host can't do its work, by purpose
std::map<std::string, std::string>
listen_addresses(const SiteSettings& settings)
{
  std::map<std::string, std::string> addresses{
    { "the address for callers", settings.entry_address },
    { "the address for the readiness check", settings.readiness_address },
    { "the address for control", settings.control_address },
    { "the address for the directory", settings.directory_address },
    { "the address for other hosts", settings.cluster_address }
  };
  std::erase_if(addresses, [](const auto& entry) { return entry.second.empty(); });
  return addresses;
}

// Serves the metrics, status and event pages as soon as their address is free. A host without them
// still does its work.
class MetricsListener
{
public:
  MetricsListener(boost::asio::io_context& context,
                  AdminServer::Handler handler,
                  EventLog& log,
                  const SiteSettings& settings)
    : m_server(context, std::move(handler), log, admin_options(settings))
    , m_timer(context)
    , m_log(log)
    , m_address(settings.metrics_address)
  {
  }

  void start()
  {
    if (m_address.empty()) {
      return;
    }
    const Result<void> started = m_server.start(m_address);
    if (started.has_error() != m_held) {
      m_held = started.has_error();
      m_log.warn(m_held ? "metrics_address_held" : "metrics_address_free",
                 { { "address", m_address },
                   { "error", m_held ? started.error().message : "" },
                   { "remedy", m_held ? started.error().remedy : "" } });
    }
    if (m_held) {
      m_timer.expires_after(kMetricsRetryInterval);
      m_timer.async_wait([this](auto error) {
        if (!error) {
          start();
        }
      });
    }
  }

private:
  AdminServer m_server;
  boost::asio::steady_timer m_timer;
  EventLog& m_log;
  std::string m_address;
  bool m_held = false;
};

} // namespace

Result<void>
run_site(const SiteSettings& settings,
         const SiteProtocol& protocol,
         const ReadSettings& read_settings)
{
  const std::vector<Error> mistakes = check_settings(settings);
  if (!mistakes.empty()) {
    return mistakes.front();
  }
  boost::asio::io_context context(1);
  EventLog log({ .host = settings.host,
                 .capacity = kRecentEvents,
                 .lines_per_second = kMaxLogLinesPerSecond,
                 .queued = true });
  std::unique_ptr<ControlHost> control;
  std::unique_ptr<EntryHost> entry;
  log.info("starting",
           { { "failure_domain", settings.failure_domain },
             { "callers", settings.entry_address },
             { "control", settings.control_address },
             { "cluster", settings.cluster_address },
             { "first_start", settings.first_start ? "yes" : "no" } });
  BOOST_OUTCOME_TRYV(
    await_free_addresses(listen_addresses(settings), kListenPatience, [&log](const Error& error) {
      log.warn("address_held", { { "error", error.message }, { "remedy", error.remedy } });
    }));
  if (!settings.control_address.empty()) {
    control = std::make_unique<ControlHost>(context, settings, protocol, log);
    BOOST_OUTCOME_TRYV(control->start());
  }
  if (!settings.entry_address.empty()) {
    entry = std::make_unique<EntryHost>(context, settings, protocol, log);
    BOOST_OUTCOME_TRYV(entry->start());
  }
  const auto render_page = [&](const AdminRequest& request, const AdminServer::Reply& reply) {
    if (request.path == kMetricsPath) {
      reply({ .content_type = "text/plain; version=0.0.4",
              .body = (control ? control->render_metrics() : "") +
                      (entry ? entry->render_metrics() : "") });
    } else if (request.path == kStatusPath) {
      reply(make_status_page(control ? control->status() : entry->status()));
    } else if (request.path == kEventsPath) {
      reply(make_event_page(log.recent()));
    } else {
      reply({ .status = 404 });
    }
  };
  MetricsListener metrics(context, render_page, log, settings);
  metrics.start();
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto error, int) {
    if (error) {
      return;
    }
    if (entry) {
      entry->begin_shutdown([&] { context.stop(); });
    } else {
      context.stop();
    }
  });
  const SettingsWatch watch(
    context, log, settings, read_settings, [&](const SiteSettings& changed) {
      if (control) {
        control->reload(changed);
      }
      if (entry) {
        entry->reload(changed);
      }
    });
  context.run();
  if (entry) {
    entry->stop();
  }
  if (control) {
    control->stop();
  }
  log.info("stopped", { { "reason", "signal" } });
  return boost::outcome_v2::success();
}

} // namespace lovagehold
