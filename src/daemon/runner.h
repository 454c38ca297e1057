// Advances the run of a runbook that is recorded in the store, if this instance holds the
// run's lease or may take it over.
#pragma once

#include "decide/runbook.h"
#include "entry/core.h"
#include "store/store.h"

namespace vanillaloft::daemon {

class RunbookRunner
{
public:
  RunbookRunner(entry::Core& aCore, store::Store& aStore)
    : mCore(aCore)
    , mStore(aStore)
  {
  }

  // Advances the run every decide::kRunInterval. Never returns.
  entry::Awaitable<void> Loop();

private:
  entry::Awaitable<void> AdvanceStoredRun();
  bool MayHoldLease(const decide::Run& aRun);
  decide::RunConditions RunConditionsOf(const decide::Run& aRun) const;
  entry::Awaitable<bool> ApplyChange(const decide::RunUpdate& aUpdate,
                                     store::Value aConfig,
                                     const decide::Run& aRun);

  entry::Core& mCore;
  store::Store& mStore;
  std::string mSeenLease;     // id and sequence of the run as last read
  base::Instant mSeenSince{}; // time at which they were first read
  base::Instant mLastAdvance{};
};

} // namespace vanillaloft::daemon
