// Checks that the bytes of an HTTP/1.1 message can be understood in one way only. Beast's
// parser accepts heads that other parsers divide differently, e.g. with an unknown
// transfer coding, and bytes of one request would then run as another one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace vanillaloft::net {

// What is wrong with the framing of a message.
enum class FramingFault : std::uint8_t
{
  None,
  Malformed,     // a line that is not valid, or a control character
  Length,        // lengths that conflict or are no numbers
  UnknownCoding, // a transfer coding other than "chunked"
};

enum class MessageKind : std::uint8_t
{
  Request,
  Response
};

// Reads the head of a message while it arrives, and checks the line endings, the field
// names, the fields that tell the length of the body and the status of a response. The
// first line of a request is only checked for control characters.
class HeadScanner
{
public:
  explicit HeadScanner(MessageKind aKind)
    : mKind(aKind)
  {
  }
  // Scans the bytes that are new since the last call. aMessage contains all bytes
  // received from the beginning of the message. Returns true once the head is complete or
  // has a fault.
  bool Scan(std::string_view aMessage);
  FramingFault Fault() const { return mFault; }

private:
  void ScanLine(std::string_view aLine);
  void ScanFirstLine(std::string_view aLine);
  void ScanField(std::string_view aLine);
  void CheckLength();

  MessageKind mKind;
  std::size_t mLineStart = 0; // position of the first line that is not scanned
  std::size_t mSearched = 0;  // position up to which no end of that line was found
  bool mHasFirstLine = false;
  bool mComplete = false;
  bool mIsHttp10 = false; // that version has no transfer codings
  std::vector<std::string> mLengths;
  std::vector<std::string> mCodings; // in lower case
  FramingFault mFault = FramingFault::None;
};

// True if a text contains a control character other than a tab. Parsers disagree on where
// a line with one ends.
bool HasControl(std::string_view aText);

} // namespace vanillaloft::net
