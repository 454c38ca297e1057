// Keys of the operator configuration in the platform's store.
#pragma once

#include <string>

#include <fmt/format.h>

#include "base/types.h"

namespace vanillaloft::store {

// Key of the active configuration.
inline const std::string kConfigKey = "vanillaloft/config";

// Key of a past revision, kept for the history and for rollback.
inline std::string HistoryKey(base::Revision aRevision)
{
  return fmt::format("vanillaloft/history/{}", aRevision);
}

} // namespace vanillaloft::store
