#include "lovagehold/command.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

// Guards against an encoding that rejects or alters bodies that are not valid text.
TEST(CommandCodec, KeepsBinaryBodies)
{
  RecordOutcome record{ .service = "s", .key = "k", .attempt = "a" };
  record.stored_response = { .status = 200,
                             .content_type = "x/y",
                             .body = std::string("\xff\x00\x80", 3) };
  const Result<Command> decoded = decode_command(encode(record));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(std::get<RecordOutcome>(decoded.value()).stored_response.body,
            record.stored_response.body);
}

// Guards against a crash on malformed bytes from a peer.
TEST(CommandCodec, RejectsMalformedBytes)
{
  for (const Bytes& bytes : { Bytes{}, Bytes{ 0xff }, Bytes{ 0xa1, 0x61, 0x74, 0x61, 0x78 } }) {
    const Result<Command> decoded = decode_command(bytes);
    ASSERT_TRUE(decoded.has_error());
    EXPECT_EQ(decoded.error().kind, ErrorKind::Protocol);
  }
}

// Guards against an order that is decoded as its opposite or for another failure domain.
TEST(CommandCodec, EvacuationsSurviveTheRoundTrip)
{
  for (const bool active : { true, false }) {
    const auto decoded = decode_command(encode(EvacuateDomain{ "khh-a", active }));
    ASSERT_TRUE(decoded.has_value());
    const auto& order = std::get<EvacuateDomain>(decoded.value());
    EXPECT_EQ(order.failure_domain, "khh-a");
    EXPECT_EQ(order.active, active);
  }
}

} // namespace
} // namespace lovagehold
