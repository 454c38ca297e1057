// Unit tests of base: catalogues, clocks and settings.
#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <sstream>

#include <fmt/format.h>

#include "base/clock.h"
#include "base/event.h"
#include "base/result.h"
#include "base/settings.h"

using namespace vanillaloft::base;

namespace {

std::string ReadDocument(const std::string& aName)
{
  std::ifstream file(std::string(VANILLALOFT_DOCS) + "/" + aName);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::size_t CountNumberedRows(const std::string& aText)
{
  std::size_t rows = 0;
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    rows +=
      line.starts_with("| ") && std::isdigit(static_cast<unsigned char>(line[2])) ? 1 : 0;
  }
  return rows;
}

Settings Parse(std::vector<std::string> aArguments, const std::vector<Flag>& aFlags)
{
  std::vector<char*> arguments;
  std::string program = "program";
  arguments.push_back(program.data());
  for (std::string& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  return Settings::Parse(
    static_cast<int>(arguments.size()) - 1, arguments.data(), aFlags);
}

} // namespace

TEST_CASE("docs/RESULTS.md lists exactly the result codes")
{
  std::string page = ReadDocument("RESULTS.md");
  for (const ResultInfo& row : AllResults()) {
    std::string line = fmt::format("| {} | {} | {} | {} | {} |",
                                   static_cast<unsigned>(row.mCode),
                                   row.mName,
                                   row.mStatus,
                                   Name(row.mExecuted),
                                   row.mMeaning);
    CHECK_MESSAGE(page.find(line) != std::string::npos, line);
  }
  CHECK(CountNumberedRows(page) == AllResults().size());
}

TEST_CASE("docs/EVENTS.md lists exactly the events")
{
  std::string page = ReadDocument("EVENTS.md");
  for (const EventInfo& row : AllEvents()) {
    std::string line = fmt::format(
      "| {} | {} | {} |", static_cast<unsigned>(row.mEvent), row.mName, row.mMeaning);
    CHECK_MESSAGE(page.find(line) != std::string::npos, line);
  }
  CHECK(CountNumberedRows(page) == AllEvents().size());
}

TEST_CASE("result numbers and names are unique")
{
  std::set<unsigned> codes;
  std::set<std::string_view> names;
  for (const ResultInfo& row : AllResults()) {
    CHECK(codes.insert(static_cast<unsigned>(row.mCode)).second);
    CHECK(names.insert(row.mName).second);
  }
}

TEST_CASE("ManualClock changes only through Advance")
{
  ManualClock clock;
  Instant before = clock.Now();
  CHECK(clock.Now() == before);
  clock.Advance(std::chrono::seconds(3));
  CHECK(clock.Now() - before == std::chrono::seconds(3));
}

TEST_CASE("a setting error names the flag, the value and the accepted range")
{
  std::vector<Flag> flags = { { "limit", "5", false, "a number" },
                              { "at", "", false, "address" } };
  CHECK(Parse({}, flags).Number("limit", 1, 9) == 5);
  CHECK(Parse({ "--limit", "7" }, flags).Number("limit", 1, 9) == 7);
  CHECK_THROWS_WITH_AS(
    Parse({ "--limit", "seven" }, flags).Number("limit", 1, 9),
    "--limit: 'seven' is not accepted; give a whole number from 1 to 9",
    SettingError);
  CHECK_THROWS_AS(Parse({ "--limit", "10" }, flags).Number("limit", 1, 9), SettingError);
  CHECK_THROWS_AS(Parse({ "--unknown", "1" }, flags), SettingError);
  CHECK_THROWS_AS(Parse({ "--at", "localhost:80" }, flags).Address("at"), SettingError);
  CHECK_THROWS_AS(Parse({ "--at", "127.0.0.1:99999" }, flags).Address("at"),
                  SettingError);
  CHECK(Parse({ "--at", "127.0.0.1:80" }, flags).Address("at").mPort == 80);
}

TEST_CASE("an environment variable sets a flag and the command line overrides it")
{
  std::vector<Flag> flags = { { "some-limit", "5", false, "a number" } };
  setenv("VANILLALOFT_SOME_LIMIT", "6", 1);
  CHECK(Parse({}, flags).Number("some-limit", 1, 9) == 6);
  CHECK(Parse({ "--some-limit", "7" }, flags).Number("some-limit", 1, 9) == 7);
  unsetenv("VANILLALOFT_SOME_LIMIT");
}

TEST_CASE("a missing required flag is an error")
{
  std::vector<Flag> flags = { { "store", "", true, "the store" } };
  CHECK_THROWS_AS(Parse({}, flags), SettingError);
}
