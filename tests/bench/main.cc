// The deterministic bench of the decisions: scripted demand at both deployments' sizes,
// without network, ours beside two baselines in the same run. The signature changes only
// with behaviour.
#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>

#include <fmt/format.h>

#include "world.h"

namespace {

using namespace vanillaloft::world;
using namespace std::chrono_literals;

constexpr int kInstances = 10;
constexpr auto kServiceTime = 60ms;
constexpr double kDemandOfRate = 0.7;
constexpr Duration kWarmUp = 25s;
constexpr Duration kMeasured = 60s;

// One deployment: its configuration, the service that callers use and where they are.
struct Site
{
  const char* mName;
  const char* mService;
  std::string mText;
};

// One way of deciding, ours or a baseline.
struct Policy
{
  const char* mName;
  LimitPolicy mLimits;
  SteerPolicy mSteering;
};

constexpr Policy kPolicies[] = {
  { "ours", LimitPolicy::Shares, SteerPolicy::Owned },
  { "static+round-robin", LimitPolicy::StaticSplit, SteerPolicy::RoundRobin },
  { "static+least-reported", LimitPolicy::StaticSplit, SteerPolicy::LeastReportedLoad },
};

// One run: a world with the deployment's usual demand.
struct Run
{
  const Site& mSite;
  ConfigPtr mConfig;
  World mWorld;
  std::string mDrainedServer;

  Run(const Site& aSite, const Policy& aPolicy)
    : mSite(aSite)
    , mConfig(ParseConfig(aSite.mText))
    , mWorld(mConfig, { 1, aPolicy.mLimits, aPolicy.mSteering, false, false })
  {
    for (const BackendServer& server : mConfig->mBackendServers) {
      mWorld.Server(server.mName).mServiceTime = kServiceTime;
    }
    for (int i = 0; i < kInstances; ++i) {
      std::size_t centre = static_cast<std::size_t>(i) % mConfig->mDataCentres.size();
      mWorld.AddInstance(fmt::format("{}/{}",
                                     mConfig->mDataCentres[centre].mName,
                                     1 + static_cast<std::size_t>(i) / 6));
    }
  }

  // Demand of an organisation as a part of its rate; each has its callers mostly in one
  // place.
  void Demand(std::size_t aOrganisation, double aPart)
  {
    std::map<std::string, double> weights;
    for (std::size_t i = 0; i < mConfig->mDataCentres.size(); ++i) {
      weights[mConfig->mDataCentres[i].mName] = i == aOrganisation % 6 ? 4 : 1;
    }
    const Organisation& organisation = mConfig->mOrganisations[aOrganisation];
    double rate =
      double(mConfig->mBudgets[organisation.mBudget.Value()].mTotal.mPerSecond) / kToken;
    mWorld.SetDemand(organisation.mName, mSite.mService, rate * aPart, weights);
  }

