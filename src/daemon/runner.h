// Advances the runbook that the store records, if this instance holds or may take its
// lease.
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

  // Runs for good.
  entry::Awaitable<void> Loop();

private:
  entry::Awaitable<void> Turn();
  bool MayRun(const decide::Run& aRun);
  decide::RunView View(const decide::Run& aRun) const;
  entry::Awaitable<bool> ApplyChange(const decide::Advance& aAdvance,
                                     store::Value aConfig,
                                     const decide::Run& aRun);

  entry::Core& mCore;
  store::Store& mStore;
  std::string mSeenId;        // run, runner and sequence as last seen
  base::Instant mSeenSince{}; // when they were first seen
  base::Instant mLastAdvance{};
};

} // namespace vanillaloft::daemon
