// HTTP/1.1 server side: listening sockets and connections.
#pragma once

#include <functional>
#include <list>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "entry/core.h"
#include "entry/format.h"
#include "net/framing.h"
#include "net/message_parser.h"

namespace vanillaloft::entry {

// Limits on requests where the configuration sets none.
constexpr std::size_t kDefaultMaxHeadBytes = 16UL * 1024;
constexpr std::size_t kDefaultMaxBodyBytes = 1024UL * 1024;

// Serves the requests of one listening address. The CallerConnection is valid until the
// response is returned.
using Handler = std::function<Awaitable<net::Response>(net::Request, CallerConnection&)>;

// Who connects to a listening address. Each kind has its own limit on connections, so
// that one cannot take the descriptors of the others, of peers, the store and backend
// servers.
enum class Audience : std::uint8_t
{
  Callers,
  LookUps,
  Operators
};

// Largest number of open connections from an audience.
std::size_t MaxConnections(Audience aAudience, std::size_t aDescriptors);

// Accepts connections, reads requests, passes them to a Handler and writes the responses.
class Listener
{
public:
  Listener(Core& aCore, const Format& aFormat);

  // Binds an address and accepts connections until StopAccepting. Throws
  // std::system_error.
  void Open(const base::HostPort& aAt,
            Handler aHandler,
            Audience aAudience = Audience::Callers);
  // Accepts the connections that are established already and closes the listening
  // sockets.
  void StopAccepting();
  // True while a request that has arrived, also in part, has no complete response or its
  // caller may still be reading it, and for a short time after a connection was accepted,
  // because its request may be on the way.
  bool HasUndelivered();
  // Answers the requests whose handlers have not returned with 504, which promises
  // nothing. What the handlers return later is dropped. For the end of a planned stop.
  void AnswerUnhandled();
  // Closes all connections that have no request in progress.
  void CloseIdle();

private:
  using Socket = boost::asio::ip::tcp::socket;
  using Acceptor = boost::asio::ip::tcp::acceptor;
  using Stream = boost::beast::tcp_stream;
  using Parser = net::MessageParser<true>;

  struct Endpoint
  {
    Acceptor mAcceptor;
    Handler mHandler;
    std::size_t mMaxSessions;
    std::size_t mSessions = 0; // open now
  };
  // Whether a request is answered by AnswerUnhandled instead of its handler.
  enum class Override : std::uint8_t
  {
    None,
    Writing,
    Done
  };
  // An open connection.
  struct Session
  {
    Session(Socket aSocket, Endpoint& aEndpoint, MemoryGate& aMemory, Instant aAcceptedAt)
      : mStream(std::move(aSocket))
      , mEndpoint(aEndpoint)
      , mAcceptedAt(aAcceptedAt)
      , mMovedAt(aAcceptedAt)
      , mHold(aMemory, [this] { GiveUp(); })
    {
    }
    // Ends what keeps the bytes: a request that arrives is refused, an answer is cut off.
    void GiveUp();

    Stream mStream;
    Endpoint& mEndpoint;
    Instant mAcceptedAt;
    Instant mMovedAt; // last time at which bytes arrived
    boost::beast::flat_buffer mBuffer;
    std::chrono::steady_clock::time_point
      mReadEnd;                      // time limit of the request that is read
    const Parser* mParser = nullptr; // set while a request is read
    bool mAnswering = false;         // from the end of a request to that of its response
    bool mCutByStop = false;         // a planned stop ends the request that is read
    bool mLingering = false;         // the last response is written, its caller reads it
    Override mOverride = Override::None;
    std::shared_ptr<CallerConnection> mCaller; // while a request is answered
    bool mHandling = false;                    // its handler has not returned
    unsigned mRequests = 0;                    // read so far
    Hold mHold;
  };
  // Result of reading one request.
  struct ReadOutcome
  {
    Result mFailure = Result::Ok; // other than Ok: refuse the request with this code
    bool mClosed = false;         // close the connection without a response
    net::Request mRequest;
  };

  Awaitable<void> AcceptConnections(Endpoint& aEndpoint);
  void StartSession(Socket aSocket, Endpoint& aEndpoint);
  void EndIdlest(const Endpoint& aEndpoint);
  Awaitable<void> ServeConnection(std::list<Session>::iterator aSession);
  Awaitable<void> ServeRequests(Session& aSession);
  Awaitable<ReadOutcome> ReadRequest(Session& aSession);
  Awaitable<boost::system::error_code> AwaitRoom(Session& aSession, std::size_t aBytes);
  Awaitable<boost::system::error_code> FillBuffer(Session& aSession,
                                                  std::size_t aBodyBytes);
  Awaitable<boost::system::error_code> ReadHead(Session& aSession,
                                                std::size_t aMaxBytes,
                                                net::HeadScanner& aScanner);
  Awaitable<boost::system::error_code> ReadMessage(Session& aSession, Parser& aParser);
  Awaitable<boost::system::error_code> WriteResponse(Session& aSession,
                                                     net::Response& aResponse);
  Awaitable<net::Response> HandleRequest(Session& aSession, net::Request aRequest);
  Awaitable<void> OverrideHandler(std::list<Session>::iterator aSession);
  Awaitable<void> AwaitOverride(const Session& aSession);
  void LogWritten(const Session& aSession,
                  const net::Response& aResponse,
                  const boost::system::error_code& aError) const;
  static Awaitable<void> Linger(Session& aSession);
  static bool HasPartialRequest(const Session& aSession);
  // True if bytes have arrived that were not parsed yet, such as a pipelined request.
  static bool HasMoreBytes(Session& aSession);
  bool IsBusy(Session& aSession) const;

  Core& mCore;
  const Format& mFormat;
  std::list<Endpoint> mEndpoints;
  std::list<Session> mSessions;
  Instant mLimitLoggedAt{};
};

} // namespace vanillaloft::entry
