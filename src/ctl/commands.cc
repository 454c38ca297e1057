#include "ctl/commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

#include <fmt/format.h>

namespace vanillaloft::ctl {

const std::vector<base::Flag>& Flags()
{
  static const std::vector<base::Flag> sFlags = {
    { "store", "127.0.0.1:8500", false, "IP address and port of the platform's store" },
    { "instances",
      "",
      false,
      "operators' addresses of the instances, separated by commas" },
    { "output", "text", false, "text or json, for status" },
  };
  return sFlags;
}

namespace {

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw CommandError(kExitUsage, fmt::format("{}: cannot read the file", aPath));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Json ReadConfigFile(const std::string& aPath)
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

} // namespace

const Commands::CommandRow Commands::kCommands[] = {
  { "check",
    1,
    &Commands::Check,
    "FILE: checks a configuration file and changes nothing" },
  { "show", 0, &Commands::Show, "prints the configuration in the store" },
  { "diff", 1, &Commands::Diff, "FILE: shows what apply would change" },
  { "apply",
    1,
    &Commands::Apply,
    "FILE: puts a configuration in force as a new revision" },
  { "history", 0, &Commands::History, "lists the latest revisions" },
  { "rollback",
    1,
    &Commands::Rollback,
    "REVISION: applies a former revision as a new one" },
  { "issue-key", 3, &Commands::IssueKey, "ORGANISATION ID KEY: issues a key" },
  { "withdraw-key", 2, &Commands::WithdrawKey, "ORGANISATION ID: withdraws a key" },
  { "drain",
    1,
    &Commands::Drain,
    "NAME: stops new requests to a backend server or data centre" },
  { "undrain", 1, &Commands::Undrain, "NAME: ends a drain" },
  { "shift",
    4,
    &Commands::Shift,
    "SERVICE FROM TO PERCENT: moves a percentage of the traffic" },
  { "run", 1, &Commands::RunRunbook, "RUNBOOK: starts a runbook" },
  { "runs", 0, &Commands::Runs, "shows the open or last run and what it waits for" },
  { "pause", 0, &Commands::PauseRun, "pauses the open run before its next step" },
  { "resume", 0, &Commands::ResumeRun, "continues a paused run" },
  { "abort", 0, &Commands::AbortRun, "ends the open run and undoes its steering" },
  { "status", 0, &Commands::Status, "prints one line for each instance" },
  { "state", 1, &Commands::State, "IP:PORT: prints the state of one instance" },
};

std::string Commands::Usage()
{
  std::string text = "usage: vanillaloft [FLAGS] COMMAND [ARGUMENTS]\n";
  for (const CommandRow& row : kCommands) {
    text += fmt::format("  {:<14} {}\n", row.mName, row.mHelp);
  }
  return text + "flags:\n" + base::Settings::Help(Flags()) +
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
    if (aArguments.size() != row.mArgumentCount) {
      throw CommandError(kExitUsage,
                         fmt::format("usage: vanillaloft {} {}", row.mName, row.mHelp));
    }
    co_return co_await (this->*row.mMethod)(std::move(aArguments));
  }
  throw CommandError(kExitUsage, Usage());
}

Awaitable<int> Commands::Check(Arguments aArguments)
{
  ReadConfigFile(aArguments[0]);
  std::cout << aArguments[0] << ": ok\n";
  co_return kExitOk;
}

Awaitable<int> Commands::Show(Arguments)
{
  StoredConfig stored = co_await mClient.ReadConfig();
  std::cout << stored.mText;
  co_return stored.mVersion != 0 ? kExitOk : kExitFailure;
}

// Prints the differences as JSON Patch operations, one per line.
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
  Json next = ReadConfigFile(aArguments[0]);
  StoredConfig stored = co_await mClient.ReadConfig();
  co_return co_await PrintDiff(stored.mJson, std::move(next));
}

Awaitable<int> Commands::WriteAndConfirm(StoredConfig aBase, Json aNext)
{
  base::Revision revision =
    co_await mClient.WriteConfig(std::move(aBase), std::move(aNext));
  std::cout << "revision " << revision << " accepted\n" << std::flush;
  bool confirmed = co_await mClient.WaitUntilInForce(revision);
  co_return confirmed ? kExitOk : kExitNotConfirmed;
}

