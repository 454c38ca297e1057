#include "mutate.h"

#include <algorithm>

namespace vanillaloft::fuzz {

namespace {

constexpr std::size_t kMaxChanges = 4;   // per input
constexpr std::size_t kMaxSpan = 40;     // bytes removed or repeated at once
constexpr std::size_t kNesting = 10'000; // levels
constexpr std::size_t kLongText = 1'000'000;

const std::vector<std::string>& OddNumbers()
{
  static const std::vector<std::string> numbers = {
    "-1",   "0",       "65535", "65536",  "4294967296", "18446744073709551615",
    "1e20", "1e999",   "1e300", "-1e300", "0.5",        "18446744073709551616",
    "NaN",  "-0",      "true",  "null",   "\"8\"",      "9223372036854775807",
    "[]",   "Infinity"
  };
  return numbers;
}

const std::vector<std::string>& OddTokens()
{
  static const std::vector<std::string> tokens = {
    std::string(kNesting, '['),
    std::string(kNesting, '{'),
    std::string(kNesting, '[') + std::string(kNesting, ']'),
    std::string(kLongText, 'x'),
    std::string(1, '\0'),
    "\xff",
    "\xc3", // the first half of a UTF-8 character
    "\\ud800",
    "\r\n",
    "\"",
    "{}",
    ",",
    ":0",
    ":-1",
    "%00",
  };
  return tokens;
}

bool IsDigit(char aChar)
{
  return aChar >= '0' && aChar <= '9';
}

} // namespace

std::size_t Mutator::Below(std::size_t aLimit)
{
  return std::uniform_int_distribution<std::size_t>(0, aLimit - 1)(mRandom);
}

std::string Mutator::Mutate(std::string aInput)
{
  std::size_t changes = 1 + Below(kMaxChanges);
  for (std::size_t i = 0; i < changes; ++i) {
    MutateOnce(aInput);
  }
  return aInput;
}

void Mutator::MutateOnce(std::string& aInput)
{
  std::size_t at = Below(aInput.size() + 1);
  std::size_t span = Below(kMaxSpan);
  switch (Below(6)) {
    case 0:
      aInput.insert(at, OddTokens()[Below(OddTokens().size())]);
      break;
    case 1:
      aInput.erase(at, span);
      break;
    case 2:
      aInput.insert(at, aInput.substr(at, span));
      break;
    case 3:
      aInput.resize(at);
      break;
    case 4:
      if (at < aInput.size()) {
        aInput[at] = static_cast<char>(Below(256));
      }
      break;
    default:
      ReplaceNumber(aInput);
  }
}

void Mutator::ReplaceNumber(std::string& aInput)
{
  auto from =
    std::find_if(aInput.begin() + static_cast<std::ptrdiff_t>(Below(aInput.size() + 1)),
                 aInput.end(),
                 IsDigit);
  auto to = std::find_if_not(from, aInput.end(), IsDigit);
  aInput.replace(from, to, OddNumbers()[Below(OddNumbers().size())]);
}

} // namespace vanillaloft::fuzz
