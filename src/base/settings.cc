#include "base/settings.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <getopt.h>

#include <arpa/inet.h>
#include <fmt/format.h>

namespace vanillaloft::base {

namespace {

constexpr int kHelpOption = 1;
constexpr int kVersionOption = 2;
constexpr int kFirstFlagOption = 100;

std::string VariableName(const std::string& aFlag)
{
  std::string name = "VANILLALOFT_";
  for (char c : aFlag) {
    name +=
      c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

std::vector<option> LongOptions(const std::vector<Flag>& aFlags)
{
  std::vector<option> options;
  int optionId = kFirstFlagOption;
  for (const Flag& flag : aFlags) {
    options.push_back({ flag.mName.c_str(), required_argument, nullptr, optionId++ });
  }
  options.push_back({ "help", no_argument, nullptr, kHelpOption });
  options.push_back({ "version", no_argument, nullptr, kVersionOption });
  options.push_back({ nullptr, 0, nullptr, 0 });
  return options;
}

} // namespace

HostPort ParseHostPort(std::string_view aSetting, std::string_view aText)
{
  auto fail = [&] {
    throw SettingError(fmt::format(
      "{}: '{}' is not accepted; give an IP address and port such as 127.0.0.1:7000",
      aSetting,
      aText));
  };
  std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    fail();
  }
  HostPort parsed;
  parsed.mHost = std::string(aText.substr(0, colon));
  std::string_view port = aText.substr(colon + 1);
  auto [end, error] =
    std::from_chars(port.data(), port.data() + port.size(), parsed.mPort);
  in_addr address{};
  bool validHost = inet_pton(AF_INET, parsed.mHost.c_str(), &address) == 1;
  if (!validHost || error != std::errc() || end != port.data() + port.size() ||
      parsed.mPort == 0) {
    fail();
  }
  return parsed;
}

Settings Settings::Parse(int aArgc, char** aArgv, const std::vector<Flag>& aFlags)
{
  Settings settings;
  for (const Flag& flag : aFlags) {
    const char* variableValue = std::getenv(VariableName(flag.mName).c_str());
    settings.mValues[flag.mName] = variableValue ? variableValue : flag.mDefault;
  }
  std::vector<option> options = LongOptions(aFlags);
  optind = 1;
  opterr = 0;
  for (int optionId = 0;
       (optionId = getopt_long(aArgc, aArgv, "", options.data(), nullptr)) != -1;) {
    if (optionId == kHelpOption) {
      settings.mHelpRequested = true;
    } else if (optionId == kVersionOption) {
      settings.mVersionRequested = true;
    } else if (optionId >= kFirstFlagOption) {
      settings
        .mValues[aFlags.at(static_cast<std::size_t>(optionId - kFirstFlagOption)).mName] =
        optarg;
    } else {
      throw SettingError(fmt::format(
        "{}: unknown flag or missing value; --help lists the flags", aArgv[optind - 1]));
    }
  }
  settings.mPositional.assign(aArgv + optind, aArgv + aArgc);
  if (settings.mHelpRequested || settings.mVersionRequested) {
    return settings;
  }
  for (const Flag& flag : aFlags) {
    if (flag.mRequired && settings.mValues[flag.mName].empty()) {
      throw SettingError(fmt::format("--{} (or {}) must be given: {}",
                                     flag.mName,
                                     VariableName(flag.mName),
                                     flag.mHelp));
    }
  }
  return settings;
}

std::string Settings::Help(const std::vector<Flag>& aFlags)
{
  std::string text;
  for (const Flag& flag : aFlags) {
    text += fmt::format("  --{:<20} {}", flag.mName, flag.mHelp);
    text +=
      flag.mRequired ? " (required)" : fmt::format(" (default '{}')", flag.mDefault);
    text += fmt::format(" [{}]\n", VariableName(flag.mName));
  }
  return text;
}

long Settings::Number(const std::string& aName, long aMin, long aMax) const
{
  const std::string& text = Text(aName);
  long value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  bool isInteger = error == std::errc() && end == text.data() + text.size();
  if (!isInteger || value < aMin || value > aMax) {
    throw SettingError(
      fmt::format("--{}: '{}' is not accepted; give a whole number from {} to {}",
                  aName,
                  text,
                  aMin,
                  aMax));
  }
  return value;
}

std::chrono::milliseconds Settings::Milliseconds(const std::string& aName,
                                                 long aMin,
                                                 long aMax) const
{
  return std::chrono::milliseconds(Number(aName, aMin, aMax));
}

HostPort Settings::Address(const std::string& aName) const
{
  return ParseHostPort("--" + aName, Text(aName));
}

} // namespace vanillaloft::base
