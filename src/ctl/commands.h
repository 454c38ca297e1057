// The operators' commands.
#pragma once

#include <string>
#include <vector>

#include "base/settings.h"
#include "ctl/client.h"
#include "decide/runbook.h"

namespace vanillaloft::ctl {

// Flags of the command line.
const std::vector<base::Flag>& Flags();

// The commands. Each takes its positional arguments in order.
class Commands
{
public:
  Commands(Client& aClient, const base::Settings& aSettings)
    : mClient(aClient)
    , mSettings(aSettings)
  {
  }

  // Runs the command named by the first argument and returns its exit code. Throws
  // CommandError.
  Awaitable<int> Run(std::vector<std::string> aArguments);

  static std::string Usage();

private:
  using Arguments = std::vector<std::string>;
  using Method = Awaitable<int> (Commands::*)(Arguments);
  struct CommandRow
  {
    const char* mName;
    std::size_t mArgumentCount;
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
  Awaitable<int> IssueKey(Arguments aArguments);
  Awaitable<int> WithdrawKey(Arguments aArguments);
  Awaitable<int> Drain(Arguments aArguments);
  Awaitable<int> Undrain(Arguments aArguments);
  Awaitable<int> Shift(Arguments aArguments);
  Awaitable<int> RunRunbook(Arguments aArguments);
  Awaitable<int> Runs(Arguments aArguments);
  Awaitable<int> PauseRun(Arguments aArguments);
  Awaitable<int> ResumeRun(Arguments aArguments);
  Awaitable<int> AbortRun(Arguments aArguments);
  Awaitable<int> Status(Arguments aArguments);
  Awaitable<int> State(Arguments aArguments);
  Awaitable<int> WriteAndConfirm(StoredConfig aBase, Json aNext);
  Awaitable<int> ApplySteering(decide::SteeringChange aChange);
  Awaitable<std::vector<unsigned>> InFlight(const decide::Config& aConfig);
  Awaitable<int> SetRunState(decide::RunState aState, std::string aNote);
  Awaitable<int> PrintDiff(Json aFrom, Json aTo);

  Client& mClient;
  const base::Settings& mSettings;
};

} // namespace vanillaloft::ctl
