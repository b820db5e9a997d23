#pragma once

#include "lovagehold/types.h"

#include <string>

namespace lovagehold {

/// Compresses a configuration document for the log, snapshots and messages: each change goes to
/// every host, and routes resemble each other.
Bytes pack_document(const std::string& document);

/// \return the document. Throws std::invalid_argument if the bytes are not a packed document.
std::string unpack_document(const Bytes& packed);

} // namespace lovagehold
