#include "script.h"

#include <algorithm>
#include <istream>
#include <sstream>

#include <fmt/format.h>

namespace vanillaloft::world {

using nlohmann::json;

namespace {

// Parses a duration such as "3s", "250ms" or "2h".
Duration ParseDuration(const std::string& aText)
{
  std::size_t end = 0;
  double value = std::stod(aText, &end);
  std::string unit = aText.substr(end);
  double seconds = unit == "ms" ? value / 1000 : unit == "h" ? value * 3600 : value;
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

std::string KeyOf(const std::string& aOrganisation)
{
  return "key-" + aOrganisation;
}

json DigestJson(const std::string& aKey)
{
  KeyDigest digest = DigestKey(aKey);
  return Hex({ reinterpret_cast<const char*>(digest.data()), digest.size() });
}

// The word that follows the option's name, or the default if the option is absent.
std::string OptionValue(const std::vector<std::string>& aWords,
                        const std::string& aName,
                        const std::string& aDefault)
{
  auto found = std::ranges::find(aWords, aName);
  bool given = found != aWords.end() && found + 1 != aWords.end();
  return given ? *(found + 1) : aDefault;
}

long NumberOption(const std::vector<std::string>& aWords,
                  const std::string& aName,
                  long aDefault)
{
  return std::stol(OptionValue(aWords, aName, std::to_string(aDefault)));
}

std::string FormatNumber(double aValue)
{
  return fmt::format("{:.4f}", aValue);
}

} // namespace

const Script::CommandRow Script::kCommands[] = {
  { "site", &Script::Site },         { "organisation", &Script::Organisation },
  { "service", &Script::Service },   { "floor", &Script::Floor },
  { "defect", &Script::Defect },     { "seed", &Script::Seed },
  { "at", &Script::AtTime },         { "demand", &Script::Demand },
  { "kill", &Script::Kill },         { "replace", &Script::Replace },
  { "freeze", &Script::Freeze },     { "thaw", &Script::Thaw },
  { "leave", &Script::Leave },       { "cut", &Script::Cut },
  { "heal", &Script::Heal },         { "store", &Script::Store },
  { "clock", &Script::Clock },       { "server", &Script::Server },
  { "ticket", &Script::Ticket },     { "order", &Script::Order },
  { "withdraw", &Script::Withdraw }, { "limit", &Script::Limit },
  { "shift", &Script::Shift },       { "drain", &Script::Drain },
  { "race", &Script::Race },         { "reset", &Script::Reset },
  { "baseline", &Script::Baseline }, { "expect", &Script::Expect },
};

const Script::MeasureRow Script::kMeasures[] = {
  { "overshoot", &Script::Overshoot },
  { "wrongful", &Script::Wrongful },
  { "overruns", &Script::Overruns },
  { "after-drain", &Script::AfterDrain },
  { "ran", &Script::Ran },
  { "answer", &Script::Answer },
  { "false-not-run", &Script::FalseNotRun },
  { "lowest-revision", &Script::LowestRevision },
  { "highest-revision", &Script::HighestRevision },
  { "reversions", &Script::Reversions },
  { "key", &Script::Key },
  { "store-rate", &Script::StoreRate },
  { "answered", &Script::Answered },
  { "answered-count", &Script::AnsweredCount },
  { "lost", &Script::Lost },
  { "p99", &Script::P99 },
  { "p99-ratio", &Script::P99Ratio },
  { "spilled", &Script::Spilled },
  { "shifted", &Script::Shifted },
  { "free", &Script::Free },
  { "accepted", &Script::Accepted },
  { "remembered", &Script::Remembered },
  { "drained", &Script::Drained },
};

Script::Script(const std::string& aName, std::istream& aText)
  : mName(aName)
{
  unsigned number = 0;
  for (std::string text; std::getline(aText, text);) {
    ++number;
    std::istringstream words(text.substr(0, text.find('#')));
    Line line{ number, {} };
    for (std::string word; words >> word;) {
      line.mWords.push_back(word);
    }
    if (!line.mWords.empty()) {
      mLines.push_back(std::move(line));
    }
  }
  mConfig = { { "revision", 1 }, { "floor_percent", 85 } };
}

std::vector<std::string> Script::Run()
{
  for (const Line& line : mLines) {
    mLineNumber = line.mNumber;
    try {
      Execute(line);
    } catch (const std::exception& error) {
      throw ScriptError(fmt::format("{}:{}: {}", mName, line.mNumber, error.what()));
    }
  }
  return mFailures;
}

void Script::Execute(const Line& aLine)
{
  auto row = std::ranges::find_if(
    kCommands, [&](const CommandRow& aRow) { return aLine.mWords[0] == aRow.mName; });
  if (row == std::end(kCommands)) {
    throw ScriptError("unknown statement: " + aLine.mWords[0]);
  }
  (this->*row->mCommand)(Words(aLine.mWords.begin() + 1, aLine.mWords.end()));
}

// Creates the world at the first line that needs it; until then, statements only change
// the configuration and the options.
World& Script::EnsureWorld()
{
  if (!mWorld) {
    mWorld = std::make_unique<World>(ParseConfig(mConfig.dump()), mOptions);
    for (const auto& [service, time] : mServiceTimes) {
      for (const json& entry : mConfig["services"]) {
        for (const json& server : entry["backend_servers"]) {
          if (entry["name"] == service) {
            mWorld->Server(server["name"]).mServiceTime = time;
          }
        }
      }
    }
    for (const std::string& instance : mInstances) {
      mWorld->AddInstance(instance);
    }
    mStart = mWorld->Now();
    mResetAt = mStart;
  }
  return *mWorld;
}

void Script::Site(const Words& aWords)
{
  long regions = NumberOption(aWords, "regions", 3);
  long centres = NumberOption(aWords, "centres", 2);
  long instances = NumberOption(aWords, "instances", 10);
  std::vector<std::string> names;
  for (long r = 0; r < regions; ++r) {
    json region = { { "name", std::string(1, char('a' + r)) },
                    { "data_centres", json::array() } };
    region["spill_per_s"] = NumberOption(aWords, "spill", 1000);
    region["spill_burst"] = NumberOption(aWords, "spill-burst", 200);
    for (long c = 1; c <= centres; ++c) {
      names.push_back(fmt::format("{}{}", char('a' + r), c));
      region["data_centres"].push_back(names.back());
    }
    mConfig["regions"].push_back(region);
  }
  for (long i = 0; i < instances; ++i) {
    std::size_t centre = static_cast<std::size_t>(i) % names.size();
    mInstances.push_back(fmt::format(
      "{}/{}", names[centre], 1 + static_cast<std::size_t>(i) / names.size()));
  }
}

void Script::Organisation(const Words& aWords)
{
  mConfig["organisations"].push_back(
    { { "name", aWords.at(0) },
      { "rate_per_s", NumberOption(aWords, "rate", 100) },
      { "burst", NumberOption(aWords, "burst", 50) },
      { "keys",
        { { { "id", "first" }, { "sha256", DigestJson(KeyOf(aWords[0])) } } } } });
}

void Script::Service(const Words& aWords)
{
  const std::string& name = aWords.at(0);
  mServiceTimes[name] = std::chrono::milliseconds(NumberOption(aWords, "ms", 10));
  mConfig["profiles"].push_back(
    { { "name", name },
      { "deadline_ms", NumberOption(aWords, "deadline", 1000) },
      { "queue_ms", NumberOption(aWords, "queue", 100) },
      { "ramp_ms", NumberOption(aWords, "ramp", 0) },
      { "spill_percent", NumberOption(aWords, "spill", 50) },
      { "shift_cap_percent", NumberOption(aWords, "cap", 50) } });
  json service = { { "name", name },
                   { "profile", name },
                   { "backend_servers", json::array() } };
  bool order = std::ranges::find(aWords, "order") != aWords.end();
  service["routes"] = { { { "path", "/" + name },
                          { "kind", order ? "order" : "lookup" } } };
  long count = NumberOption(aWords, "servers", 2);
  for (const json& region : mConfig["regions"]) {
    for (const json& centre : region["data_centres"]) {
      for (long i = 1; i <= count; ++i) {
        service["backend_servers"].push_back(
          { { "name", fmt::format("{}-{}-{}", name, centre.get<std::string>(), i) },
            { "data_centre", centre },
            { "address", "127.0.0.1:9000" },
            { "slots", NumberOption(aWords, "slots", 4) } });
      }
    }
  }
  mConfig["services"].push_back(service);
}

void Script::Floor(const Words& aWords)
{
  mConfig["floor_percent"] = std::stol(aWords.at(0));
}

void Script::Defect(const Words& aWords)
{
  mOptions.mForgetTickets |= aWords.at(0) == "forget-tickets";
  mOptions.mAcceptOlder |= aWords.at(0) == "accept-older";
  if (aWords.at(0) == "round-robin") {
    mOptions.mSteering = SteerPolicy::RoundRobin;
  }
  if (aWords.at(0) == "static-split") {
    mOptions.mLimits = LimitPolicy::StaticSplit;
  }
}

void Script::Seed(const Words& aWords)
{
  mOptions.mSeed = static_cast<unsigned>(std::stoul(aWords.at(0)));
}

void Script::AtTime(const Words& aWords)
{
  World& world = EnsureWorld();
  Instant until = mStart + ParseDuration(aWords.at(0));
  if (until < world.Now()) {
    throw ScriptError("the time of \"at\" is in the past");
  }
  world.RunFor(until - world.Now());
}

void Script::Demand(const Words& aWords)
{
  std::map<std::string, double> weights;
  unsigned burst = static_cast<unsigned>(NumberOption(aWords, "burst", 1));
  for (const std::string& word : aWords) {
    std::size_t equals = word.find('=');
    if (equals != std::string::npos) {
      weights[word.substr(0, equals)] = std::stod(word.substr(equals + 1));
    }
  }
  if (weights.empty()) {
    for (const json& region : mConfig["regions"]) {
      for (const json& centre : region["data_centres"]) {
        weights[centre] = 1;
      }
    }
  }
  EnsureWorld().SetDemand(
    aWords.at(0), aWords.at(1), std::stod(aWords.at(2)), weights, burst);
}

void Script::Kill(const Words& aWords)
{
  EnsureWorld().Kill(aWords.at(0));
}

void Script::Replace(const Words& aWords)
{
  EnsureWorld().Replace(aWords.at(0), aWords.size() > 1 && aWords[1] == "elsewhere");
}

void Script::Freeze(const Words& aWords)
{
  EnsureWorld().Freeze(aWords.at(0));
}

void Script::Thaw(const Words& aWords)
{
  EnsureWorld().Thaw(aWords.at(0));
}

void Script::Leave(const Words& aWords)
{
  EnsureWorld().Leave(aWords.at(0));
}

void Script::Cut(const Words& aWords)
{
  EnsureWorld().Cut(aWords.at(0), aWords.at(1));
}

void Script::Heal(const Words&)
{
  EnsureWorld().RemoveCuts();
}

void Script::Store(const Words& aWords)
{
  EnsureWorld().SetStore(aWords.at(0));
}

void Script::Clock(const Words& aWords)
{
  EnsureWorld().SetClockRate(aWords.at(0), std::stoi(aWords.at(1)));
}

void Script::Server(const Words& aWords)
{
  World& world = EnsureWorld();
  FakeBackendServer& server = world.Server(aWords.at(0));
  const std::string& what = aWords.at(1);
  if (what == "down" || what == "up") {
    server.mDown = what == "down";
  } else if (what == "drain" || what == "undrain") {
    server.mDraining = what == "drain";
    server.mDrainingSince = world.Now();
  } else if (what == "freeze-reports") {
    server.mReportsFrozen = true;
  } else if (what == "report") {
    server.mReportsFrozen = false;
  } else if (what == "lie" || what == "honest") {
    server.mFalseReports = what == "lie";
  } else if (what == "ms") {
    server.mServiceTime = std::chrono::milliseconds(std::stol(aWords.at(2)));
  } else if (what == "cold") {
    server.mColdUntil = world.Now() + ParseDuration(aWords.at(2));
  } else if (what == "fault") {
    server.mFault = aWords.at(2);
  } else {
    throw ScriptError("unknown action on a server: " + what);
  }
}

void Script::Ticket(const Words& aWords)
{
  EnsureWorld().IssueTicket(aWords.at(0), aWords.at(1));
}

void Script::Order(const Words& aWords)
{
  EnsureWorld().PresentOrder(
    aWords.at(0), aWords.at(1), aWords.size() > 2 ? aWords[2] : "body");
}

void Script::Withdraw(const Words& aWords)
{
  std::string name = aWords.at(0);
  EnsureWorld().ChangeConfig("operator", [name](std::string aText) {
    json config = json::parse(aText);
    for (json& organisation : config["organisations"]) {
      if (organisation["name"] == name) {
        organisation["keys"] = json::array();
      }
    }
    return config.dump();
  });
}

void Script::Limit(const Words& aWords)
{
  std::string name = aWords.at(0);
  long rate = NumberOption(aWords, "rate", 100);
  long burst = NumberOption(aWords, "burst", 50);
  EnsureWorld().ChangeConfig("operator", [=](std::string aText) {
    json config = json::parse(aText);
    for (json& organisation : config["organisations"]) {
      if (organisation["name"] == name) {
        organisation["rate_per_s"] = rate;
        organisation["burst"] = burst;
      }
    }
    return config.dump();
  });
}

void Script::Shift(const Words& aWords)
{
  json shift = { { "service", aWords.at(0) },
                 { "from", aWords.at(1) },
                 { "to", aWords.at(2) },
                 { "percent", std::stol(aWords.at(3)) } };
  EnsureWorld().ChangeConfig("operator", [shift](std::string aText) {
    json config = json::parse(aText);
    config["steering"]["shifts"] = { shift };
    return config.dump();
  });
}

void Script::Drain(const Words& aWords)
{
  World& world = EnsureWorld();
  std::string name = aWords.at(0);
  FakeBackendServer& server = world.Server(name);
  server.mDraining = true;
  server.mReportsFrozen = true; // the drain is known only from the configuration
  server.mDrainingSince = world.Now();
  world.ChangeConfig("operator", [name](std::string aText) {
    json config = json::parse(aText);
    config["steering"]["drained"].push_back(name);
    return config.dump();
  });
}

void Script::Race(const Words& aWords)
{
  for (long i = 0; i < std::stol(aWords.at(0)); ++i) {
    EnsureWorld().ChangeConfig("operator", [i](std::string aText) {
      json config = json::parse(aText);
      config["operation"] = fmt::format("race-{}", i);
      return config.dump();
    });
  }
}

void Script::Reset(const Words&)
{
  World& world = EnsureWorld();
  world.ResetTallies();
  mResetAt = world.Now();
  mStoreCallsAtReset = world.StoreCalls();
}

void Script::Baseline(const Words&)
{
  EnsureWorld();
  for (const json& organisation : mConfig["organisations"]) {
    std::string name = organisation["name"];
    mBaselineP99[name] = P99({ name });
  }
}

void Script::Expect(const Words& aWords)
{
  auto row = std::ranges::find_if(
    kMeasures, [&](const MeasureRow& aRow) { return aWords.at(0) == aRow.mName; });
  if (row == std::end(kMeasures) || aWords.size() < 3) {
    throw ScriptError("expect needs a known measure, a comparison and a value");
  }
  EnsureWorld();
  Words arguments(aWords.begin() + 1, aWords.end() - 2);
  std::string measured = (this->*row->mMeasure)(arguments);
  const std::string& comparison = aWords[aWords.size() - 2];
  const std::string& wanted = aWords.back();
  bool holds = false;
  if (comparison == "=" && !std::isdigit(static_cast<unsigned char>(wanted[0]))) {
    holds = measured == wanted;
  } else {
    double value = std::stod(measured);
    double bound = std::stod(wanted);
    holds = comparison == "="    ? value == bound
            : comparison == "<=" ? value <= bound
            : comparison == ">=" ? value >= bound
            : comparison == ">"  ? value > bound
                                 : value < bound;
  }
  if (!holds) {
    std::string what;
    for (const std::string& word : aWords) {
      what += word + " ";
    }
    mFailures.push_back(fmt::format(
      "{}:{}: expected {}but measured {}", mName, mLineNumber, what, measured));
  }
}

std::string Script::Overshoot(const Words&)
{
  return std::to_string(mWorld->Overshoot());
}

std::string Script::Wrongful(const Words& aWords)
{
  return FormatNumber(aWords.empty() ? mWorld->WrongfulPercent()
                                     : mWorld->WrongfulPercent(aWords[0]));
}

std::string Script::Overruns(const Words&)
{
  return std::to_string(mWorld->Overruns());
}

std::string Script::AfterDrain(const Words&)
{
  return std::to_string(mWorld->NewWorkAfterDrain());
}

std::string Script::Ran(const Words& aWords)
{
  return std::to_string(mWorld->ExecutionCount(aWords.at(0)));
}

std::string Script::Answer(const Words& aWords)
{
  return mWorld->LastAnswer(aWords.at(0));
}

std::string Script::FalseNotRun(const Words&)
{
  return std::to_string(mWorld->FalseNotRun());
}

std::string Script::LowestRevision(const Words&)
{
  return std::to_string(mWorld->LowestRevision());
}

std::string Script::HighestRevision(const Words&)
{
  return std::to_string(mWorld->HighestRevision());
}

std::string Script::Reversions(const Words&)
{
  return std::to_string(mWorld->Reversions());
}

std::string Script::Key(const Words& aWords)
{
  return mWorld->KeyAccepted(aWords.at(0), KeyOf(aWords.at(1))) ? "accepted" : "refused";
}

std::string Script::StoreRate(const Words&)
{
  double seconds = std::chrono::duration<double>(mWorld->Now() - mResetAt).count();
  // World does not count the calls of configuration watches, so they are added here: one
  // watch in each of the two data centres of a region, whose calls last two seconds each.
  double watches = 0.5 * double(mConfig["regions"].size());
  return FormatNumber(double(mWorld->StoreCalls() - mStoreCallsAtReset) / seconds +
                      2 * watches);
}

std::string Script::Answered(const Words& aWords)
{
  const OrganisationTally& tally = mWorld->Tally(aWords.at(0));
  return FormatNumber(100.0 * double(tally.mAnswered) / double(tally.mArrived));
}

std::string Script::AnsweredCount(const Words& aWords)
{
  return std::to_string(mWorld->Tally(aWords.at(0)).mAnswered);
}

std::string Script::Lost(const Words& aWords)
{
  return std::to_string(mWorld->Tally(aWords.at(0)).mLost);
}

std::string Script::P99(const Words& aWords)
{
  std::vector<double> latencies = mWorld->Tally(aWords.at(0)).mLatencies;
  std::ranges::sort(latencies);
  return latencies.empty() ? "0" : FormatNumber(latencies[latencies.size() * 99 / 100]);
}

// The current 99th percentile of latency, divided by that at `baseline`.
std::string Script::P99Ratio(const Words& aWords)
{
  return FormatNumber(std::stod(P99(aWords)) / std::stod(mBaselineP99.at(aWords.at(0))));
}

std::string Script::Spilled(const Words&)
{
  return std::to_string(mWorld->Spilled());
}

std::string Script::Shifted(const Words&)
{
  return std::to_string(mWorld->Shifted());
}

std::string Script::Free(const Words& aWords)
{
  return std::to_string(mWorld->FreeSlots(aWords.at(0), aWords.at(1)));
}

std::string Script::Accepted(const Words&)
{
  return std::to_string(mWorld->ChangesAccepted());
}

std::string Script::Remembered(const Words&)
{
  return std::to_string(mWorld->RememberedOrders());
}

std::string Script::Drained(const Words& aWords)
{
  Duration time = mWorld->DrainTime(aWords.at(0));
  return time == Duration::max()
           ? "-1"
           : FormatNumber(std::chrono::duration<double, std::milli>(time).count());
}

} // namespace vanillaloft::world
