#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace lovagehold {

/// Key and value in a log line or event.
using LogField = std::pair<std::string_view, std::string>;

} // namespace lovagehold
