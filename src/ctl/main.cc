// vanillaloft: the operators' command line.
#include <iostream>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "base/settings.h"
#include "ctl/commands.h"
#include "store/http.h"

namespace {

using namespace vanillaloft;
using namespace vanillaloft::ctl;

constexpr std::chrono::milliseconds kStoreTimeout{ 2000 };

std::vector<std::string> ParseInstanceList(const std::string& aText)
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
  Client client(store, ParseInstanceList(aSettings.Text("instances")));
  Commands commands(client, aSettings);
  boost::asio::io_context context(1);
  int exitCode = kExitFailure;
  std::exception_ptr exception;
  boost::asio::co_spawn(context,
                        commands.Run(aSettings.Positional()),
                        [&](std::exception_ptr aException, int aExitCode) {
                          exception = aException;
                          exitCode = aExitCode;
                        });
  context.run();
  if (exception) {
    std::rethrow_exception(exception);
  }
  return exitCode;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  try {
    base::Settings settings = base::Settings::Parse(aArgc, aArgv, Flags());
    if (settings.HelpRequested()) {
      std::cout << Commands::Usage();
      return kExitOk;
    }
    if (settings.VersionRequested()) {
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
    std::cerr << "unexpected response from the store or an instance: " << error.what()
              << "\n";
    return kExitFailure;
  }
}
