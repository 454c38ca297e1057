#include "decide/runbook.h"

#include <algorithm>
#include <array>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace vanillaloft::decide {

namespace {

using Json = nlohmann::ordered_json;

// Requests in flight may use at most this percentage of the slots that a runbook leaves.
constexpr unsigned kMaxUsedPercent = 80;

constexpr std::array<std::string_view, 5> kStateNames = { "running",
                                                          "paused",
                                                          "aborting",
                                                          "done",
                                                          "aborted" };

Json OtherShifts(const Json& aShifts, const SteeringChange& aChange)
{
  Json kept = Json::array();
  for (const Json& shift : aShifts) {
    bool same = shift.value("service", "") == aChange.mService &&
                shift.value("from", "") == aChange.mFrom;
    if (!same) {
      kept.push_back(shift);
    }
  }
  return kept;
}

void ApplyChange(Json& aSteering, const SteeringChange& aChange)
{
  if (aChange.mAction == Action::Shift) {
    Json shifts = OtherShifts(aSteering["shifts"], aChange);
    if (aChange.mPercent != 0) {
      shifts.push_back({ { "service", aChange.mService },
                         { "from", aChange.mFrom },
                         { "to", aChange.mTo },
                         { "percent", aChange.mPercent } });
    }
    aSteering["shifts"] = shifts;
    return;
  }
  Json drained = Json::array();
  for (const Json& name : aSteering["drained"]) {
    if (name != aChange.mTarget) {
      drained.push_back(name);
    }
  }
  if (aChange.mAction == Action::Drain) {
    drained.push_back(aChange.mTarget);
  }
  aSteering["drained"] = drained;
}

std::string TextWithRevision(Json aConfig,
                             Revision aRevision,
                             const std::string& aOperation)
{
  std::string previous = aConfig.value("operation", "");
  aConfig["revision"] = aRevision;
  aConfig["operation"] = aOperation;
  if (!previous.empty()) {
    aConfig["previous"] = previous;
  }
  return aConfig.dump(2) + "\n";
}

void MoveToNextStep(Run& aRun, std::string aNote)
{
  aRun.mStep += 1;
  aRun.mPercent = 0;
  aRun.mElapsed = {};
  aRun.mNote = std::move(aNote);
}

void AdvanceShift(RunUpdate& aUpdate,
                  const RunbookStep& aStep,
                  const Config& aConfig,
                  const RunConditions& aConditions)
{
  Run& run = aUpdate.mNext;
  unsigned wanted = aStep.mShift.mPercent;
  if (!aConditions.mConfirmedEverywhere) {
    run.mNote = "shift held: the last change is not confirmed everywhere";
    return;
  }
  bool grows = run.mPercent < wanted;
  if (grows && aConditions.mTargetFreeSlots == 0) {
    run.mNote =
      fmt::format("shift held at {}%: the receiver offers no free slot", run.mPercent);
    return;
  }
  run.mPercent = std::min(run.mPercent + kShiftStepPercent, wanted);
  SteeringChange change;
  change.mAction = Action::Shift;
  change.mService = aConfig.mServices[aStep.mShift.mService.Value()].mName;
  change.mFrom = aConfig.mDataCentres[aStep.mShift.mFrom.Value()].mName;
  change.mTo = aConfig.mDataCentres[aStep.mShift.mTo.Value()].mName;
  change.mPercent = run.mPercent;
  aUpdate.mChange = change;
  if (run.mPercent >= wanted) {
    MoveToNextStep(run, fmt::format("shifted {}%", wanted));
  } else {
    run.mNote = fmt::format("shifting: {}% of {}%", run.mPercent, wanted);
  }
}

void AdvanceWait(Run& aRun, const RunbookStep& aStep, const RunConditions& aConditions)
{
  aRun.mElapsed += aConditions.mSinceLastAdvance;
  if (aRun.mElapsed >= aStep.mWait) {
    MoveToNextStep(aRun, "waited");
    return;
  }
  auto remaining = std::chrono::ceil<std::chrono::seconds>(aStep.mWait - aRun.mElapsed);
  aRun.mNote = fmt::format("waiting {} s more", remaining.count());
}

void AdvanceStep(RunUpdate& aUpdate,
                 const RunbookStep& aStep,
                 const Config& aConfig,
                 const RunConditions& aConditions)
{
  Run& run = aUpdate.mNext;
  switch (aStep.mAction) {
    case Action::Drain:
    case Action::Undrain:
      aUpdate.mChange = SteeringChange{ aStep.mAction, aStep.mTarget, "", "", "", 0 };
      MoveToNextStep(run,
                     fmt::format("{} {}",
                                 aStep.mAction == Action::Drain ? "drained" : "undrained",
                                 aStep.mTarget));
      break;
    case Action::Shift:
      AdvanceShift(aUpdate, aStep, aConfig, aConditions);
      break;
    case Action::Pause:
      run.mState = RunState::Paused;
      MoveToNextStep(run, "paused by the runbook; resume to go on");
      break;
    case Action::Wait:
      AdvanceWait(run, aStep, aConditions);
      break;
    case Action::Check:
      if (aConditions.mConfirmedEverywhere) {
        MoveToNextStep(run, "checked: in force everywhere");
      } else {
        run.mNote = "check held: the revision is not confirmed everywhere";
      }
      break;
  }
}

} // namespace

