#include "driver_options.h"

#include <sstream>
#include <stdexcept>

namespace lovagehold {

namespace {

bool
set_field(StreamOptions& stream, const std::string& name, const std::string& value)
{
  if (name == "service") {
    stream.service = value;
  } else if (name == "method") {
    stream.method = value;
  } else if (name == "target") {
    stream.target = value;
  } else if (name == "count") {
    stream.count = static_cast<unsigned>(std::stoul(value));
  } else if (name == "rate") {
    stream.rate = std::stod(value);
  } else if (name == "repeats") {
    stream.key_repeats = static_cast<unsigned>(std::stoul(value));
  } else if (name == "upload") {
    stream.upload_bytes = std::stoull(value);
  } else if (name == "chunked") {
    stream.chunked = value == "1";
  } else if (name == "pace") {
    stream.upload_bytes_per_second = std::stoull(value);
  } else {
    return false;
  }
  return true;
}

} // namespace

StreamOptions
parse_stream(const std::string& text)
{
  StreamOptions stream;
  std::istringstream fields(text);
  std::string field;
  while (std::getline(fields, field, ',')) {
    const std::size_t equals = field.find('=');
    const std::string name = field.substr(0, equals);
    const std::string value = equals == std::string::npos ? "" : field.substr(equals + 1);
    if (!set_field(stream, name, value)) {
      throw std::invalid_argument("unknown stream field '" + name + "'");
    }
  }
  return stream;
}

} // namespace lovagehold
