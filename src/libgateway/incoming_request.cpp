#include "incoming_request.h"

#include "libproxy/framing.h"

namespace lovagehold {

namespace {

constexpr std::chrono::milliseconds kDefaultCallerTimeout{ 30000 };

RequestFingerprint
fingerprint(const http::request_header<>& header,
            const ClientAccount* account,
            const std::string& body,
            std::uint64_t content_length)
{
  const auto view = [](beast::string_view text) {
    return std::string_view(text.data(), text.size());
  };
  return fingerprint_of({ .method = view(header.method_string()),
                          .host = view(header[http::field::host]),
                          .target = view(header.target()),
                          .caller = account != nullptr ? std::string_view(account->name)
                                                       : view(header[http::field::authorization]),
                          .body = body,
                          .streamed_bytes = body.empty() ? content_length : 0 });
}

} // namespace

TimePoint
caller_deadline(const http::request_header<>& header,
                const GatewayHeaders& names,
                TimePoint arrived)
{
  const auto left = parse_number_field(header, names.deadline.c_str());
  return arrived + std::chrono::milliseconds(left ? static_cast<std::int64_t>(*left)
                                                  : kDefaultCallerTimeout.count());
}

GatewayRequest
make_gateway_request(GatewayContext& context,
                     const IncomingRequestPtr& incoming,
                     const std::shared_ptr<const Route>& route)
{
  const GatewayHeaders& names = context.options.headers;
  const RequestParser& parser = incoming->parser;
  http::request_header<> header = parser.get().base();
  GatewayRequest request{ .id = std::string(header[names.request_id]),
                          .target = std::string(header.target()),
                          .head_method = header.method() == http::verb::head,
                          .route = route,
                          .service = context.routing->next_target(*route),
                          .account = incoming->account,
                          .arrived = incoming->arrived };
  request.service_config = context.routing->service(request.service);
  request.caller_deadline = caller_deadline(header, names, incoming->arrived);
  if (context.has_accounts() && parse_number_field(header, names.deadline.c_str())) {
    const std::string account = request.account != nullptr ? request.account->name : "";
    request.age = context.request_age.estimate(
      route->name, account, request.caller_deadline - request.arrived, request.arrived);
  }
  remove_hop_by_hop_fields(header);
  header.erase(names.deadline);
  header.erase(names.expected_server);
  // What the caller sent in it has been removed with its key, see CallerIdentity.
  if (request.account != nullptr && !names.account.empty()) {
    header.set(names.account, request.account->name);
  }
  const bool has_body = parser.chunked() || parser.content_length().value_or(0) > 0 ||
                        header.count(http::field::content_length) > 0;
  request.chunked = !incoming->buffered && parser.chunked();
  if (incoming->arriving) {
    request.body = std::make_shared<const std::string>();
    request.arriving = incoming->arriving;
  } else if (incoming->buffered) {
    request.body = std::make_shared<const std::string>(incoming->upload->take_kept());
    if (has_body) {
      header.set(http::field::content_length, std::to_string(request.body->size()));
    }
  } else {
    request.body = std::make_shared<const std::string>();
    request.upload = std::shared_ptr<UploadSource>(incoming, &*incoming->upload);
    if (request.chunked) {
      header.set(http::field::transfer_encoding, "chunked");
    }
  }
  request.fingerprint =
    fingerprint(header, request.account.get(), *request.body, parser.content_length().value_or(0));
  request.head = format_request_head(header);
  // Drops the final empty line: the deadline and the expected server are added for each attempt.
  request.head.resize(request.head.size() - 2);
  return request;
}

} // namespace lovagehold
