#include "untrusted_json.h"

#include <stdexcept>

namespace lovagehold {

nlohmann::json
parse_untrusted_json(const std::string& text)
{
  std::size_t values = 0;
  const auto check = [&values](int depth, nlohmann::json::parse_event_t, const nlohmann::json&) {
    if (depth > kMaxJsonDepth) {
      throw std::invalid_argument("the JSON text is nested deeper than " +
                                  std::to_string(kMaxJsonDepth) + " levels");
    }
    if (++values > kMaxJsonValues) {
      throw std::invalid_argument("the JSON text has more than " + std::to_string(kMaxJsonValues) +
                                  " values");
    }
    return true;
  };
  try {
    return nlohmann::json::parse(text, check);
  } catch (const nlohmann::json::parse_error& error) {
    // The library's message quotes the text, which may hold keys of accounts.
    throw std::invalid_argument("the text is not valid JSON at byte " + std::to_string(error.byte));
  }
}

} // namespace lovagehold
