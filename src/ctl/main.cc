// vanillaloft: the operators' command line.
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <fmt/format.h>

#include "base/settings.h"
#include "ctl/client.h"
#include "store/http.h"

namespace {

using namespace vanillaloft;
using namespace vanillaloft::ctl;

constexpr std::chrono::milliseconds kStoreTimeout{ 2000 };

const std::vector<base::Flag> kFlags = {
  { "store", "127.0.0.1:8500", false, "IP address and port of the platform's store" },
  { "instances",
    "",
    false,
    "operators' addresses of the instances, separated by commas" },
  { "output", "text", false, "text or json, for status" },
};

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw CommandError(kExitUsage, fmt::format("{}: cannot be read", aPath));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Json ParseFile(const std::string& aPath)
{
  std::string text = ReadFile(aPath);
  try {
    decide::ParseConfig(text);
    return Json::parse(text);
  } catch (const decide::ConfigError& error) {
    throw CommandError(kExitFailure, fmt::format("{}: {}", aPath, error.what()));
  }
}

std::string DigestOfKey(const std::string& aKey)
{
  decide::KeyDigest digest = decide::DigestKey(aKey);
  return decide::Hex({ reinterpret_cast<const char*>(digest.data()), digest.size() });
}

// The commands; each takes its arguments in order.
class Commands
{
public:
  Commands(Client& aClient, const base::Settings& aSettings)
    : mClient(aClient)
    , mSettings(aSettings)
  {
  }

  // Runs the command that the arguments name; returns the exit code.
  Awaitable<int> Run(std::vector<std::string> aArguments);

  static std::string Usage();

private:
  using Arguments = std::vector<std::string>;
  using Method = Awaitable<int> (Commands::*)(Arguments);
  struct CommandRow
  {
    const char* mName;
    std::size_t mArguments;
    Method mMethod;
    const char* mHelp;
  };
  static const CommandRow kCommands[];

  Awaitable<int> Check(Arguments aArguments);
  Awaitable<int> Show(Arguments aArguments);
  Awaitable<int> Diff(Arguments aArguments);
  Awaitable<int> Apply(Arguments aArguments);
  Awaitable<int> History(Arguments aArguments);
  Awaitable<int> Rollback(Arguments aArguments);
  Awaitable<int> KeysIssue(Arguments aArguments);
  Awaitable<int> KeysWithdraw(Arguments aArguments);
  Awaitable<int> Drain(Arguments aArguments);
  Awaitable<int> Undrain(Arguments aArguments);
  Awaitable<int> Shift(Arguments aArguments);
  Awaitable<int> Status(Arguments aArguments);
  Awaitable<int> State(Arguments aArguments);
  Awaitable<int> Put(Stored aBase, Json aNext);
  Awaitable<int> PrintDiff(Json aFrom, Json aTo);

