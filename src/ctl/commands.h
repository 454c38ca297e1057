// The operators' commands.
#pragma once

#include <string>
#include <vector>

#include "base/settings.h"
#include "ctl/client.h"
#include "decide/runbook.h"

namespace vanillaloft::ctl {

// The flags of the command line.
const std::vector<base::Flag>& Flags();

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
  Awaitable<int> RunRunbook(Arguments aArguments);
  Awaitable<int> Runs(Arguments aArguments);
  Awaitable<int> PauseRun(Arguments aArguments);
  Awaitable<int> ResumeRun(Arguments aArguments);
  Awaitable<int> AbortRun(Arguments aArguments);
  Awaitable<int> Status(Arguments aArguments);
  Awaitable<int> State(Arguments aArguments);
  Awaitable<int> Put(Stored aBase, Json aNext);
  Awaitable<int> Steer(decide::SteeringChange aChange);
  Awaitable<std::vector<unsigned>> InFlight(const decide::Config& aConfig);
  Awaitable<int> SetRunState(decide::RunState aState, std::string aNote);
  Awaitable<int> PrintDiff(Json aFrom, Json aTo);

  Client& mClient;
  const base::Settings& mSettings;
};

} // namespace vanillaloft::ctl
