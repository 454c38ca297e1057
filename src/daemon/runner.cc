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

Awaitable<void> Runner::Loop()
{
  for (;;) {
    asio::steady_timer timer(mCore.mContext, decide::kRunInterval);
    co_await timer.async_wait(asio::use_awaitable);
    if (!mCore.Config() || mCore.mLeaving ||
        !mCore.mMembers.IsFirstInDataCentre(mCore.Now())) {
      continue;
    }
    try {
      co_await Turn();
    } catch (const std::exception& error) {
      spdlog::debug("runbook not advanced: {}", error.what());
    }
  }
}

// The lease is an unchanged document: another runner's is respected until it has not been
// renewed for the term, counted from when this instance first saw it.
bool Runner::MayRun(const decide::Run& aRun)
{
  std::string seen = aRun.mId + "/" + std::to_string(aRun.mSequence);
  if (seen != mSeenId) {
    mSeenId = seen;
    mSeenSince = mCore.Now();
  }
  bool own = aRun.mRunner == mCore.Self();
  bool unowned = aRun.mRunner.mAddress.empty();
  return own || unowned || mCore.Now() - mSeenSince >= decide::kRunnerTerm;
}

decide::RunView Runner::View(const decide::Run& aRun) const
{
  decide::RunView view;
  const decide::Config& config = *mCore.Config();
  base::Duration since = mCore.Now() - mLastAdvance;
  view.mSinceLast = std::min(since, decide::kRunnerTerm);
  auto runbook =
    std::ranges::find(config.mRunbooks, aRun.mRunbook, &decide::Runbook::mName);
  bool shifts = runbook != config.mRunbooks.end() &&
                aRun.mStep < runbook->mSteps.size() &&
                runbook->mSteps[aRun.mStep].mAction == decide::Action::Shift;
  view.mInForceEverywhere = mCore.mMembers.HearsEveryDataCentre(mCore.Now());
  for (const decide::Member* member : mCore.mMembers.Living(mCore.Now())) {
    const decide::MemberStatus& status = member->mStatus;
    view.mInForceEverywhere &= status.mRevision >= config.mRevision;
    if (shifts) {
      const decide::Shift& shift = runbook->mSteps[aRun.mStep].mShift;
      auto slots =
        status.mRemoteSlots.find(config.mServices[shift.mService.Value()].mName);
      bool there = status.mDataCentre == config.mDataCentres[shift.mTo.Value()].mName;
      view.mReceiverFree +=
        there && slots != status.mRemoteSlots.end() ? slots->second : 0;
    }
  }
  return view;
}

// True if the change is in the store, now or by an earlier try whose reply was lost.
Awaitable<bool> Runner::ApplyChange(const decide::Advance& aAdvance,
                                    store::Value aConfig,
                                    const decide::Run& aRun)
{
  std::string operation =
    fmt::format("run-{}-{}-{}", aRun.mId, aRun.mStep, aAdvance.mNext.mPercent);
  decide::ConfigPtr stored = decide::ParseConfig(aConfig.mText);
  if (stored->mRevision != mCore.Config()->mRevision) {
    co_return false; // not yet in force here; the next turn sees the same
  }
  if (aConfig.mText.find('"' + operation + '"') != std::string::npos &&
      !aAdvance.mRestore) {
    co_return true;
  }
  base::Revision next = stored->mRevision + 1;
  std::string text =
    aAdvance.mRestore
      ? decide::RestoreSteering(aConfig.mText, aRun.mUndo, next, operation + "-undo")
      : decide::EditSteering(aConfig.mText, *aAdvance.mChange, next, operation);
  decide::ParseConfig(text);
  if (!co_await mStore.CompareAndSwap(store::kConfigKey, aConfig.mVersion, text)) {
    co_return false;
  }
  co_await mStore.CompareAndSwap(store::HistoryKey(next), 0, text);
  co_return true;
}

// The configuration is read before the lease is renewed and swapped after. So a runner
// that was paused between cannot write over what its successor has changed.
Awaitable<void> Runner::Turn()
{
  std::string key(decide::Run::kKey);
  store::Value recorded = co_await mStore.Read(key);
  if (recorded.mVersion == 0) {
    co_return;
  }
  decide::Run run = decide::Run::Parse(recorded.mText);
  if (!run.IsOpen() || run.mState == decide::RunState::Paused || !MayRun(run)) {
    co_return;
  }
  bool takesOver = run.mRunner != mCore.Self();
  mLastAdvance = takesOver ? mCore.Now() : mLastAdvance;
  store::Value config = co_await mStore.Read(store::kConfigKey);
  decide::Advance advance = decide::AdvanceRun(run, *mCore.Config(), View(run));
  run.mRunner = mCore.Self();
  run.mSequence += 1;
  if (!co_await mStore.CompareAndSwap(key, recorded.mVersion, run.Text())) {
    co_return;
  }
  bool changes = advance.mChange.has_value() || advance.mRestore;
  if (changes && !co_await ApplyChange(advance, std::move(config), run)) {
    co_return;
  }
  advance.mNext.mRunner = mCore.Self();
  advance.mNext.mSequence = run.mSequence + 1;
  store::Value renewed = co_await mStore.Read(key);
  if (renewed.mText != run.Text()) {
    co_return; // paused or aborted meanwhile; the step is safe to repeat
  }
  if (co_await mStore.CompareAndSwap(key, renewed.mVersion, advance.mNext.Text())) {
    mLastAdvance = mCore.Now();
    bool moved = changes || advance.mNext.mStep != run.mStep;
    Event open = moved ? Event::RunbookStep : Event::RunbookWaits;
    Log(spdlog::level::info,
        advance.mNext.IsOpen() ? open : Event::RunbookEnded,
        "run={} runbook={} step={} note={}",
        advance.mNext.mId,
        advance.mNext.mRunbook,
        advance.mNext.mStep,
        advance.mNext.mNote);
  }
}

} // namespace vanillaloft::daemon