  Client& mClient;
  const base::Settings& mSettings;
};

const Commands::CommandRow Commands::kCommands[] = {
  { "check", 1, &Commands::Check, "FILE: checks a configuration file, changes nothing" },
  { "show", 0, &Commands::Show, "prints the configuration in the store" },
  { "diff", 1, &Commands::Diff, "FILE: what apply would change" },
  { "apply",
    1,
    &Commands::Apply,
    "FILE: puts a configuration in force as a new revision" },
  { "history", 0, &Commands::History, "lists the revisions that are kept" },
  { "rollback",
    1,
    &Commands::Rollback,
    "REVISION: applies a former revision as a new one" },
  { "issue-key", 3, &Commands::KeysIssue, "ORGANISATION ID KEY: issues a key" },
  { "withdraw-key", 2, &Commands::KeysWithdraw, "ORGANISATION ID: withdraws a key" },
  { "drain",
    1,
    &Commands::Drain,
    "NAME: no new work for a backend server or data centre" },
  { "undrain", 1, &Commands::Undrain, "NAME: ends a drain" },
  { "shift",
    4,
    &Commands::Shift,
    "SERVICE FROM TO PERCENT: moves a part of the traffic" },
  { "status", 0, &Commands::Status, "one line for each instance" },
  { "state", 1, &Commands::State, "IP:PORT: dump of one instance's state" },
};

std::string Commands::Usage()
{
  std::string text = "usage: vanillaloft [FLAGS] COMMAND [ARGUMENTS]\n";
  for (const CommandRow& row : kCommands) {
    text += fmt::format("  {:<14} {}\n", row.mName, row.mHelp);
  }
  return text + "flags:\n" + base::Settings::Help(kFlags) +
         "exit codes: 0 done, 1 refused and nothing changed, 2 wrong use, 3 accepted but "
         "not "
         "confirmed everywhere, 4 outcome unknown\n";
}

Awaitable<int> Commands::Run(std::vector<std::string> aArguments)
{
  for (const CommandRow& row : kCommands) {
    if (aArguments.empty() || aArguments[0] != row.mName) {
      continue;
    }
    aArguments.erase(aArguments.begin());
    if (aArguments.size() != row.mArguments) {
      throw CommandError(kExitUsage,
                         fmt::format("usage: vanillaloft {} {}", row.mName, row.mHelp));
    }
    co_return co_await (this->*row.mMethod)(std::move(aArguments));
  }
  throw CommandError(kExitUsage, Usage());
}

Awaitable<int> Commands::Check(Arguments aArguments)
{
  ParseFile(aArguments[0]);
  std::cout << aArguments[0] << ": ok\n";
  co_return kExitOk;
}

Awaitable<int> Commands::Show(Arguments)
{
  Stored stored = co_await mClient.ReadConfig();
  std::cout << stored.mText;
  co_return stored.mVersion != 0 ? kExitOk : kExitFailure;
}

// Differences as a list of JSON Patch operations, one a line.
Awaitable<int> Commands::PrintDiff(Json aFrom, Json aTo)
{
  for (const char* field : { "revision", "operation", "previous" }) {
    aFrom.erase(field);
    aTo.erase(field);
  }
  for (const Json& change : Json::diff(aFrom, aTo)) {
    std::cout << change.dump() << "\n";
  }
  co_return kExitOk;
}

Awaitable<int> Commands::Diff(Arguments aArguments)
{
  Json next = ParseFile(aArguments[0]);
  Stored stored = co_await mClient.ReadConfig();
  co_return co_await PrintDiff(stored.mJson, std::move(next));
}

Awaitable<int> Commands::Put(Stored aBase, Json aNext)
{
  base::Revision revision = co_await mClient.Change(std::move(aBase), std::move(aNext));
  std::cout << "revision " << revision << " accepted\n" << std::flush;
  bool everywhere = co_await mClient.Confirm(revision);
  co_return everywhere ? kExitOk : kExitNotConfirmed;
}

Awaitable<int> Commands::Apply(Arguments aArguments)
{
  Json next = ParseFile(aArguments[0]);
  Stored stored = co_await mClient.ReadConfig();
  base::Revision expected = next.value("revision", base::Revision(0));
  base::Revision current = stored.mJson.value("revision", base::Revision(0));
  if (expected != 0 && expected != current) {
    throw CommandError(
      kExitFailure,
      fmt::format("the file was made from revision {}, the store holds {}; "
                  "nothing was written",
                  expected,
                  current));
  }
  co_return co_await Put(std::move(stored), std::move(next));
}

Awaitable<int> Commands::History(Arguments)
{
  constexpr base::Revision kListed = 20;
  Stored stored = co_await mClient.ReadConfig();
  base::Revision current = stored.mJson.value("revision", base::Revision(0));
  base::Revision oldest = current > kListed ? current - kListed : 1;
  for (base::Revision revision = oldest; revision <= current; ++revision) {
    store::Value kept = co_await mClient.Store().Read(HistoryKey(revision));
    std::string digest = kept.mVersion == 0 ? "not kept" : decide::DigestText(kept.mText);
    std::cout << revision << " " << digest << (revision == current ? " current" : "")
              << "\n";
  }
  co_return kExitOk;
}

Awaitable<int> Commands::Rollback(Arguments aArguments)
{
  base::Revision revision = std::strtoull(aArguments[0].c_str(), nullptr, 10);
  std::string text = co_await mClient.ReadRevision(revision);
  Stored stored = co_await mClient.ReadConfig();
  co_return co_await Put(std::move(stored), Json::parse(text));
}

Json& FindOrganisation(Json& aConfig, const std::string& aName)
{
  for (Json& organisation : aConfig["organisations"]) {
    if (organisation.value("name", "") == aName) {
      return organisation;
    }
  }
  throw CommandError(kExitFailure, fmt::format("there is no organisation '{}'", aName));
}

Awaitable<int> Commands::KeysIssue(Arguments aArguments)
{
  Stored stored = co_await mClient.ReadConfig();
  Json next = stored.mJson;
  Json key = { { "id", aArguments[1] }, { "sha256", DigestOfKey(aArguments[2]) } };
  FindOrganisation(next, aArguments[0])["keys"].push_back(key);
  co_return co_await Put(std::move(stored), std::move(next));
}

Awaitable<int> Commands::KeysWithdraw(Arguments aArguments)
{
  Stored stored = co_await mClient.ReadConfig();
  Json next = stored.mJson;
  Json& keys = FindOrganisation(next, aArguments[0])["keys"];
  std::size_t before = keys.size();
  for (std::size_t i = keys.size(); i-- > 0;) {
    if (keys[i].value("id", "") == aArguments[1]) {
      keys.erase(i);
    }
  }
  if (keys.size() == before) {
    throw CommandError(kExitFailure, fmt::format("there is no key '{}'", aArguments[1]));
  }
  co_return co_await Put(std::move(stored), std::move(next));
}

Awaitable<int> Commands::Drain(Arguments aArguments)
{
  Stored stored = co_await mClient.ReadConfig();
  Json next = stored.mJson;
  Json& drained = next["steering"]["drained"];
  if (std::ranges::find(drained, Json(aArguments[0])) == drained.end()) {
    drained.push_back(aArguments[0]);
  }
  co_return co_await Put(std::move(stored), std::move(next));
}

Awaitable<int> Commands::Undrain(Arguments aArguments)
{
  Stored stored = co_await mClient.ReadConfig();
  Json next = stored.mJson;
  Json& drained = next["steering"]["drained"];
  Json kept = Json::array();
  for (const Json& name : drained) {
    if (name != aArguments[0]) {
      kept.push_back(name);
    }
  }
  drained = kept;
  co_return co_await Put(std::move(stored), std::move(next));
}

Awaitable<int> Commands::Shift(Arguments aArguments)
{
  Stored stored = co_await mClient.ReadConfig();
  Json next = stored.mJson;
  Json kept = Json::array();
  for (const Json& shift : next["steering"]["shifts"]) {
    if (shift.value("service", "") != aArguments[0] ||
        shift.value("from", "") != aArguments[1]) {
      kept.push_back(shift);
    }
  }
  long percent = std::strtol(aArguments[3].c_str(), nullptr, 10);
  if (percent != 0) {
    kept.push_back({ { "service", aArguments[0] },
                     { "from", aArguments[1] },
                     { "to", aArguments[2] },
                     { "percent", percent } });
  }
  next["steering"]["shifts"] = kept;
  co_return co_await Put(std::move(stored), std::move(next));
}

Awaitable<int> Commands::Status(Arguments)
{
  Json all = Json::array();
  bool complete = true;
  for (const InstanceState& state : co_await mClient.States()) {
    complete = complete && state.mAnswered;
    if (mSettings.Text("output") == "json") {
      all.push_back({ { "admin", state.mAdminAddress },
                      { "answered", state.mAnswered },
                      { "state", state.mState } });
      continue;
    }
    if (!state.mAnswered) {
      std::cout << fmt::format("{:<21} does not answer\n", state.mAdminAddress);
      continue;
    }
    const Json& s = state.mState;
    std::cout << fmt::format(
      "{:<21} {:<12} revision {} {}{} store {} peers {} shares {} running {} free {}\n",
      state.mAdminAddress,
      s.value("data_centre", ""),
      s.value("revision", 0),
      s.value("ready", false) ? "ready" : "not ready",
      s.value("leaving", false) ? " leaving" : "",
      s.value("store_available", false) ? "ok" : "unavailable",
      s["peers"].size(),
      s.value("share_holder", false) ? "held" : "-",
      s.value("requests_running", 0),
      s["free_slots"].dump());
  }
  if (mSettings.Text("output") == "json") {
    std::cout << all.dump(2) << "\n";
  }
  co_return complete ? kExitOk : kExitNotConfirmed;
}

Awaitable<int> Commands::State(Arguments aArguments)
{
  Client one(mClient.Store(), { aArguments[0] });
  InstanceState state = (co_await one.States()).front();
  if (!state.mAnswered) {
    throw CommandError(kExitFailure, aArguments[0] + " does not answer");
  }
  std::cout << state.mState.dump(2) << "\n";
  co_return kExitOk;
}

std::vector<std::string> SplitCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    base::ParseHostPort("--instances", part);
    parts.push_back(part);
  }
  return parts;
}

