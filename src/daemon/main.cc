// Main program of vanillaloftd, which runs one entry instance.
#include <csignal>
#include <iostream>
#include <malloc.h>

#include <unistd.h>

#include "base/log_writer.h"
#include "base/settings.h"
#include "daemon/instance.h"
#include "daemon/runner.h"
#include "entry/background.h"
#include "platform/run.h"
#include "platform/settings.h"
#include "store/http.h"

namespace {

using namespace vanillaloft;

constexpr int kExitOk = 0;
constexpr int kExitSetting = 2;
constexpr int kExitFailure = 1;
constexpr std::chrono::milliseconds kStoreTimeout{ 1000 };
// Time for the last lines of the log at the end of the process.
constexpr std::chrono::milliseconds kLastLinesTime{ 200 };

const std::vector<base::Flag> kFlags = {
  { "data-centre", "", true, "name of this instance's data centre in the configuration" },
  { "listen", "", true, "IP address and port for callers" },
  { "peer-listen", "", true, "IP address and port for other instances" },
  { "admin-listen", "", true, "IP address and port for operators" },
  { "store", "", true, "IP address and port of the platform's store" },
  { "seeds",
    "",
    false,
    "peer addresses known at the start: IP:PORT@DATA-CENTRE, separated by commas" },
  { "ticket-ttl-ms", "30000", false, "lifetime of order tickets in milliseconds" },
  { "request-timeout-ms",
    "10000",
    false,
    "time limit for receiving a whole request, in milliseconds" },
  { "stop-timeout-ms",
    "60000",
    false,
    "time limit for the planned stop, in milliseconds" },
  { "weight", "1", false, "capacity for callers relative to other instances, 1 to 100" },
  { "memory-mb",
    "1024",
    false,
    "memory that the process may take, in MB; requests and answers hold a part of it" },
  { "max-descriptors",
    "0",
    false,
    "open files and sockets that the process may have; 0: as the system allows" },
  { "log-level", "info", false, "debug, info, warning or error" },
};

// Flags on the users' platform, where all other settings come from the settings file.
const std::vector<base::Flag> kPlatformFlags = {
  { "log-level", "info", false, "debug, info, warning or error" },
};

// Makes the allocator map each large block by itself, so that the memory of a body goes
// back to the system with the body. By default it begins to keep them.
void ReturnLargeBlocks()
{
  constexpr int kLargeBlockBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

// Starts the log, and lets an error that nothing handles end the process only after the
// last lines.
void StartLog(int aDescriptor)
{
  base::StartLog(aDescriptor);
  peer::LogLibraryMessages();
  std::set_terminate([] {
    spdlog::critical("an unexpected error ends the process");
    base::AwaitLogWritten(kLastLinesTime);
    std::abort();
  });
}

// Throws base::SettingError.
void SetLogLevel(const base::Settings& aSettings)
{
  const std::string& text = aSettings.Text("log-level");
  spdlog::level::level_enum level = spdlog::level::from_str(text);
  if (level == spdlog::level::off) {
    throw base::SettingError(fmt::format(
      "--log-level: '{}' is not accepted; give debug, info, warning or error", text));
  }
  spdlog::set_level(level);
}

entry::InstanceSettings ToInstanceSettings(const base::Settings& aSettings)
{
  entry::InstanceSettings settings;
  settings.mDataCentre = aSettings.Text("data-centre");
  settings.mListen = aSettings.Address("listen");
  aSettings.Address("peer-listen");
  settings.mPeerAddress = aSettings.Text("peer-listen");
  settings.mStore = aSettings.Address("store");
  settings.mSeeds = aSettings.Text("seeds");
  settings.mWeight = static_cast<unsigned>(aSettings.Number("weight", 1, 100));
  settings.mMemoryBytes =
    static_cast<std::size_t>(aSettings.Number("memory-mb", 96, 1'000'000)) * 1024 * 1024;
  settings.mMaxDescriptors =
    static_cast<std::size_t>(aSettings.Number("max-descriptors", 0, 1'000'000));
  settings.mTicketLifetime = aSettings.Milliseconds("ticket-ttl-ms", 100, 3'600'000);
  settings.mRequestTimeout = aSettings.Milliseconds("request-timeout-ms", 100, 600'000);
  settings.mStopTimeout = aSettings.Milliseconds("stop-timeout-ms", 0, 3'600'000);
  return settings;
}

void Run(const base::Settings& aSettings)
{
  entry::InstanceSettings settings = ToInstanceSettings(aSettings);
  base::HostPort admin = aSettings.Address("admin-listen");
  entry::NativeFormat format;
  auto makeStore = [&] {
    return std::make_unique<store::HttpStore>(settings.mStore, kStoreTimeout);
  };
  daemon::Instance instance(settings, format, makeStore, daemon::DispatchMode::ByOwner);
  entry::NativeApi api(instance.mCore, format, instance.mPipeline, instance.mLookUps);
  instance.mListener.Open(settings.mListen,
                          [&](net::Request aRequest, auto& aConnection) {
                            return api.HandleCaller(std::move(aRequest), aConnection);
                          });
  instance.mListener.Open(
    admin,
    [&](net::Request aRequest, auto&) { return api.HandleOperator(std::move(aRequest)); },
    entry::Audience::Operators);
  daemon::RunbookRunner runner(instance.mCore, *instance.mStore);
  instance.mLoops.Start(daemon::Loops::ConfigSource::OwnStore);
  entry::SpawnLoop(instance.mContext, "runbooks", [&] { return runner.Loop(); });
  instance.Run([] {});
}

// Returns the exit code. aSettingsPath: of the users' platform, if the process runs
// there.
int RunProgram(int aArgc, char** aArgv, const std::optional<std::string>& aSettingsPath)
{
  try {
    if (aSettingsPath) {
      SetLogLevel(base::Settings::Parse(aArgc, aArgv, kPlatformFlags));
      platform::RunInstance(*aSettingsPath);
      return kExitOk;
    }
    base::Settings settings = base::Settings::Parse(aArgc, aArgv, kFlags);
    if (settings.HelpRequested()) {
      std::cout << "usage: vanillaloftd FLAGS\n" << base::Settings::Help(kFlags);
      return kExitOk;
    }
    if (settings.VersionRequested()) {
      std::cout << "vanillaloftd " VANILLALOFT_VERSION "\n";
      return kExitOk;
    }
    SetLogLevel(settings);
    Run(settings);
    return kExitOk;
  } catch (const base::SettingError& error) {
    base::Log(spdlog::level::err, base::Event::SettingRefused, "{}", error.what());
    return kExitSetting;
  } catch (const std::exception& error) {
    spdlog::error("{}", error.what());
    return kExitFailure;
  }
}

} // namespace

int main(int aArgc, char** aArgv)
{
  daemon::DeferSignals();
  std::signal(SIGPIPE, SIG_IGN);
  ReturnLargeBlocks();
  auto settingsPath = platform::SettingsPath();
  StartLog(settingsPath ? STDOUT_FILENO : STDERR_FILENO);
  int exitCode = RunProgram(aArgc, aArgv, settingsPath);
  base::AwaitLogWritten(kLastLinesTime);
  return exitCode;
}
