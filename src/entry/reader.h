// Reading of callers' requests.
#pragma once

#include "entry/session.h"
#include "net/framing.h"

namespace vanillaloft::entry {

// Limits on requests where the configuration sets none.
constexpr std::size_t kDefaultMaxHeadBytes = 16UL * 1024;
constexpr std::size_t kDefaultMaxBodyBytes = 1024UL * 1024;

// Result of reading one request.
struct ReadOutcome
{
  Result mFailure = Result::Ok; // other than Ok: refuse the request with this code
  bool mClosed = false;         // close the connection without a response
  net::Request mRequest;
};

class RequestReader
{
public:
  explicit RequestReader(Core& aCore)
    : mCore(aCore)
  {
  }

  // Reads the next request of a connection. A planned stop ends one that arrives in part.
  Awaitable<ReadOutcome> Read(Session& aSession);

private:
  using Error = boost::system::error_code;

  Awaitable<Error> ReadHead(Session& aSession,
                            std::size_t aMaxBytes,
                            net::HeadScanner& aScanner);
  Awaitable<Error> ReadMessage(Session& aSession, RequestParser& aParser);
  Awaitable<Error> FillBuffer(Session& aSession, std::size_t aBodyBytes);
  static Awaitable<Error> AwaitRoom(Session& aSession, std::size_t aBytes);

  Core& mCore;
};

} // namespace vanillaloft::entry
