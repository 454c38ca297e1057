// The dump of an instance's state for operators. Holds no key, no key digest and no
// ticket.
#pragma once

#include <string>

#include "entry/core.h"

namespace vanillaloft::entry {

// The whole state as JSON.
std::string DumpState(const Core& aCore);

// Sets the gauges that are derived from the state.
void RefreshGauges(Core& aCore);

} // namespace vanillaloft::entry
