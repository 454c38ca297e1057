// Interpreter of the scenario language, in which each line is one statement and the lines
// run in order. docs/PROOFS.md lists the words.
#pragma once

#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "world.h"

namespace vanillaloft::world {

// A line that cannot be executed. Expectations that fail are returned by Script::Run.
class ScriptError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

class Script
{
public:
  // Splits a scenario into lines of words. aName stands for the scenario in messages.
  Script(const std::string& aName, std::istream& aText);

  // Executes the scenario and returns a message for each failed expectation. Throws
  // ScriptError at a line that cannot be executed.
  std::vector<std::string> Run();

private:
  struct Line
  {
    unsigned mNumber = 0;
    std::vector<std::string> mWords;
  };
  using Words = std::vector<std::string>;
  using Command = void (Script::*)(const Words&);
  struct CommandRow
  {
    const char* mName;
    Command mCommand;
  };
  using Measure = std::string (Script::*)(const Words&);
  struct MeasureRow
  {
    const char* mName;
    Measure mMeasure;
  };
  static const CommandRow kCommands[];
  static const MeasureRow kMeasures[];

  void Execute(const Line& aLine);
  World& EnsureWorld();

  // Statements; the words of the line follow the statement's name.
  void Site(const Words& aWords);
  void Organisation(const Words& aWords);
  void Service(const Words& aWords);
  void Floor(const Words& aWords);
  void Defect(const Words& aWords);
  void Seed(const Words& aWords);
  void AtTime(const Words& aWords);
  void Demand(const Words& aWords);
  void Kill(const Words& aWords);
  void Replace(const Words& aWords);
  void Freeze(const Words& aWords);
  void Thaw(const Words& aWords);
  void Leave(const Words& aWords);
  void Cut(const Words& aWords);
  void Heal(const Words& aWords);
  void Store(const Words& aWords);
  void Clock(const Words& aWords);
  void Server(const Words& aWords);
  void Ticket(const Words& aWords);
  void Order(const Words& aWords);
  void Withdraw(const Words& aWords);
  void Limit(const Words& aWords);
  void Shift(const Words& aWords);
  void Drain(const Words& aWords);
  void Race(const Words& aWords);
  void Reset(const Words& aWords);
  void Baseline(const Words& aWords);
  void Expect(const Words& aWords);

  // Measures for `expect`, as text.
  std::string Overshoot(const Words& aWords);
  std::string Wrongful(const Words& aWords);
  std::string Overruns(const Words& aWords);
  std::string AfterDrain(const Words& aWords);
  std::string Ran(const Words& aWords);
  std::string Answer(const Words& aWords);
  std::string FalseNotRun(const Words& aWords);
  std::string LowestRevision(const Words& aWords);
  std::string HighestRevision(const Words& aWords);
  std::string Reversions(const Words& aWords);
  std::string Key(const Words& aWords);
  std::string StoreRate(const Words& aWords);
  std::string Answered(const Words& aWords);
  std::string AnsweredCount(const Words& aWords);
  std::string Lost(const Words& aWords);
  std::string P99(const Words& aWords);
  std::string P99Ratio(const Words& aWords);
  std::string Spilled(const Words& aWords);
  std::string Shifted(const Words& aWords);
  std::string Free(const Words& aWords);
  std::string Accepted(const Words& aWords);
  std::string Remembered(const Words& aWords);
  std::string Drained(const Words& aWords);

  std::string mName;
  std::vector<Line> mLines;
  Options mOptions;
  nlohmann::json mConfig;
  std::vector<std::string> mInstances;
  std::map<std::string, Duration> mServiceTimes; // by service
  std::unique_ptr<World> mWorld;
  Instant mStart{};
  Instant mResetAt{};
  std::uint64_t mStoreCallsAtReset = 0;
  std::map<std::string, std::string> mBaselineP99; // by organisation
  std::vector<std::string> mFailures;
  unsigned mLineNumber = 0;
};

} // namespace vanillaloft::world
