// Runbooks: lists of steps that operators start, watch, pause and abort. The state of the
// run is one document of the platform's store, and the holder of its lease advances it.
// The steps that change the configuration's steering section are idempotent.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "decide/config.h"

namespace vanillaloft::decide {

// How often a run is advanced and its lease renewed.
constexpr Duration kRunInterval = std::chrono::seconds(2);
// Lease of the runner. Another instance takes over a run that was not renewed for this
// long.
constexpr Duration kRunnerTerm = std::chrono::seconds(8);
// A shift increases by this much per interval, so that cold caches can warm up.
constexpr unsigned kShiftStepPercent = 5;

// A change of the steering section.
struct SteeringChange
{
  Action mAction = Action::Drain; // drain, undrain or shift
  std::string mTarget;            // of drain and undrain
  std::string mService;           // of shift
  std::string mFrom;
  std::string mTo;
  unsigned mPercent = 0; // 0 ends the shift
};

// Applies a change to the steering section of a configuration text; applying it again
// leaves that section as it is. The result has the given revision and operation id and
// names the operation before it.
std::string EditSteering(const std::string& aText,
                         const SteeringChange& aChange,
                         Revision aRevision,
                         const std::string& aOperation);

// Replaces the steering section by that of an earlier configuration.
std::string RestoreSteering(const std::string& aText,
                            const std::string& aSteering,
                            Revision aRevision,
                            const std::string& aOperation);

// The steering section of a configuration text, as JSON text.
std::string SteeringOf(const std::string& aText);

enum class RunState : std::uint8_t
{
  Running,
  Paused,
  Aborting, // the steering section from before the run is being restored
  Done,
  Aborted
};

std::string_view Name(RunState aState);

// The run that is recorded in the store.
struct Run
{
  static constexpr std::string_view kKey = "vanillaloft/run";

  std::string mId;
  std::string mRunbook;
  RunState mState = RunState::Running;
  std::size_t mStep = 0;
  unsigned mPercent = 0;       // reached by the current shift step
  Duration mElapsed{};         // of the current wait step
  std::string mNote;           // what the run waits for or did last
  std::string mUndo;           // steering section from before the run
  Incarnation mRunner;         // holder of the lease
  std::uint64_t mSequence = 0; // increases with each write

  bool IsOpen() const { return mState != RunState::Done && mState != RunState::Aborted; }

  // Parses the JSON text. Throws an exception derived from std::exception if the text is
  // not a run.
  static Run Parse(std::string_view aText);
  std::string Text() const;
};

// The conditions under which a run is advanced.
struct RunConditions
{
  Duration mSinceLastAdvance{};      // time since the run was last advanced
  unsigned mTargetFreeSlots = 0;     // slots that a shift's target offers
  bool mConfirmedEverywhere = false; // every data centre confirms the revision
};

// The run after one interval, and the change that must take effect before the run is
// recorded.
struct RunUpdate
{
  Run mNext;
  std::optional<SteeringChange> mChange;
  bool mRestore = false; // restore the steering from before the run
};

// Advances a run by at most one change. If a step cannot proceed, the note has the
// reason.
RunUpdate AdvanceRun(const Run& aRun,
                     const Config& aConfig,
                     const RunConditions& aConditions);

// Returns the reason, with its figures, why a runbook must not be started; empty if it
// may be. aInFlight has the number of requests in flight now, by ServiceId.
std::string RunbookRefusal(const Config& aConfig,
                           const Runbook& aRunbook,
                           const std::vector<unsigned>& aInFlight);

} // namespace vanillaloft::decide
