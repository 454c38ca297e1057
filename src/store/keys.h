// The keys under which the system keeps its operators' configuration in the platform's
// store.
#pragma once

#include <string>

#include <fmt/format.h>

#include "base/types.h"

namespace vanillaloft::store {

// The configuration in force.
inline const std::string kConfigKey = "vanillaloft/config";

// The key under which a revision is kept for history and rollback.
inline std::string HistoryKey(base::Revision aRevision)
{
  return fmt::format("vanillaloft/history/{}", aRevision);
}

} // namespace vanillaloft::store
