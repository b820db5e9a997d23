#include "account_allowance.h"

#include <boost/asio/steady_timer.hpp>

namespace lovagehold {

namespace {

constexpr unsigned kTooManyRequests = 429;

} // namespace

awaitable<std::optional<GatewayErrorResponse>>
check_allowance(GatewayContext& context, std::shared_ptr<const ClientAccount> account)
{
  if (account == nullptr || account->rate <= 0 || !context.options.request_allowance) {
    co_return std::nullopt;
  }
  // Shared, because the answer may arrive after this coroutine has been destroyed.
  const auto answer = std::make_shared<std::optional<AllowanceDecision>>();
  const auto timer = std::make_shared<asio::steady_timer>(context.io, TimePoint::max());
  context.options.request_allowance(account, [answer, timer](const AllowanceDecision& decision) {
    *answer = decision;
    timer->cancel();
  });
  if (!*answer) {
    boost::system::error_code ignored;
    co_await timer->async_wait(capture(ignored));
  }
  const AllowanceDecision decision =
    answer->value_or(AllowanceDecision{ .outcome = AllowanceDecision::Outcome::Unknown });
  switch (decision.outcome) {
    case AllowanceDecision::Outcome::Admitted:
      break;
    case AllowanceDecision::Outcome::Denied:
      co_return GatewayErrorResponse{ .status = kTooManyRequests,
                                      .reason = "the account has used its allowance",
                                      .retry_after = decision.retry,
                                      .cause = RefusalCause::OverAllowance };
    case AllowanceDecision::Outcome::Unknown:
      co_return GatewayErrorResponse{
        .status = 503,
        .reason = "this host can't tell whether the account has allowance left; use another host",
        .retry_after = decision.retry,
        .cause = RefusalCause::AllowanceUnknown
      };
  }
  co_return std::nullopt;
}

} // namespace lovagehold
