#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace lovagehold {

/// Nesting depth that no document of the project's interfaces reaches.
inline constexpr int kMaxJsonDepth = 32;
/// Number of values of a routing configuration with some 20,000 routes. A parsed value takes up to
/// 100 bytes, so that a document stays below 50 MB.
inline constexpr std::size_t kMaxJsonValues = 500'000;

/// Parses JSON that another program wrote. Limits nesting and number of values, because a short
/// text could otherwise take up the memory of a small host. \throws std::exception if the text is
/// not JSON or exceeds a limit; the message says which
nlohmann::json parse_untrusted_json(const std::string& text);

} // namespace lovagehold
