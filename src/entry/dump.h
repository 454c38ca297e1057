// Dump of an instance's state for operators. It must contain no key, no key digest and no
// ticket.
#pragma once

#include <string>

#include "entry/core.h"

namespace vanillaloft::entry {

// Returns the state as JSON.
std::string DumpState(const Core& aCore);

// Updates the gauges that are derived from the state, before metrics are read.
void RefreshGauges(Core& aCore);

} // namespace vanillaloft::entry