int RunCommand(const base::Settings& aSettings)
{
  store::HttpStore store(aSettings.Address("store"), kStoreTimeout);
  Client client(store, SplitCommas(aSettings.Text("instances")));
  Commands commands(client, aSettings);
  boost::asio::io_context context(1);
  int exitCode = kExitFailure;
  std::exception_ptr failure;
  boost::asio::co_spawn(context,
                        commands.Run(aSettings.Positional()),
                        [&](std::exception_ptr aFailure, int aExitCode) {
                          failure = aFailure;
                          exitCode = aExitCode;
                        });
  context.run();
  if (failure) {
    std::rethrow_exception(failure);
  }
  return exitCode;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  try {
    base::Settings settings = base::Settings::Parse(aArgc, aArgv, kFlags);
    if (settings.WantsHelp()) {
      std::cout << Commands::Usage();
      return kExitOk;
    }
    if (settings.WantsVersion()) {
      std::cout << "vanillaloft " VANILLALOFT_VERSION "\n";
      return kExitOk;
    }
    return RunCommand(settings);
  } catch (const CommandError& error) {
    std::cerr << error.what() << "\n";
    return error.ExitCode();
  } catch (const base::SettingError& error) {
    std::cerr << error.what() << "\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "the store or an instance did not answer as expected: " << error.what()
              << "\n";
    return kExitFailure;
  }
}
