// Access to the runtime's clock, replaceable by a clock that tests pause and advance.
#pragma once

#include "base/types.h"

namespace vanillaloft::base {

// Source of the current time. Implementations are cheap enough to be read at every
// decision.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual Instant Now() const = 0;
};

// Reads CLOCK_BOOTTIME, which counts suspension, so that a resumed process sees at once
// that its leases have lapsed.
class SystemClock final : public Clock
{
public:
  Instant Now() const override;
};

// A clock that stands still until it is advanced.
class ManualClock final : public Clock
{
public:
  Instant Now() const override { return mNow; }
  void Advance(Duration aBy) { mNow += aBy; }

private:
  Instant mNow{ std::chrono::seconds(1000) };
};

} // namespace vanillaloft::base
