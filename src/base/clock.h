// Time source of the process. Tests replace it by a clock that they pause and advance.
#pragma once

#include "base/types.h"

namespace vanillaloft::base {

// Interface to the current time. Now() must be cheap: it is called for every decision.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual Instant Now() const = 0;
};

// Reads CLOCK_BOOTTIME, which counts suspension, so that a resumed process
// detects immediately that its leases have expired.
class SystemClock final : public Clock
{
public:
  Instant Now() const override;
};

// Clock for tests: its time changes only through Advance().
class ManualClock final : public Clock
{
public:
  Instant Now() const override { return mNow; }
  void Advance(Duration aBy) { mNow += aBy; }

private:
  Instant mNow{ std::chrono::seconds(1000) };
};

} // namespace vanillaloft::base
