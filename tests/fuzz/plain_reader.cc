#include "plain_reader.h"

#include <algorithm>
#include <stdexcept>

namespace vanillaloft::fuzz {

namespace {

constexpr std::size_t kMaxHeadBytes = 16UL * 1024;
constexpr std::size_t kMaxBodyBytes = 1024UL * 1024;
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024; // of trailers and extensions
constexpr int kHexadecimal = 16;

struct Invalid
{};

void Require(bool aCondition)
{
  if (!aCondition) {
    throw Invalid();
  }
}

std::string Lower(std::string aText)
{
  for (char& c : aText) {
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
  }
  return aText;
}

std::size_t Number(const std::string& aDigits, int aBase)
{
  try {
    std::size_t value = std::stoull(aDigits, nullptr, aBase);
    Require(value <= kMaxBodyBytes);
    return value;
  } catch (const std::logic_error&) {
    throw Invalid();
  }
}

bool IsToken(const std::string& aText)
{
  static const std::string kSymbols = "!#$%&'*+.^_`|~-";
  return !aText.empty() && std::ranges::all_of(aText, [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           kSymbols.find(c) != std::string::npos;
  });
}

std::string Trimmed(std::string aText)
{
  aText.erase(0, aText.find_first_not_of(" \t"));
  aText.erase(aText.find_last_not_of(" \t") + 1);
  return aText;
}

std::vector<std::string> Split(const std::string& aText, char aSeparator)
{
  std::vector<std::string> parts(1);
  for (char c : aText) {
    if (c == aSeparator) {
      parts.emplace_back();
    } else {
      parts.back() += c;
    }
  }
  return parts;
}

struct Field
{
  std::string mName; // in lower case
  std::string mValue;
};

class Reader
{
public:
  explicit Reader(const std::string& aBytes)
    : mBytes(aBytes)
  {
  }

  // Reads one request. Throws Invalid.
  PlainRequest Read()
  {
    std::size_t start = mAt;
    std::vector<std::string> first = Split(Line(), ' ');
    Require(first.size() == 3 && IsToken(first[0]) && !first[1].empty());
    Require(first[1].find('\t') == std::string::npos);
    Require(first[2] == "HTTP/1.0" || first[2] == "HTTP/1.1");
    bool oldVersion = first[2] == "HTTP/1.0";
    std::vector<Field> fields = Fields();
    Require(mAt - start <= kMaxHeadBytes);
    PlainRequest request{ first[1], Body(fields, oldVersion) };
    mEnds = Closes(fields, oldVersion);
    return request;
  }

  bool Ends() const { return mEnds; }

private:
  std::string Take(std::size_t aSize)
  {
    Require(mBytes.size() - mAt >= aSize);
    mAt += aSize;
    return mBytes.substr(mAt - aSize, aSize);
  }

  // Returns the text up to CR LF; no other control character but a tab may be in it.
  std::string Line()
  {
    std::size_t end = mBytes.find("\r\n", mAt);
    Require(end != std::string::npos);
    std::string line = Take(end - mAt);
    Take(2);
    Require(std::ranges::none_of(line, [](char c) {
      return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == 0x7f;
    }));
    return line;
  }

  std::vector<Field> Fields()
  {
    std::vector<Field> fields;
    for (std::string line = Line(); !line.empty(); line = Line()) {
      std::size_t colon = line.find(':');
      Require(colon != std::string::npos && colon > 0);
      Require(IsToken(line.substr(0, colon)));
      fields.push_back({ Lower(line.substr(0, colon)), Trimmed(line.substr(colon + 1)) });
    }
    return fields;
  }

  std::string Body(const std::vector<Field>& aFields, bool aOldVersion)
  {
    std::vector<std::string> lengths;
    std::vector<std::string> codings;
    for (const Field& field : aFields) {
      if (field.mName == "content-length") {
        for (const std::string& length : Split(field.mValue, ',')) {
          lengths.push_back(Trimmed(length));
        }
      }
      if (field.mName == "transfer-encoding") {
        codings.push_back(Lower(field.mValue));
      }
    }
    if (!codings.empty()) {
      Require(lengths.empty() && !aOldVersion && codings.size() == 1 &&
              codings.front() == "chunked");
      return Chunks();
    }
    if (lengths.empty()) {
      return {};
    }
    const std::string& length = lengths.front();
    Require(!length.empty() &&
            length.find_first_not_of("0123456789") == std::string::npos);
    Require(std::ranges::count(lengths, length) == std::ssize(lengths));
    return Take(Number(length, 10));
  }

  std::string Chunks()
  {
    std::string body;
    for (;;) {
      std::string line = Line();
      std::size_t digits =
        std::min(line.find_first_not_of("0123456789abcdefABCDEF"), line.size());
      Require(digits > 0);
      std::size_t size = Number(line.substr(0, digits), kHexadecimal);
      RequireExtensions(line.substr(digits));
      if (size == 0) {
        std::size_t start = mAt;
        Fields();
        Require(mAt - start <= kMaxUnparsedBytes);
        return body;
      }
      body += Take(size);
      Require(Take(2) == "\r\n");
    }
  }

  // Requires a list of ";name", ";name=token" and ";name=\"text\"" with optional spaces.
  static void RequireExtensions(const std::string& aText)
  {
    Require(aText.size() <= kMaxUnparsedBytes);
    std::size_t at = SkipSpaces(aText, 0);
    while (at < aText.size()) {
      Require(aText[at] == ';');
      at = SkipSpaces(aText, SkipToken(aText, SkipSpaces(aText, at + 1)));
      if (at < aText.size() && aText[at] == '=') {
        at = SkipSpaces(aText, at + 1);
        bool quoted = at < aText.size() && aText[at] == '"';
        at = quoted ? SkipQuoted(aText, at + 1) : SkipToken(aText, at);
        at = SkipSpaces(aText, at);
      }
    }
  }

  static std::size_t SkipSpaces(const std::string& aText, std::size_t aAt)
  {
    return std::min(aText.find_first_not_of(" \t", aAt), aText.size());
  }

  static std::size_t SkipToken(const std::string& aText, std::size_t aAt)
  {
    std::size_t end = aAt;
    while (end < aText.size() && IsToken(aText.substr(end, 1))) {
      ++end;
    }
    Require(end > aAt);
    return end;
  }

  static std::size_t SkipQuoted(const std::string& aText, std::size_t aAt)
  {
    while (aAt < aText.size() && aText[aAt] != '"') {
      aAt += aText[aAt] == '\\' ? 2 : 1;
    }
    Require(aAt < aText.size());
    return aAt + 1;
  }

  static bool Closes(const std::vector<Field>& aFields, bool aOldVersion)
  {
    bool close = false;
    bool keep = false;
    for (const Field& field : aFields) {
      if (field.mName != "connection" && field.mName != "proxy-connection") {
        continue;
      }
      for (const std::string& option : Split(Lower(field.mValue), ',')) {
        Require(Trimmed(option).empty() || IsToken(Trimmed(option)));
        close = close || Trimmed(option) == "close";
        keep = keep || Trimmed(option) == "keep-alive";
      }
    }
    return close || (aOldVersion && !keep);
  }

  const std::string& mBytes;
  std::size_t mAt = 0;
  bool mEnds = false;
};

} // namespace

std::vector<PlainRequest> ReadPlainly(const std::string& aBytes)
{
  std::vector<PlainRequest> requests;
  Reader reader(aBytes);
  try {
    while (!reader.Ends()) {
      requests.push_back(reader.Read());
    }
  } catch (const Invalid&) {
  }
  return requests;
}

} // namespace vanillaloft::fuzz
