// Property-based test with rapidcheck: random schedules of kills, replacements, freezes,
// cuts, store outages and concurrent changes by operators, in any order. The invariants
// are checked after each step. A schedule is a scenario text, so a failing one can be
// kept as a scenario file.
#include <iostream>
#include <sstream>

#include <fmt/format.h>
#include <rapidcheck.h>

#include "base/settings.h"
#include "dispatch.h"
#include "script.h"

namespace {

using namespace vanillaloft;

constexpr int kSchedulesPerSeed = 40;
constexpr int kMaxFaults = 14; // exclusive upper bound

const std::vector<std::string> kInstances = { "a1/1", "a2/1", "b1/1",
                                              "b2/1", "a1/2", "a2/2" };
const std::vector<std::string> kDataCentres = { "a1", "a2", "b1", "b2" };

rc::Gen<std::string> GenInstance()
{
  return rc::gen::elementOf(kInstances);
}

// Generates a fault as one or more lines of the scenario language.
rc::Gen<std::string> GenFault()
{
  auto withInstance = [](const char* aWord) {
    return rc::gen::map(GenInstance(), [aWord](std::string aInstance) {
      return fmt::format("{} {}", aWord, aInstance);
    });
  };
  auto cut =
    rc::gen::map(rc::gen::pair(rc::gen::elementOf(kDataCentres),
                               rc::gen::element<std::string>("store", "all", "a1", "b1")),
                 [](std::pair<std::string, std::string> aEnds) {
                   return fmt::format("cut {} {}", aEnds.first, aEnds.second);
                 });
  auto store = rc::gen::map(
    rc::gen::element<std::string>("up", "up", "down", "slow", "lose", "mark", "older"),
    [](std::string aMode) { return "store " + aMode; });
  auto demand = rc::gen::map(rc::gen::inRange(50, 900), [](int aRate) {
    return fmt::format("demand large orders {} a1={} b1=2 a2=1", aRate, aRate % 4 + 1);
  });
  // 70% of the callers move to one data centre; one organisation at 7.5 times its rate.
  auto move = rc::gen::map(
    rc::gen::pair(rc::gen::element(220, 300, 2250),
                  rc::gen::element<std::string>(
                    "a1=7 a2=1 b1=1 b2=1", "b2=7 a1=1 a2=1 b1=1", "a2=7 b1=3")),
    [](std::pair<int, std::string> aDemand) {
      return fmt::format("demand large orders {} {}", aDemand.first, aDemand.second);
    });
  auto order = rc::gen::map(GenInstance(), [](std::string aInstance) {
    return fmt::format("order o1 {}\norder o2 {}", aInstance, aInstance);
  });
  auto server = rc::gen::map(
    rc::gen::pair(rc::gen::element<std::string>("a1", "a2", "b1"),
                  rc::gen::element<std::string>("down",
                                                "up",
                                                "lie",
                                                "honest",
                                                "fault die-after",
                                                "fault die-before",
                                                "fault late",
                                                "fault shed",
                                                "drain")),
    [](std::pair<std::string, std::string> aState) {
      return fmt::format("server orders-{}-1 {}", aState.first, aState.second);
    });
  return rc::gen::oneOf(withInstance("replace"),
                        withInstance("freeze"),
                        withInstance("thaw"),
                        withInstance("thaw"),
                        cut,
                        rc::gen::just<std::string>("heal"),
                        store,
                        demand,
                        move,
                        order,
                        server,
                        rc::gen::just<std::string>("race 2"),
                        rc::gen::map(GenInstance(), [](std::string aInstance) {
                          return fmt::format("replace {} elsewhere", aInstance);
                        }));
}

// The checks that must hold after any fault.
std::string InvariantChecks()
{
  return "expect overshoot = 0\nexpect overruns = 0\nexpect reversions = 0\n"
         "expect ran o1 <= 1\nexpect ran o2 <= 1\nexpect false-not-run = 0\n"
         "expect after-drain = 0\n";
}

// Builds a scenario from pairs of a fault and the time after it, in tenths of a second.
std::string ScheduleText(const std::vector<std::pair<std::string, int>>& aFaults,
                         unsigned aSeed)
{
  std::string text = fmt::format("seed {}\n", aSeed);
  text += "site regions 2 centres 2 instances 6\n"
          "organisation large rate 300 burst 100\n"
          "service orders servers 1 slots 4 ms 15 order\n"
          "at 15s\ndemand large orders 400\nticket o1 a1/1\nticket o2 b1/1\n";
  double time = 15;
  for (const auto& [fault, wait] : aFaults) {
    text += fault + "\n";
    time += wait / 10.0;
    text += fmt::format("at {:.1f}s\n", time) + InvariantChecks();
  }
  text += fmt::format("at {:.1f}s\n", time + 25) + InvariantChecks();
  return text;
}

void RunSchedule(const std::string& aText)
{
  std::istringstream stream(aText);
  std::vector<std::string> failures = world::Script("schedule", stream).Run();
  if (!failures.empty()) {
    RC_FAIL(failures.front() + "\n" + aText);
  }
}

bool CheckSchedules(const std::string& aName)
{
  return rc::check(aName, [] {
    auto count = *rc::gen::inRange(3, kMaxFaults);
    auto faults = *rc::gen::container<std::vector<std::pair<std::string, int>>>(
      static_cast<std::size_t>(count),
      rc::gen::pair(GenFault(), rc::gen::inRange(1, 150)));
    auto seed = *rc::gen::inRange(1U, 1000U);
    RunSchedule(ScheduleText(faults, seed));
  });
}

} // namespace

int main(int aArgc, char** aArgv)
{
  const std::vector<base::Flag> flags = {
    { "seconds", "0", false, "minimum duration of the run in seconds; 0 runs one batch" },
    { "first-seed", "1", false, "seed of the first batch of schedules" },
  };
  base::Settings settings = base::Settings::Parse(aArgc, aArgv, flags);
  long seconds = settings.Number("seconds", 0, 86'400);
  long seed = settings.Number("first-seed", 1, 1'000'000'000);
  auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
  bool ok = true;
  do {
    std::cout << "seed " << seed << "\n" << std::flush;
    std::string parameters =
      fmt::format("seed={} max_success={} noshrink=1", seed, kSchedulesPerSeed);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    ok = CheckSchedules("what must always hold, under any schedule of faults") && ok;
    ok = CheckDispatch() && ok;
    ++seed;
  } while (ok && std::chrono::steady_clock::now() < end);
  return ok ? 0 : 1;
}
