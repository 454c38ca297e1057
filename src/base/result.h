// Numbered result codes of requests. docs/RESULTS.md lists the same codes; a unit test
// checks that both tables match.
#pragma once

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace vanillaloft::base {

// Whether a backend server executed the request.
enum class Executed : std::uint8_t
{
  No,
  Yes,
  Unknown
};

enum class Result : std::uint16_t
{
  Ok = 0,
  MalformedRequest = 101,
  HeadTooLarge = 102,
  BodyTooLarge = 103,
  BodyIncomplete = 104,
  RequestTimeout = 105,
  ConflictingLength = 106,
  UnknownTransferCoding = 107,
  KeyMissing = 201,
  KeyUnknown = 202,
  KeysUnconfirmed = 203,
  UnknownRoute = 301,
  MethodNotAllowed = 302,
  RateExceeded = 401,
  QueueFull = 402,
  QueueTimeout = 403,
  NoBackendServer = 404,
  NotReady = 405,
  BackendServerShed = 406,
  DeadlineBeforeStart = 407,
  NotConnected = 408,
  BackendServerLeft = 409,
  MemoryFull = 410,
  TicketMissing = 501,
  TicketInvalid = 502,
  TicketExpired = 503,
  TicketBodyDiffers = 504,
  TicketsFull = 505,
  OrderInProgress = 506,
  OutcomeUnknown = 507,
  AnswerNotKept = 508,
  AnswerTimeout = 601,
  AnswerLost = 602,
};

// Table entry of a result code.
struct ResultInfo
{
  Result mCode;
  std::string_view mName;
  unsigned mStatus; // HTTP status of the response to the client
  Executed mExecuted;
  std::string_view mMeaning;
};

std::span<const ResultInfo> AllResults();

// Returns the table entry of a code. Throws std::out_of_range if the code is not in the
// table.
const ResultInfo& InfoOf(Result aCode);

// Returns "no", "yes" or "unknown", as in responses and in docs/RESULTS.md.
std::string_view Name(Executed aExecuted);

// Thrown to end the processing of a request with a result code.
class RequestError : public std::runtime_error
{
public:
  explicit RequestError(Result aCode)
    : std::runtime_error(std::string(InfoOf(aCode).mName))
    , mCode(aCode)
  {
  }
  Result Code() const { return mCode; }

private:
  Result mCode;
};

} // namespace vanillaloft::base
