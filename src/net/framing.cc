#include "net/framing.h"

#include <algorithm>

namespace vanillaloft::net {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kWhitespace = " \t";
constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
constexpr std::string_view kContentLength = "content-length";
constexpr std::string_view kTransferEncoding = "transfer-encoding";
constexpr std::string_view kHttp1 = "HTTP/1.";
constexpr std::string_view kHttp10 = "HTTP/1.0";
constexpr std::string_view kChunked = "chunked";

bool IsDigit(char aChar)
{
  return aChar >= '0' && aChar <= '9';
}

bool IsTokenChar(char aChar)
{
  bool letter = (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z');
  return letter || IsDigit(aChar) || kTokenSymbols.find(aChar) != std::string_view::npos;
}

bool IsControl(char aChar)
{
  constexpr char kDelete = 0x7f;
  auto code = static_cast<unsigned char>(aChar);
  return (code < ' ' && aChar != '\t') || aChar == kDelete;
}

std::string LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::ranges::transform(lower, lower.begin(), [](char aChar) {
    return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a') : aChar;
  });
  return lower;
}

std::string_view Trim(std::string_view aText)
{
  std::size_t from = aText.find_first_not_of(kWhitespace);
  if (from == std::string_view::npos) {
    return {};
  }
  return aText.substr(from, aText.find_last_not_of(kWhitespace) - from + 1);
}

bool IsNumber(std::string_view aText)
{
  return !aText.empty() && std::ranges::all_of(aText, IsDigit);
}

// Returns whether a line is "HTTP/1.x SSS REASON" with a status from 100 to 999. Lower
// numbers of three digits are no statuses.
bool IsStatusLine(std::string_view aLine)
{
  constexpr std::size_t kMinorVersion = kHttp1.size();
  constexpr std::size_t kStatus = kMinorVersion + 2;
  constexpr std::size_t kStatusDigits = 3;
  constexpr std::size_t kReason = kStatus + kStatusDigits + 1;
  return aLine.size() >= kReason && aLine.starts_with(kHttp1) &&
         IsDigit(aLine[kMinorVersion]) && aLine[kStatus - 1] == ' ' &&
         IsNumber(aLine.substr(kStatus, kStatusDigits)) && aLine[kStatus] != '0' &&
         aLine[kReason - 1] == ' ';
}

// Appends the members of a comma-separated list, also empty ones.
void AppendList(std::vector<std::string>& aList, std::string_view aText)
{
  for (;;) {
    std::size_t comma = aText.find(',');
    aList.push_back(LowerCase(Trim(aText.substr(0, comma))));
    if (comma == std::string_view::npos) {
      return;
    }
    aText.remove_prefix(comma + 1);
  }
}

} // namespace

bool HeadScanner::Scan(std::string_view aMessage)
{
  while (!mComplete && mFault == FramingFault::None) {
    std::size_t end = aMessage.find('\n', mSearched);
    if (end == std::string_view::npos) {
      mSearched = aMessage.size();
      return false;
    }
    std::string_view line = aMessage.substr(mLineStart, end + 1 - mLineStart);
    mLineStart = mSearched = end + 1;
    ScanLine(line);
  }
  return true;
}

void HeadScanner::ScanLine(std::string_view aLine)
{
  if (!aLine.ends_with(kLineEnd)) {
    mFault = FramingFault::Malformed;
    return;
  }
  aLine.remove_suffix(kLineEnd.size());
  if (HasControl(aLine)) {
    mFault = FramingFault::Malformed;
  } else if (!mHasFirstLine) {
    ScanFirstLine(aLine);
  } else if (aLine.empty()) {
    mComplete = true;
    CheckLength();
  } else {
    ScanField(aLine);
  }
}

void HeadScanner::ScanFirstLine(std::string_view aLine)
{
  mHasFirstLine = true;
  mIsHttp10 = aLine.starts_with(kHttp10) || aLine.ends_with(kHttp10);
  bool valid = mKind == MessageKind::Request ? !aLine.empty() : IsStatusLine(aLine);
  mFault = valid ? FramingFault::None : FramingFault::Malformed;
}

// A folded line begins with white space, which is not part of a name.
void HeadScanner::ScanField(std::string_view aLine)
{
  std::size_t colon = aLine.find(':');
  std::string_view name = aLine.substr(0, colon);
  if (colon == std::string_view::npos || name.empty() ||
      !std::ranges::all_of(name, IsTokenChar)) {
    mFault = FramingFault::Malformed;
    return;
  }
  std::string_view value = Trim(aLine.substr(colon + 1));
  std::string field = LowerCase(name);
  if (field == kContentLength) {
    AppendList(mLengths, value);
  } else if (field == kTransferEncoding) {
    AppendList(mCodings, value);
  }
}

// A length may be repeated, since that does not change what it means.
void HeadScanner::CheckLength()
{
  bool validLength = std::ranges::all_of(mLengths, [&](const std::string& aLength) {
    return IsNumber(aLength) && aLength == mLengths.front();
  });
  bool mayHaveCoding = mLengths.empty() && !mIsHttp10;
  if (!validLength || (!mCodings.empty() && !mayHaveCoding)) {
    mFault = FramingFault::Length;
    return;
  }
  bool known = std::ranges::all_of(mCodings, [](const std::string& aCoding) {
    return aCoding == kChunked || aCoding.empty();
  });
  if (!known) {
    mFault = FramingFault::UnknownCoding;
  } else if (mCodings.size() > 1 || std::ranges::count(mCodings, "") > 0) {
    mFault = FramingFault::Length;
  }
}

bool HasControl(std::string_view aText)
{
  return std::ranges::any_of(aText, IsControl);
}

} // namespace vanillaloft::net