std::string SteeringOf(const std::string& aText)
{
  Json config = Json::parse(aText);
  return config.contains("steering") ? config["steering"].dump() : "{}";
}

std::string EditSteering(const std::string& aText,
                         const SteeringChange& aChange,
                         Revision aRevision,
                         const std::string& aOperation)
{
  Json config = Json::parse(aText);
  ApplyChange(config["steering"], aChange);
  return TextWithRevision(std::move(config), aRevision, aOperation);
}

std::string RestoreSteering(const std::string& aText,
                            const std::string& aSteering,
                            Revision aRevision,
                            const std::string& aOperation)
{
  Json config = Json::parse(aText);
  config["steering"] = Json::parse(aSteering);
  return TextWithRevision(std::move(config), aRevision, aOperation);
}

std::string_view Name(RunState aState)
{
  return kStateNames.at(static_cast<std::size_t>(aState));
}

Run Run::Parse(std::string_view aText)
{
  Json value = Json::parse(aText);
  Run run;
  run.mId = value.at("id").get<std::string>();
  run.mRunbook = value.at("runbook").get<std::string>();
  auto state = std::ranges::find(kStateNames, value.at("state").get<std::string>());
  run.mState = static_cast<RunState>(state - kStateNames.begin());
  run.mStep = value.at("step").get<std::size_t>();
  run.mPercent = value.at("percent").get<unsigned>();
  run.mElapsed = std::chrono::milliseconds(value.at("elapsed_ms").get<long>());
  run.mNote = value.at("note").get<std::string>();
  run.mUndo = value.at("undo").get<std::string>();
  run.mRunner.mAddress = value.at("runner").get<std::string>();
  run.mRunner.mStartId = value.at("start").get<std::uint64_t>();
  run.mSequence = value.at("sequence").get<std::uint64_t>();
  if (state == kStateNames.end()) {
    throw std::runtime_error("the run has an unknown state");
  }
  return run;
}

std::string Run::Text() const
{
  auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(mElapsed);
  return Json{
    { "id", mId },
    { "runbook", mRunbook },
    { "state", Name(mState) },
    { "step", mStep },
    { "percent", mPercent },
    { "elapsed_ms", elapsed.count() },
    { "note", mNote },
    { "undo", mUndo },
    { "runner", mRunner.mAddress },
    { "start", mRunner.mStartId },
    { "sequence", mSequence }
  }.dump();
}

RunUpdate AdvanceRun(const Run& aRun,
                     const Config& aConfig,
                     const RunConditions& aConditions)
{
  RunUpdate update{ aRun, std::nullopt, false };
  if (aRun.mState == RunState::Aborting) {
    update.mRestore = true;
    update.mNext.mState = RunState::Aborted;
    update.mNext.mNote = "aborted: the steering from before the run is back";
    return update;
  }
  if (aRun.mState != RunState::Running) {
    return update;
  }
  auto runbook = std::ranges::find(aConfig.mRunbooks, aRun.mRunbook, &Runbook::mName);
  if (runbook == aConfig.mRunbooks.end()) {
    update.mNext.mNote = "held: the configuration has no such runbook any more";
    return update;
  }
  if (aRun.mStep >= runbook->mSteps.size()) {
    update.mNext.mState = RunState::Done;
    update.mNext.mNote = "done";
    return update;
  }
  AdvanceStep(update, runbook->mSteps[aRun.mStep], aConfig, aConditions);
  return update;
}

// Simulates the drains of the runbook: no drain step may leave a service with fewer slots
// than its requests in flight need now.
std::string RunbookRefusal(const Config& aConfig,
                           const Runbook& aRunbook,
                           const std::vector<unsigned>& aInFlight)
{
  std::set<std::string> drained;
  auto remainingSlots = [&](ServiceId aService) {
    unsigned slots = 0;
    for (const BackendServer& server : aConfig.mBackendServers) {
      const std::string& centre = aConfig.mDataCentres[server.mDataCentre.Value()].mName;
      bool gone =
        server.mDrained || drained.contains(server.mName) || drained.contains(centre);
      slots += server.mService == aService && !gone ? server.mSlots : 0;
    }
    return slots;
  };
  for (std::size_t step = 0; step < aRunbook.mSteps.size(); ++step) {
    const RunbookStep& entry = aRunbook.mSteps[step];
    if (entry.mAction == Action::Drain) {
      drained.insert(entry.mTarget);
    } else if (entry.mAction == Action::Undrain) {
      drained.erase(entry.mTarget);
    }
    for (std::size_t i = 0; i < aConfig.mServices.size(); ++i) {
      unsigned slots = remainingSlots(ServiceId(i));
      unsigned inFlight = i < aInFlight.size() ? aInFlight[i] : 0;
      if (entry.mAction == Action::Drain && inFlight * 100 >= slots * kMaxUsedPercent) {
        return fmt::format(
          "step {} (drain {}) leaves service {} with {} slots for {} requests in "
          "flight; at most {}% may be used",
          step + 1,
          entry.mTarget,
          aConfig.mServices[i].mName,
          slots,
          inFlight,
          kMaxUsedPercent);
      }
    }
  }
  return {};
}

} // namespace vanillaloft::decide
