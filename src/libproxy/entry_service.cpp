#include "lovagehold/entry_service.h"

#include "caller_session.h"
#include "lovagehold/address.h"
#include "server_probe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <thread>

namespace lovagehold {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 5 };
constexpr std::chrono::seconds kSweepInterval{ 5 };
constexpr std::chrono::seconds kMaxSweepDelay{ 1 };
// A server without a renewal for this long is removed. It has to announce itself again to rejoin.
constexpr std::chrono::seconds kServerRenewalTimeout{ 30 };
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 10 };
constexpr std::chrono::seconds kPoolExpiryInterval{ 1 };

} // namespace

struct EntryService::Impl
{
  std::shared_ptr<EntryContext> context;
  std::vector<std::unique_ptr<EntryWorker>> workers;
  std::vector<std::thread> threads;
  std::unique_ptr<tcp::acceptor> acceptor;

  awaitable<void> accept_loop()
  {
    std::size_t next = 0;
    // Uses the io_context of this coroutine: that of another thread would be destroyed after this
    // one, with the wait still pending.
    asio::steady_timer pause(co_await asio::this_coro::executor);
    while (acceptor->is_open()) {
      EntryWorker& worker = *workers[next++ % workers.size()];
      tcp::socket socket(worker.io);
      boost::system::error_code error;
      co_await acceptor->async_accept(socket, capture(error));
      if (!error) {
        serve(worker, std::move(socket));
      } else if (acceptor->is_open()) {
        // The process may have run out of file descriptors; an immediate retry would busy-loop.
        pause.expires_after(kAcceptRetryDelay);
        co_await pause.async_wait(capture(error));
      }
    }
  }

  void serve(EntryWorker& worker, tcp::socket socket)
  {
    if (context->connections >= context->options.limits.connections) {
      context->log.warn("connection_refused", { { "reason", "connection_limit" } });
      asio::co_spawn(worker.io, reject_caller(std::move(socket)), asio::detached);
      return;
    }
    ++context->connections;
    asio::co_spawn(
      worker.io, run_caller_session(context, worker, std::move(socket)), asio::detached);
  }

  awaitable<void> tick_loop()
  {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    TimePoint next_sweep = Clock::now() + kSweepInterval;
    while (true) {
      timer.expires_after(kTickInterval);
      co_await timer.async_wait(asio::use_awaitable);
      const TimePoint now = Clock::now();
      context->table.tick(now);
      if (now >= next_sweep) {
        // A late sweep means that the process was suspended: renewals may still be unread in the
        // sockets' buffers, so no server is removed.
        if (now < next_sweep + kMaxSweepDelay) {
          remove_silent_servers(now);
        }
        next_sweep = now + kSweepInterval;
      }
    }
  }

  void remove_silent_servers(TimePoint now) const
  {
    for (const LeaveServer& leave : context->table.silent_servers(kServerRenewalTimeout, now)) {
      context->log.warn(
        "server_removed",
        { { "service", leave.service }, { "server", leave.id }, { "reason", "no_renewal" } });
      context->ports.propose(leave, [](const Result<ApplyResult>&) {});
    }
  }

  static awaitable<void> pool_expiry_loop(EntryWorker& worker)
  {
    asio::steady_timer timer(worker.io);
    while (true) {
      timer.expires_after(kPoolExpiryInterval);
      co_await timer.async_wait(asio::use_awaitable);
      worker.pool.expire(Clock::now());
    }
  }

  void probe(const ServiceName& service, const SendProbe& probe)
  {
    if (!workers.empty()) {
      asio::co_spawn(workers.front()->io, probe_server(context, service, probe), asio::detached);
    }
  }

  void close_idle_callers()
  {
    for (const auto& worker : workers) {
      asio::post(worker->io, [&worker = *worker] {
        for (beast::tcp_stream* caller : worker.idle_callers) {
          caller->cancel();
        }
      });
    }
  }
};

EntryService::EntryService(EntryServiceOptions options, EntryPorts ports, EventLog& log)
  : m_impl(std::make_unique<Impl>())
{
  const unsigned threads = std::max(options.threads, 1U);
  m_impl->context = std::make_shared<EntryContext>(
    std::move(options),
    std::move(ports),
    log,
    [impl = m_impl.get()](const ServiceName& service, const SendProbe& probe) {
      impl->probe(service, probe);
    });
  for (unsigned i = 0; i < threads; ++i) {
    m_impl->workers.push_back(std::make_unique<EntryWorker>());
  }
}

EntryService::~EntryService()
{
  stop();
}

Result<void>
EntryService::start()
{
  const EntryServiceOptions& options = m_impl->context->options;
  m_impl->acceptor = std::make_unique<tcp::acceptor>(m_impl->workers.front()->io);
  BOOST_OUTCOME_TRYV(listen_on(*m_impl->acceptor, options.caller_address, "listen.callers"));
  asio::co_spawn(m_impl->workers.front()->io, m_impl->accept_loop(), asio::detached);
  asio::co_spawn(m_impl->workers.front()->io, m_impl->tick_loop(), asio::detached);
  for (const auto& worker : m_impl->workers) {
    asio::co_spawn(worker->io, Impl::pool_expiry_loop(*worker), asio::detached);
    m_impl->threads.emplace_back([&io = worker->io] {
      const auto work = asio::make_work_guard(io);
      io.run();
    });
  }
  return boost::outcome_v2::success();
}

void
EntryService::update(std::shared_ptr<const RoutingView> view, TimePoint now)
{
  std::vector<ServiceName> not_owned;
  for (const auto& [name, route] : view->routes) {
    const bool owner = !route.homes.empty() && route.homes.front().id == view->self;
    if (!owner) {
      m_impl->context->table.set_share(name, SlotShare::None, now);
      not_owned.push_back(name);
      continue;
    }
    const DispatcherOptions options{ .service = name,
                                     .probe_budget = route.declaration.probe_budget,
                                     .probe_cost = route.declaration.probe_cost };
    m_impl->context->table.set_service(options, route.servers, route.share, now);
  }
  m_impl->context->set_view(std::move(view));
  // The new view has to be in place first, so that rejected requests are relayed to the new owner.
  for (const ServiceName& name : not_owned) {
    m_impl->context->table.hand_over(name, now);
  }
}

void
EntryService::set_shares(const std::vector<std::pair<ServiceName, SlotShare>>& shares,
                         const ShareLimits& limits,
                         TimePoint now)
{
  m_impl->context->table.set_share_limits(limits);
  for (const auto& [service, share] : shares) {
    m_impl->context->table.set_share(service, share, now);
  }
}

void
EntryService::renew(const ServerRenewal& renewal, TimePoint now)
{
  m_impl->context->table.renew_server(renewal, now);
}

void
EntryService::drain()
{
  m_impl->context->draining = true;
  asio::post(m_impl->workers.front()->io, [this] {
    boost::system::error_code ignored;
    if (m_impl->acceptor) {
      m_impl->acceptor->close(ignored);
    }
  });
  m_impl->close_idle_callers();
}

std::size_t
EntryService::in_flight() const
{
  return m_impl->context->in_flight;
}

void
EntryService::stop()
{
  for (const auto& worker : m_impl->workers) {
    worker->io.stop();
  }
  for (std::thread& thread : m_impl->threads) {
    thread.join();
  }
  m_impl->threads.clear();
}

const ServiceTable&
EntryService::services() const
{
  return m_impl->context->table;
}

const Metrics&
EntryService::metrics() const
{
  return m_impl->context->metrics;
}

} // namespace lovagehold
