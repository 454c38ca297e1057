#include "daemon/runner.h"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "store/keys.h"

namespace vanillaloft::daemon {

namespace asio = boost::asio;
using base::Event;
using base::Log;
using entry::Awaitable;

Awaitable<void> RunbookRunner::Loop()
{
  for (;;) {
    asio::steady_timer timer(mCore.mContext, decide::kRunInterval);
    co_await timer.async_wait(asio::use_awaitable);
    if (!mCore.Config() || mCore.mLeaving ||
        !mCore.mMembers.IsFirstInDataCentre(mCore.Now())) {
      continue;
    }
    try {
      co_await AdvanceStoredRun();
    } catch (const std::exception& error) {
      spdlog::debug("failed to advance the runbook: {}", error.what());
    }
  }
}

// Returns true if this instance holds the lease or may take it. The run document itself
// is the lease: that of another runner expires when its sequence has not changed for
// decide::kRunnerTerm, counted from when this instance first read that sequence.
bool RunbookRunner::MayHoldLease(const decide::Run& aRun)
{
  std::string lease = aRun.mId + "/" + std::to_string(aRun.mSequence);
  if (lease != mSeenLease) {
    mSeenLease = lease;
    mSeenSince = mCore.Now();
  }
  bool own = aRun.mRunner == mCore.Self();
  bool unowned = aRun.mRunner.mAddress.empty();
  return own || unowned || mCore.Now() - mSeenSince >= decide::kRunnerTerm;
}

decide::RunConditions RunbookRunner::RunConditionsOf(const decide::Run& aRun) const
{
  decide::RunConditions conditions;
  const decide::Config& config = *mCore.Config();
  base::Duration sinceLast = mCore.Now() - mLastAdvance;
  conditions.mSinceLastAdvance = std::min(sinceLast, decide::kRunnerTerm);
  auto runbook =
    std::ranges::find(config.mRunbooks, aRun.mRunbook, &decide::Runbook::mName);
  bool isShift = runbook != config.mRunbooks.end() &&
                 aRun.mStep < runbook->mSteps.size() &&
                 runbook->mSteps[aRun.mStep].mAction == decide::Action::Shift;
  conditions.mConfirmedEverywhere = mCore.mMembers.EveryDataCentreAlive(mCore.Now());
  for (const decide::Member* member : mCore.mMembers.AliveMembers(mCore.Now())) {
    const decide::MemberStatus& status = member->mStatus;
    conditions.mConfirmedEverywhere &= status.mRevision >= config.mRevision;
    if (isShift) {
      const decide::Shift& shift = runbook->mSteps[aRun.mStep].mShift;
      auto slots =
        status.mRemoteSlots.find(config.mServices[shift.mService.Value()].mName);
      bool isTarget = status.mDataCentre == config.mDataCentres[shift.mTo.Value()].mName;
      conditions.mTargetFreeSlots +=
        isTarget && slots != status.mRemoteSlots.end() ? slots->second : 0;
    }
  }
  return conditions;
}

// Returns true if the change is in the store, written now or by an earlier attempt whose
// reply was lost.
Awaitable<bool> RunbookRunner::ApplyChange(const decide::RunUpdate& aUpdate,
                                           store::Value aConfig,
                                           const decide::Run& aRun)
{
  std::string operation =
    fmt::format("run-{}-{}-{}", aRun.mId, aRun.mStep, aUpdate.mNext.mPercent);
  decide::ConfigPtr stored = decide::ParseConfig(aConfig.mText);
  if (stored->mRevision != mCore.Config()->mRevision) {
    co_return false; // not yet in force here; the next call tries again
  }
  if (aConfig.mText.find('"' + operation + '"') != std::string::npos &&
      !aUpdate.mRestore) {
    co_return true;
  }
  base::Revision next = stored->mRevision + 1;
  std::string text =
    aUpdate.mRestore
      ? decide::RestoreSteering(aConfig.mText, aRun.mUndo, next, operation + "-undo")
      : decide::EditSteering(aConfig.mText, *aUpdate.mChange, next, operation);
  decide::ParseConfig(text);
  if (!co_await mStore.CompareAndSwap(store::kConfigKey, aConfig.mVersion, text)) {
    co_return false;
  }
  co_await mStore.CompareAndSwap(store::HistoryKey(next), 0, text);
  co_return true;
}

// The configuration is read before the lease is renewed and written after that by
// compare-and-swap. So a runner that was suspended in between cannot overwrite a change
// of its successor.
Awaitable<void> RunbookRunner::AdvanceStoredRun()
{
  std::string key(decide::Run::kKey);
  store::Value recorded = co_await mStore.Read(key);
  if (recorded.mVersion == 0) {
    co_return;
  }
  decide::Run run = decide::Run::Parse(recorded.mText);
  if (!run.IsOpen() || run.mState == decide::RunState::Paused || !MayHoldLease(run)) {
    co_return;
  }
  bool takesOver = run.mRunner != mCore.Self();
  mLastAdvance = takesOver ? mCore.Now() : mLastAdvance;
  store::Value config = co_await mStore.Read(store::kConfigKey);
  decide::RunUpdate update =
    decide::AdvanceRun(run, *mCore.Config(), RunConditionsOf(run));
  run.mRunner = mCore.Self();
  run.mSequence += 1;
  if (!co_await mStore.CompareAndSwap(key, recorded.mVersion, run.Text())) {
    co_return;
  }
  bool changes = update.mChange.has_value() || update.mRestore;
  if (changes) {
    if (!co_await ApplyChange(update, std::move(config), run)) {
      co_return;
    }
  }
  update.mNext.mRunner = mCore.Self();
  update.mNext.mSequence = run.mSequence + 1;
  store::Value renewed = co_await mStore.Read(key);
  if (renewed.mText != run.Text()) {
    co_return; // paused or aborted in the meantime; the step is idempotent
  }
  if (co_await mStore.CompareAndSwap(key, renewed.mVersion, update.mNext.Text())) {
    mLastAdvance = mCore.Now();
    bool hasProgress = changes || update.mNext.mStep != run.mStep;
    Event openEvent = hasProgress ? Event::RunbookStep : Event::RunbookWaits;
    Log(spdlog::level::info,
        update.mNext.IsOpen() ? openEvent : Event::RunbookEnded,
        "run={} runbook={} step={} note={}",
        update.mNext.mId,
        update.mNext.mRunbook,
        update.mNext.mStep,
        update.mNext.mNote);
  }
}

} // namespace vanillaloft::daemon
