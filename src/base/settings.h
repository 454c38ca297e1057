// Settings from flags (getopt_long) and environment variables. A flag wins over its
// variable, which is the flag's name in capitals behind VANILLALOFT_, with underscores
// for hyphens.
#pragma once

#include <chrono>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace vanillaloft::base {

// One accepted flag. A flag without a default must be given.
struct Flag
{
  std::string mName;
  std::string mDefault;
  bool mRequired = false;
  std::string mHelp;
};

// A setting that is not acceptable. The message names the flag, the value and what is
// accepted.
class SettingError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// An IP address and a port.
struct HostPort
{
  std::string mHost;
  std::uint16_t mPort = 0;
};

// Splits "ip:port"; throws SettingError that names aWhat.
HostPort ParseHostPort(std::string_view aWhat, std::string_view aText);

// The parsed command line of one program.
class Settings
{
public:
  // Parses flags and environment; throws SettingError.
  static Settings Parse(int aArgc, char** aArgv, const std::vector<Flag>& aFlags);

  // The help text of a flag table, a line a flag.
  static std::string Help(const std::vector<Flag>& aFlags);

  const std::string& Text(const std::string& aName) const { return mValues.at(aName); }
  // Throws SettingError unless the value is a whole number from aLow to aHigh.
  long Number(const std::string& aName, long aLow, long aHigh) const;
  std::chrono::milliseconds Milliseconds(const std::string& aName,
                                         long aLow,
                                         long aHigh) const;
  // Throws SettingError unless the value is "ip:port".
  HostPort Address(const std::string& aName) const;
  bool HelpRequested() const { return mHelp; }
  bool VersionRequested() const { return mVersion; }
  const std::vector<std::string>& Positional() const { return mPositional; }

private:
  std::map<std::string, std::string> mValues;
  std::vector<std::string> mPositional;
  bool mHelp = false;
  bool mVersion = false;
};

} // namespace vanillaloft::base
