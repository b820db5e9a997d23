#include "lovagehold/request_fingerprint.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

// Guards against requests that differ in one part and share a fingerprint.
TEST(RequestFingerprint, CoversAllParts)
{
  const RequestIdentity request{
    .method = "GET", .host = "a", .target = "/x", .caller = "c", .body = "b"
  };
  RequestIdentity other = request;
  EXPECT_EQ(fingerprint_of(request), fingerprint_of(other));
  const auto expect_change = [&](auto RequestIdentity::*part, auto value) {
    other = request;
    other.*part = value;
    EXPECT_NE(fingerprint_of(request), fingerprint_of(other));
  };
  expect_change(&RequestIdentity::method, "HEAD");
  expect_change(&RequestIdentity::host, "b");
  expect_change(&RequestIdentity::target, "/x?y");
  expect_change(&RequestIdentity::caller, "d");
  expect_change(&RequestIdentity::body, "c");
  expect_change(&RequestIdentity::streamed_bytes, 1U);
  other = request;
  other.target = "/xc";
  other.caller = "";
  EXPECT_NE(fingerprint_of(request), fingerprint_of(other));
}

} // namespace
} // namespace lovagehold