  std::string Server(std::size_t aIndex) const
  {
    return fmt::format("{}-{}", mSite.mService, aIndex + 1);
  }
};

void Day(Run& aRun)
{
  aRun.mWorld.RunFor(kMeasured);
}

void Surge(Run& aRun)
{
  aRun.Demand(2, 5);
  aRun.mWorld.RunFor(kMeasured);
}

void RegionLoss(Run& aRun)
{
  for (std::size_t i : { 0, 1, 6, 7 }) {
    aRun.mWorld.Server(aRun.Server(i)).mDown = true;
  }
  aRun.mWorld.RunFor(kMeasured);
}

void ColdShift(Run& aRun)
{
  const std::string from = aRun.mConfig->mDataCentres[0].mName;
  const std::string to = aRun.mConfig->mDataCentres[2].mName;
  for (std::size_t i : { 2, 8 }) {
    aRun.mWorld.Server(aRun.Server(i)).mColdUntil = aRun.mWorld.Now() + 10s;
  }
  std::string shift =
    fmt::format(R"("shifts":[{{"service":"{}","from":"{}","to":"{}","percent":20}}])",
                aRun.mSite.mService,
                from,
                to);
  aRun.mWorld.ChangeConfig("operator", [shift](std::string aText) {
    std::size_t at = aText.find("\"shifts\"");
    std::size_t end = aText.find(']', at);
    return aText.replace(at, end + 1 - at, shift);
  });
  aRun.mWorld.RunFor(kMeasured);
}

void LyingReports(Run& aRun)
{
  aRun.mWorld.Server(aRun.Server(0)).mFalseReports = true;
  aRun.mWorld.Server(aRun.Server(4)).mReportsFrozen = true;
  aRun.mWorld.Server(aRun.Server(4)).mDown = true;
  aRun.mWorld.RunFor(kMeasured);
}

void RollingRestart(Run& aRun)
{
  for (std::size_t i = 0; i < 6; ++i) {
    std::string name = aRun.mConfig->mDataCentres[i].mName + "/1";
    aRun.mWorld.Leave(name);
    aRun.mWorld.RunFor(9s);
    aRun.mWorld.Replace(name, false);
    aRun.mWorld.RunFor(1s);
  }
}

void DrainServer(Run& aRun)
{
  aRun.mDrainedServer = aRun.Server(0);
  FakeBackendServer& server = aRun.mWorld.Server(aRun.mDrainedServer);
  server.mDraining = true;
  server.mDrainingSince = aRun.mWorld.Now();
  aRun.mWorld.RunFor(kMeasured);
}

struct Case
{
  const char* mName;
  void (*mPlay)(Run&);
};

constexpr Case kCases[] = {
  { "day", Day },
  { "surge", Surge },
  { "region-loss", RegionLoss },
  { "cold-shift", ColdShift },
  { "lying-reports", LyingReports },
  { "rolling-restart", RollingRestart },
  { "drain", DrainServer },
};

// The figures of one run.
struct Figures
{
  double mP50 = 0;
  double mP99 = 0;
  double mWorstPercent =
    100; // of its due, of the worst-served organisation within its rate
  double mWrongfulPercent = 0;
  std::uint64_t mOvershoot = 0;
  std::uint64_t mOverruns = 0;
  std::uint64_t mMoves = 0;
  unsigned mHeadroom = 0; // free slots at the end
  double mDrainMilliseconds = 0;
  double mDecisionsPerSecond = 0;
  std::uint64_t mSignature = 0;
};

Figures Measure(Run& aRun, double aSeconds)
{
  Figures figures;
  std::vector<double> latencies;
  for (const Organisation& organisation : aRun.mConfig->mOrganisations) {
    const OrganisationTally& tally = aRun.mWorld.Tally(organisation.mName);
    latencies.insert(latencies.end(), tally.mLatencies.begin(), tally.mLatencies.end());
    double due = double(tally.mArrived - tally.mIdealLimited);
    double part = due == 0 ? 100 : 100 * double(tally.mAnswered) / due;
    figures.mWorstPercent = std::min(figures.mWorstPercent, part);
  }
  std::ranges::sort(latencies);
  if (!latencies.empty()) {
    figures.mP50 = latencies[latencies.size() / 2];
    figures.mP99 = latencies[latencies.size() * 99 / 100];
  }
  figures.mWrongfulPercent = aRun.mWorld.WrongfulPercent();
  figures.mOvershoot = aRun.mWorld.Overshoot();
  figures.mOverruns = aRun.mWorld.Overruns();
  figures.mMoves = aRun.mWorld.Spilled() + aRun.mWorld.Shifted();
  for (const DataCentre& dataCentre : aRun.mConfig->mDataCentres) {
    figures.mHeadroom +=
      aRun.mWorld.FreeSlots(dataCentre.mName + "/1", aRun.mSite.mService);
  }
  if (!aRun.mDrainedServer.empty()) {
    Duration time = aRun.mWorld.DrainTime(aRun.mDrainedServer);
    figures.mDrainMilliseconds =
      time == Duration::max() ? -1
                              : std::chrono::duration<double, std::milli>(time).count();
  }
  figures.mDecisionsPerSecond = double(aRun.mWorld.Decisions()) / aSeconds;
  figures.mSignature = aRun.mWorld.Signature();
  return figures;
}

Figures Play(const Site& aSite, const Policy& aPolicy, const Case& aCase)
{
  auto start = std::chrono::steady_clock::now();
  Run run(aSite, aPolicy);
  run.mWorld.RunFor(5s);
  for (std::size_t i = 0; i < run.mConfig->mOrganisations.size(); ++i) {
    run.Demand(i, kDemandOfRate);
  }
  run.mWorld.RunFor(kWarmUp);
  run.mWorld.ResetTallies();
  aCase.mPlay(run);
  std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
  return Measure(run, taken.count());
}

Site ReadSite(const char* aName, const char* aService)
{
  std::ifstream file(std::string(VANILLALOFT_EXAMPLES) + "/" + aName + ".json");
  std::ostringstream text;
  text << file.rdbuf();
  return { aName, aService, "{\"revision\": 1," + text.str().substr(1) };
}

} // namespace

int main()
{
  const Site sites[] = { ReadSite("lesta", "stock"), ReadSite("minnekort", "designs") };
  std::uint64_t overshoot = 0;
  double wrongful = 0;
  double worst = 100;
  std::uint64_t signature = 0;
  std::cout << fmt::format(
    "{:<10}{:<16}{:<23}{:>8}{:>9}{:>8}{:>10}{:>6}{:>6}{:>7}{:>6}{:>9}{:>11}\n",
    "site",
    "case",
    "policy",
    "p50 ms",
    "p99 ms",
    "worst%",
    "wrongful%",
    "over",
    "overr",
    "moves",
    "free",
    "drain ms",
    "decisions/s");
  for (const Site& site : sites) {
    for (const Case& play : kCases) {
      for (const Policy& policy : kPolicies) {
        Figures f = Play(site, policy, play);
        std::cout << fmt::format("{:<10}{:<16}{:<23}{:>8.1f}{:>9.1f}{:>8.2f}{:>10.3f}{:>"
                                 "6}{:>6}{:>7}{:>6}{:>9.1f}{:>11.0f}\n",
                                 site.mName,
                                 play.mName,
                                 policy.mName,
                                 f.mP50,
                                 f.mP99,
                                 f.mWorstPercent,
                                 f.mWrongfulPercent,
                                 f.mOvershoot,
                                 f.mOverruns,
                                 f.mMoves,
                                 f.mHeadroom,
                                 f.mDrainMilliseconds,
                                 f.mDecisionsPerSecond);
        if (&policy == &kPolicies[0]) {
          overshoot += f.mOvershoot;
          wrongful = std::max(wrongful, f.mWrongfulPercent);
          worst = std::min(worst, f.mWorstPercent);
          signature = signature * 31 + f.mSignature;
        }
      }
    }
  }
  std::cout << fmt::format(
    "bench: overshoot {}, wrongful {:.3f}%, worst {:.2f}%, signature {:016x}\n",
    overshoot,
    wrongful,
    worst,
    signature);
  return overshoot == 0 ? 0 : 1;
}
