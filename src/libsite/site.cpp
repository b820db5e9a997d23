#include "lovagehold/site.h"

#include "control_host.h"
#include "entry_host.h"
#include "lovagehold/event_page.h"
#include "settings_watch.h"

#include <boost/asio/signal_set.hpp>

namespace lovagehold {

namespace {

// An entry host serves about 30 requests a second at most; more lines than this are the result of a
// fault.
constexpr std::size_t kMaxLogLinesPerSecond = 100;
// Number of log events kept for the events page.
constexpr std::size_t kRecentEvents = 64;
constexpr char kMetricsPath[] = "/metrics";
constexpr char kStatusPath[] = "/status";
constexpr char kEventsPath[] = "/events";

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
  if (!settings.control_address.empty()) {
    control = std::make_unique<ControlHost>(context, settings, protocol, log);
    BOOST_OUTCOME_TRYV(control->start());
  }
  if (!settings.entry_address.empty()) {
    entry = std::make_unique<EntryHost>(context, settings, protocol, log);
    BOOST_OUTCOME_TRYV(entry->start());
  }
  AdminServer metrics(context, [&](const AdminRequest& request, const AdminServer::Reply& reply) {
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
  });
  if (!settings.metrics_address.empty()) {
    BOOST_OUTCOME_TRYV(metrics.start(settings.metrics_address));
  }
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