Awaitable<int> Commands::Apply(Arguments aArguments)
{
  Json next = ReadConfigFile(aArguments[0]);
  StoredConfig stored = co_await mClient.ReadConfig();
  base::Revision expected = next.value("revision", base::Revision(0));
  base::Revision current = stored.mJson.value("revision", base::Revision(0));
  if (expected != 0 && expected != current) {
    throw CommandError(
      kExitFailure,
      fmt::format("the file is based on revision {}, but the store contains {}; "
                  "nothing was written",
                  expected,
                  current));
  }
  co_return co_await WriteAndConfirm(std::move(stored), std::move(next));
}

Awaitable<int> Commands::History(Arguments)
{
  constexpr base::Revision kMaxFormerRevisions = 20;
  StoredConfig stored = co_await mClient.ReadConfig();
  base::Revision current = stored.mJson.value("revision", base::Revision(0));
  base::Revision oldest =
    current > kMaxFormerRevisions ? current - kMaxFormerRevisions : 1;
  for (base::Revision revision = oldest; revision <= current; ++revision) {
    store::Value kept = co_await mClient.Store().Read(store::HistoryKey(revision));
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
  StoredConfig stored = co_await mClient.ReadConfig();
  co_return co_await WriteAndConfirm(std::move(stored), Json::parse(text));
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

Awaitable<int> Commands::IssueKey(Arguments aArguments)
{
  StoredConfig stored = co_await mClient.ReadConfig();
  Json next = stored.mJson;
  Json key = { { "id", aArguments[1] }, { "sha256", DigestOfKey(aArguments[2]) } };
  FindOrganisation(next, aArguments[0])["keys"].push_back(key);
  co_return co_await WriteAndConfirm(std::move(stored), std::move(next));
}

Awaitable<int> Commands::WithdrawKey(Arguments aArguments)
{
  StoredConfig stored = co_await mClient.ReadConfig();
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
  co_return co_await WriteAndConfirm(std::move(stored), std::move(next));
}

// Callers pass a named object, because g++ 12 destroys a temporary aggregate twice if it
// is an argument of an awaited call.
Awaitable<int> Commands::ApplySteering(decide::SteeringChange aChange)
{
  StoredConfig stored = co_await mClient.ReadConfig();
  Json next = Json::parse(decide::EditSteering(stored.mJson.dump(), aChange, 0, ""));
  co_return co_await WriteAndConfirm(std::move(stored), std::move(next));
}

Awaitable<int> Commands::Drain(Arguments aArguments)
{
  decide::SteeringChange change{ decide::Action::Drain, aArguments[0], "", "", "", 0 };
  co_return co_await ApplySteering(std::move(change));
}

Awaitable<int> Commands::Undrain(Arguments aArguments)
{
  decide::SteeringChange change{ decide::Action::Undrain, aArguments[0], "", "", "", 0 };
  co_return co_await ApplySteering(std::move(change));
}

Awaitable<int> Commands::Shift(Arguments aArguments)
{
  auto percent = static_cast<unsigned>(std::strtoul(aArguments[3].c_str(), nullptr, 10));
  decide::SteeringChange change{ decide::Action::Shift, "",
                                 aArguments[0],         aArguments[1],
                                 aArguments[2],         percent };
  co_return co_await ApplySteering(std::move(change));
}

// Returns the requests in flight for each service, as counted by the instances that own
// the backend servers.
Awaitable<std::vector<unsigned>> Commands::InFlight(const decide::Config& aConfig)
{
  std::vector<unsigned> inFlight(aConfig.mServices.size());
  for (const InstanceState& state : co_await mClient.ReadStates()) {
    Json servers = state.mState.value("backend_servers", Json::array());
    for (const Json& server : servers) {
      auto found = std::ranges::find(
        aConfig.mBackendServers, server.value("name", ""), &decide::BackendServer::mName);
      if (server.value("owned", false) && found != aConfig.mBackendServers.end()) {
        inFlight[found->mService.Value()] += server.value("in_flight", 0U);
      }
    }
  }
  co_return inFlight;
}

Awaitable<int> Commands::RunRunbook(Arguments aArguments)
{
  StoredConfig stored = co_await mClient.ReadConfig();
  decide::ConfigPtr config = decide::ParseConfig(stored.mText);
  auto runbook =
    std::ranges::find(config->mRunbooks, aArguments[0], &decide::Runbook::mName);
  if (runbook == config->mRunbooks.end()) {
    throw CommandError(kExitFailure,
                       fmt::format("there is no runbook '{}'", aArguments[0]));
  }
  std::vector<unsigned> inFlight = co_await InFlight(*config);
  std::string refusal = decide::RunbookRefusal(*config, *runbook, inFlight);
  if (!refusal.empty()) {
    throw CommandError(kExitFailure, "refused: " + refusal);
  }
  std::string key(decide::Run::kKey);
  store::Value recorded = co_await mClient.Store().Read(key);
  if (recorded.mVersion != 0 && decide::Run::Parse(recorded.mText).IsOpen()) {
    throw CommandError(kExitFailure, "another run is open; see 'vanillaloft runs'");
  }
  decide::Run run;
  run.mId = NewOperationId();
  run.mRunbook = aArguments[0];
  run.mUndo = decide::SteeringOf(stored.mText);
  run.mNote = "started";
  if (!co_await mClient.Store().CompareAndSwap(key, recorded.mVersion, run.Text())) {
    throw CommandError(kExitFailure,
                       "another operator started a run; see 'vanillaloft runs'");
  }
  std::cout << "run " << run.mId << " of " << run.mRunbook << " started\n";
  co_return kExitOk;
}

Awaitable<int> Commands::Runs(Arguments)
{
  store::Value recorded = co_await mClient.Store().Read(std::string(decide::Run::kKey));
  if (recorded.mVersion == 0) {
    std::cout << "no run\n";
    co_return kExitOk;
  }
  decide::Run run = decide::Run::Parse(recorded.mText);
  std::cout << fmt::format("run {} of {}: {}, step {}, {}\n",
                           run.mId,
                           run.mRunbook,
                           decide::Name(run.mState),
                           run.mStep + 1,
                           run.mNote);
  co_return kExitOk;
}

// A runner may write between the read and the compare-and-swap, so a failed swap is
// retried.
Awaitable<int> Commands::SetRunState(decide::RunState aState, std::string aNote)
{
  constexpr int kMaxAttempts = 5;
  std::string key(decide::Run::kKey);
  for (int i = 0; i < kMaxAttempts; ++i) {
    store::Value recorded = co_await mClient.Store().Read(key);
    if (recorded.mVersion == 0 || !decide::Run::Parse(recorded.mText).IsOpen()) {
      throw CommandError(kExitFailure, "no run is open");
    }
    decide::Run run = decide::Run::Parse(recorded.mText);
    run.mState = aState;
    run.mNote = aNote;
    run.mSequence += 1;
    if (co_await mClient.Store().CompareAndSwap(key, recorded.mVersion, run.Text())) {
      std::cout << "run " << run.mId << ": " << decide::Name(aState) << "\n";
      co_return kExitOk;
    }
  }
  throw CommandError(kExitFailure,
                     "the run was changed concurrently too often; nothing was written");
}

Awaitable<int> Commands::PauseRun(Arguments)
{
  co_return co_await SetRunState(decide::RunState::Paused, "paused by an operator");
}

Awaitable<int> Commands::ResumeRun(Arguments)
{
  co_return co_await SetRunState(decide::RunState::Running, "resumed");
}

Awaitable<int> Commands::AbortRun(Arguments)
{
  co_return co_await SetRunState(decide::RunState::Aborting, "aborting");
}

Awaitable<int> Commands::Status(Arguments)
{
  Json all = Json::array();
  bool complete = true;
  for (const InstanceState& state : co_await mClient.ReadStates()) {
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
    const Json& values = state.mState;
    std::cout << fmt::format(
      "{:<21} {:<12} revision {} {}{} store {} peers {} shares {} running {} free {}\n",
      state.mAdminAddress,
      values.value("data_centre", ""),
      values.value("revision", 0),
      values.value("ready", false) ? "ready" : "not ready",
      values.value("leaving", false) ? " leaving" : "",
      values.value("store_available", false) ? "ok" : "unavailable",
      values["peers"].size(),
      values.value("share_holder", false) ? "held" : "-",
      values.value("requests_running", 0),
      values["free_slots"].dump());
  }
  if (mSettings.Text("output") == "json") {
    std::cout << all.dump(2) << "\n";
  }
  co_return complete ? kExitOk : kExitNotConfirmed;
}

Awaitable<int> Commands::State(Arguments aArguments)
{
  Client client(mClient.Store(), { aArguments[0] });
  InstanceState state = (co_await client.ReadStates()).front();
  if (!state.mAnswered) {
    throw CommandError(kExitFailure, aArguments[0] + " does not answer");
  }
  std::cout << state.mState.dump(2) << "\n";
  co_return kExitOk;
}

} // namespace vanillaloft::ctl
