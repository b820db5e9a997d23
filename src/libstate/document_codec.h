#pragma once

#include "lovagehold/types.h"

#include <string>
#include <string_view>

namespace lovagehold {

/// Compresses a configuration document or a state for the log, snapshots and messages. Each is sent
/// to every host and compresses well, because its routes and servers resemble each other.
Bytes pack_document(std::string_view document);

/// \return the document. Throws std::invalid_argument if the bytes are not a packed document.
std::string unpack_document(const Bytes& packed);

} // namespace lovagehold
