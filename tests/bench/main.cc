// Deterministic benchmark of the decision code. It simulates scripted demand at the size
// of both deployments, without a network, and compares our policy with two baselines in
// the same run. The signature changes only if the behaviour changes.
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
constexpr double kDemandFraction = 0.7;
constexpr Duration kWarmUpTime = 25s;
constexpr Duration kMeasuredTime = 60s;

// A deployment: its name, the service that callers use and its configuration.
struct Deployment
{
  const char* mName;
  const char* mService;
  std::string mConfigText;
};

// A policy under comparison: ours or one of the two baselines.
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

// A simulated deployment with its instances and backend servers.
struct BenchRun
{
  const Deployment& mDeployment;
  ConfigPtr mConfig;
  World mWorld;
  std::string mDrainedServer;

  BenchRun(const Deployment& aDeployment, const Policy& aPolicy)
    : mDeployment(aDeployment)
    , mConfig(ParseConfig(aDeployment.mConfigText))
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

  // Sets the demand of an organisation as a fraction of its rate. One data centre sends
  // four times as many of its requests as each other one.
  void SetDemandFraction(std::size_t aOrganisation, double aRateFraction)
  {
    std::map<std::string, double> weights;
    for (std::size_t i = 0; i < mConfig->mDataCentres.size(); ++i) {
      weights[mConfig->mDataCentres[i].mName] = i == aOrganisation % 6 ? 4 : 1;
    }
    const Organisation& organisation = mConfig->mOrganisations[aOrganisation];
    double rate =
      double(mConfig->mBudgets[organisation.mBudget.Value()].mTotal.mPerSecond) / kToken;
    mWorld.SetDemand(
      organisation.mName, mDeployment.mService, rate * aRateFraction, weights);
  }

  std::string Server(std::size_t aIndex) const
  {
    return fmt::format("{}-{}", mDeployment.mService, aIndex + 1);
  }
};

void Day(BenchRun& aRun)
{
  aRun.mWorld.RunFor(kMeasuredTime);
}

void Surge(BenchRun& aRun)
{
  aRun.SetDemandFraction(2, 5);
  aRun.mWorld.RunFor(kMeasuredTime);
}

void RegionLoss(BenchRun& aRun)
{
  for (std::size_t i : { 0, 1, 6, 7 }) {
    aRun.mWorld.Server(aRun.Server(i)).mDown = true;
  }
  aRun.mWorld.RunFor(kMeasuredTime);
}

void ColdShift(BenchRun& aRun)
{
  const std::string from = aRun.mConfig->mDataCentres[0].mName;
  const std::string to = aRun.mConfig->mDataCentres[2].mName;
  for (std::size_t i : { 2, 8 }) {
    aRun.mWorld.Server(aRun.Server(i)).mColdUntil = aRun.mWorld.Now() + 10s;
  }
  std::string shift =
    fmt::format(R"("shifts":[{{"service":"{}","from":"{}","to":"{}","percent":20}}])",
                aRun.mDeployment.mService,
                from,
                to);
  aRun.mWorld.ChangeConfig("operator", [shift](std::string aText) {
    std::size_t at = aText.find("\"shifts\"");
    std::size_t end = aText.find(']', at);
    return aText.replace(at, end + 1 - at, shift);
  });
  aRun.mWorld.RunFor(kMeasuredTime);
}

void FalseReports(BenchRun& aRun)
{
  aRun.mWorld.Server(aRun.Server(0)).mFalseReports = true;
  aRun.mWorld.Server(aRun.Server(4)).mReportsFrozen = true;
  aRun.mWorld.Server(aRun.Server(4)).mDown = true;
  aRun.mWorld.RunFor(kMeasuredTime);
}

void RollingRestart(BenchRun& aRun)
{
  for (std::size_t i = 0; i < 6; ++i) {
    std::string name = aRun.mConfig->mDataCentres[i].mName + "/1";
    aRun.mWorld.Leave(name);
    aRun.mWorld.RunFor(9s);
    aRun.mWorld.Replace(name, false);
    aRun.mWorld.RunFor(1s);
  }
}

void DrainServer(BenchRun& aRun)
{
  aRun.mDrainedServer = aRun.Server(0);
  FakeBackendServer& server = aRun.mWorld.Server(aRun.mDrainedServer);
  server.mDraining = true;
  server.mDrainingSince = aRun.mWorld.Now();
  aRun.mWorld.RunFor(kMeasuredTime);
}

struct Case
{
  const char* mName;
  void (*mRun)(BenchRun&);
};

constexpr Case kCases[] = {
  { "day", Day },
  { "surge", Surge },
  { "region-loss", RegionLoss },
  { "cold-shift", ColdShift },
  { "lying-reports", FalseReports },
  { "rolling-restart", RollingRestart },
  { "drain", DrainServer },
};

// Measured results of one run. Latencies are in milliseconds.
struct Figures
{
  double mP50 = 0;
  double mP99 = 0;
  double mWorstPercent =
    100; // answered share of the demand within its rate, of the worst-served organisation
  double mWrongfulPercent = 0;
  std::uint64_t mOvershoot = 0;
  std::uint64_t mOverruns = 0;
  std::uint64_t mMovedRequests = 0;
  unsigned mFreeSlots = 0; // at the end of the run
  double mDrainMilliseconds = 0;
  double mDecisionsPerSecond = 0;
  std::uint64_t mSignature = 0;
};

Figures Measure(BenchRun& aRun, double aSeconds)
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
  figures.mMovedRequests = aRun.mWorld.Spilled() + aRun.mWorld.Shifted();
  for (const DataCentre& dataCentre : aRun.mConfig->mDataCentres) {
    figures.mFreeSlots +=
      aRun.mWorld.FreeSlots(dataCentre.mName + "/1", aRun.mDeployment.mService);
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

Figures RunCase(const Deployment& aDeployment, const Policy& aPolicy, const Case& aCase)
{
  auto start = std::chrono::steady_clock::now();
  BenchRun run(aDeployment, aPolicy);
  run.mWorld.RunFor(5s);
  for (std::size_t i = 0; i < run.mConfig->mOrganisations.size(); ++i) {
    run.SetDemandFraction(i, kDemandFraction);
  }
  run.mWorld.RunFor(kWarmUpTime);
  run.mWorld.ResetTallies();
  aCase.mRun(run);
  std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
  return Measure(run, taken.count());
}

Deployment ReadDeployment(const char* aName, const char* aService)
{
  std::ifstream file(std::string(VANILLALOFT_EXAMPLES) + "/" + aName + ".json");
  std::ostringstream text;
  text << file.rdbuf();
  return { aName, aService, "{\"revision\": 1," + text.str().substr(1) };
}

} // namespace

int main()
{
  const Deployment deployments[] = { ReadDeployment("lesta", "stock"),
                                     ReadDeployment("minnekort", "designs") };
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
  for (const Deployment& deployment : deployments) {
    for (const Case& benchCase : kCases) {
      for (const Policy& policy : kPolicies) {
        Figures f = RunCase(deployment, policy, benchCase);
        std::cout << fmt::format("{:<10}{:<16}{:<23}{:>8.1f}{:>9.1f}{:>8.2f}{:>10.3f}{:>"
                                 "6}{:>6}{:>7}{:>6}{:>9.1f}{:>11.0f}\n",
                                 deployment.mName,
                                 benchCase.mName,
                                 policy.mName,
                                 f.mP50,
                                 f.mP99,
                                 f.mWorstPercent,
                                 f.mWrongfulPercent,
                                 f.mOvershoot,
                                 f.mOverruns,
                                 f.mMovedRequests,
                                 f.mFreeSlots,
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
