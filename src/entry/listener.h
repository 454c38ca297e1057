// HTTP/1.1 server side: listening sockets and connections.
#pragma once

#include <list>

#include "entry/format.h"
#include "entry/reader.h"

namespace vanillaloft::entry {

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

  Awaitable<void> AcceptConnections(Endpoint& aEndpoint);
  void StartSession(Socket aSocket, Endpoint& aEndpoint);
  void EndIdlest(const Endpoint& aEndpoint);
  Awaitable<void> ServeConnection(std::list<Session>::iterator aSession);
  Awaitable<void> ServeRequests(Session& aSession);
  Awaitable<boost::system::error_code> WriteResponse(Session& aSession,
                                                     net::Response& aResponse);
  Awaitable<net::Response> HandleRequest(Session& aSession, net::Request aRequest);
  Awaitable<void> OverrideHandler(std::list<Session>::iterator aSession);
  Awaitable<void> AwaitOverride(const Session& aSession);
  void LogWritten(const Session& aSession,
                  const net::Response& aResponse,
                  const boost::system::error_code& aError) const;
  static Awaitable<void> Linger(Session& aSession);
  bool IsBusy(Session& aSession) const;

  Core& mCore;
  const Format& mFormat;
  RequestReader mReader;
  std::list<Endpoint> mEndpoints;
  std::list<Session> mSessions;
  Instant mLimitLoggedAt{};
};

} // namespace vanillaloft::entry
