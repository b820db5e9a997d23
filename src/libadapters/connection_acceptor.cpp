#include "lovagehold/connection_acceptor.h"

#include "lovagehold/address.h"

#include <boost/asio/steady_timer.hpp>

namespace lovagehold {

namespace {

constexpr std::chrono::milliseconds kPauseAfterError{ 100 };
// Idle connections closed for each failed attempt: frees descriptors faster than callers reconnect,
// and leaves most idle connections alone when a few descriptors are missing.
constexpr int kClosedPerError = 8;

} // namespace

struct ConnectionAcceptor::Impl : std::enable_shared_from_this<ConnectionAcceptor::Impl>
{
  Impl(boost::asio::io_context& context, ConnectionAcceptorHooks acceptor_hooks)
    : hooks(std::move(acceptor_hooks))
    , acceptor(context)
    , pause(context)
  {
  }

  void accept()
  {
    acceptor.async_accept([self = shared_from_this()](auto error, auto socket) {
      if (!self->acceptor.is_open()) {
        return;
      }
      if (!error) {
        boost::system::error_code ignored;
        socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        self->hooks.on_connection(std::move(socket));
        self->accept();
      } else {
        self->accept_later();
      }
    });
  }

  void accept_later()
  {
    for (int closed = 0; closed < kClosedPerError && hooks.close_idle && hooks.close_idle();) {
      ++closed;
    }
    pause.expires_after(kPauseAfterError);
    pause.async_wait([self = shared_from_this()](auto error) {
      if (!error && self->acceptor.is_open()) {
        self->accept();
      }
    });
  }

  ConnectionAcceptorHooks hooks;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer pause;
};

ConnectionAcceptor::ConnectionAcceptor(boost::asio::io_context& context,
                                       ConnectionAcceptorHooks hooks)
  : m_impl(std::make_shared<Impl>(context, std::move(hooks)))
{
}

ConnectionAcceptor::~ConnectionAcceptor()
{
  boost::system::error_code ignored;
  m_impl->acceptor.close(ignored);
  m_impl->pause.cancel();
}

Result<void>
ConnectionAcceptor::start(const std::string& address, const std::string& setting)
{
  BOOST_OUTCOME_TRYV(listen_on(m_impl->acceptor, address, setting));
  m_impl->accept();
  return boost::outcome_v2::success();
}

} // namespace lovagehold
