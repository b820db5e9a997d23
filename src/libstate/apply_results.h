#pragma once

#include "lovagehold/command.h"

namespace lovagehold {

inline ApplyResult
accept()
{
  ApplyResult result;
  result.accepted = true;
  return result;
}

inline ApplyResult
reject(Error error)
{
  ApplyResult result;
  result.error = std::move(error);
  return result;
}

} // namespace lovagehold
