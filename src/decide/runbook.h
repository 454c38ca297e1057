// Runbooks: lists of steps that operators start, watch, pause and abort. The state of the
// run is one document of the platform's store; whoever holds its lease advances it. Each
// step is a change of the configuration's steering section that is safe to repeat.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "decide/config.h"

namespace vanillaloft::decide {

// How often a run is advanced and its lease renewed.
constexpr Duration kRunInterval = std::chrono::seconds(2);
// A run whose runner has not renewed for this long is taken over.
constexpr Duration kRunnerTerm = std::chrono::seconds(8);
// A shift grows by this much in one interval, so that cold caches can warm.
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

// Applies a change to a configuration text; applying it again changes nothing. The result
// has the given revision and operation and names the operation that it follows.
std::string EditSteering(const std::string& aText,
                         const SteeringChange& aChange,
                         Revision aRevision,
                         const std::string& aOperation);

// Puts the steering section of a former configuration back.
std::string RestoreSteering(const std::string& aText,
                            const std::string& aSteering,
                            Revision aRevision,
                            const std::string& aOperation);

// The steering section of a configuration text, as text.
std::string SteeringOf(const std::string& aText);

enum class RunState : std::uint8_t
{
  Running,
  Paused,
  Aborting, // the steering from before the run is being put back
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
  unsigned mPercent = 0;       // that the current shift has reached
  Duration mElapsed{};         // of the current wait
  std::string mNote;           // what the run waits for, or did last
  std::string mUndo;           // steering section from before the run
  Incarnation mRunner;         // holder of the lease
  std::uint64_t mSequence = 0; // rises with each write

  bool IsOpen() const { return mState != RunState::Done && mState != RunState::Aborted; }

  // Throws std::runtime_error if the text is not a run.
  static Run Parse(std::string_view aText);
  std::string Text() const;
};

// What the runner sees when it advances a run.
struct RunConditions
{
  Duration mSinceLastAdvance{};      // time since the run was last advanced
  unsigned mTargetFreeSlots = 0;     // slots that the target of a shift offers
  bool mConfirmedEverywhere = false; // every data centre confirms the revision
};

// The run after one interval, and the change that has to take effect before it counts.
struct RunUpdate
{
  Run mNext;
  std::optional<SteeringChange> mChange;
  bool mRestore = false; // put the steering from before the run back
};

// Advances a run by at most one change. A step that cannot go on says why in the note.
RunUpdate AdvanceRun(const Run& aRun, const Config& aConfig, const RunConditions& aView);

// Why a runbook must not be started, with the figures; empty if it may. aInFlight are the
// requests in flight now, by service.
std::string RunbookRefusal(const Config& aConfig,
                           const Runbook& aRunbook,
                           const std::vector<unsigned>& aInFlight);

} // namespace vanillaloft::decide
