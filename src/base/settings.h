// Settings from command line flags (getopt_long) and environment variables. A flag takes
// precedence over its variable, whose name is VANILLALOFT_ followed by the flag's name in
// capitals, with underscores instead of hyphens.
#pragma once

#include <chrono>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace vanillaloft::base {

// Declaration of a command line flag. If mRequired is set, the flag or its variable must
// have a value.
struct Flag
{
  std::string mName;
  std::string mDefault;
  bool mRequired = false;
  std::string mHelp;
};

// A setting has an invalid value. The message names the flag, the value and the accepted
// range or format.
class SettingError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// An IPv4 address and a port.
struct HostPort
{
  std::string mHost;
  std::uint16_t mPort = 0;
};

// Parses "ip:port". Throws SettingError, with aSetting as the name of the setting, if the
// text has another format.
HostPort ParseHostPort(std::string_view aSetting, std::string_view aText);

// The parsed command line of one program.
class Settings
{
public:
  // Reads the environment variables, then the flags. Throws SettingError if a flag is
  // unknown, has no value or is required and missing.
  static Settings Parse(int aArgc, char** aArgv, const std::vector<Flag>& aFlags);

  // Returns the help text, one line per flag.
  static std::string Help(const std::vector<Flag>& aFlags);

  const std::string& Text(const std::string& aName) const { return mValues.at(aName); }
  // Throws SettingError unless the value is an integer from aMin to aMax.
  long Number(const std::string& aName, long aMin, long aMax) const;
  std::chrono::milliseconds Milliseconds(const std::string& aName,
                                         long aMin,
                                         long aMax) const;
  // Throws SettingError unless the value is "ip:port".
  HostPort Address(const std::string& aName) const;
  bool HelpRequested() const { return mHelpRequested; }
  bool VersionRequested() const { return mVersionRequested; }
  const std::vector<std::string>& Positional() const { return mPositional; }

private:
  std::map<std::string, std::string> mValues;
  std::vector<std::string> mPositional;
  bool mHelpRequested = false;
  bool mVersionRequested = false;
};

} // namespace vanillaloft::base
