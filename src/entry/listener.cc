#include "entry/listener.h"

#include <algorithm>
#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include "decide/route.h"
#include "entry/background.h"

namespace vanillaloft::entry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

namespace {

constexpr std::chrono::seconds kWriteTimeout{ 10 };
constexpr Duration kLimitLogInterval = std::chrono::seconds(1);
// Closed connections that have not given their descriptors back yet, at most.
constexpr std::size_t kEndingSessions = 16;
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };
// A new connection counts as busy for this long, because its first request is probably
// on the way.
constexpr Duration kFirstRequestTime = std::chrono::milliseconds(300);
// Longest time for a caller to read the last response and to close the connection.
constexpr std::chrono::milliseconds kLingerTime{ 500 };
constexpr std::size_t kLingerReadBytes = 4096;
constexpr Duration kOverridePollInterval = std::chrono::milliseconds(5);

void BindAndListen(asio::ip::tcp::acceptor& aAcceptor, const base::HostPort& aAt)
{
  asio::ip::tcp::endpoint address(asio::ip::make_address(aAt.mHost), aAt.mPort);
  aAcceptor.open(address.protocol());
  aAcceptor.set_option(asio::socket_base::reuse_address(true));
  aAcceptor.bind(address);
  aAcceptor.listen();
}

// True if the peer has closed its side of the connection; false while unread bytes wait
// or nothing has arrived. Consumes no bytes.
bool PeerHasClosed(asio::ip::tcp::socket& aSocket)
{
  Error error;
  char byte = 0;
  aSocket.non_blocking(true, error);
  std::size_t count =
    aSocket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error != asio::error::would_block && (error || count == 0);
}

// Records in aConnection that the caller closed its connection while the request is
// served, and calls mOnDisconnect. A pipelined request ends the watch, since a close
// after it cannot be detected without reading it.
void WatchForDisconnect(asio::ip::tcp::socket& aSocket,
                        const std::shared_ptr<CallerConnection>& aConnection)
{
  std::weak_ptr<CallerConnection> watched = aConnection;
  aSocket.async_wait(asio::socket_base::wait_read,
                     [&aSocket, watched](const Error& aEnded) {
                       std::shared_ptr<CallerConnection> connection = watched.lock();
                       if (aEnded || !connection || !PeerHasClosed(aSocket)) {
                         return;
                       }
                       connection->mDisconnected = true;
                       if (connection->mOnDisconnect) {
                         connection->mOnDisconnect();
                       }
                     });
}

} // namespace

Listener::Listener(Core& aCore, const Format& aFormat)
  : mCore(aCore)
  , mFormat(aFormat)
  , mReader(aCore)
{
}

std::size_t MaxConnections(Audience aAudience, std::size_t aDescriptors)
{
  // The rest is kept for peers, the store and backend servers.
  constexpr std::array kDivisors = { 2, 8, 16 };
  return aDescriptors /
         static_cast<std::size_t>(kDivisors.at(static_cast<std::size_t>(aAudience)));
}

void Listener::Open(const base::HostPort& aAt, Handler aHandler, Audience aAudience)
{
  mEndpoints.push_back({ asio::ip::tcp::acceptor(mCore.mContext),
                         std::move(aHandler),
                         MaxConnections(aAudience, DescriptorLimit(mCore.mSettings)) });
  BindAndListen(mEndpoints.back().mAcceptor, aAt);
  Spawn(mCore.mContext, "accept", AcceptConnections(mEndpoints.back()));
}

// Connections that the kernel has established but that were not accepted yet would be
// reset with the listening socket.
void Listener::StopAccepting()
{
  for (Endpoint& endpoint : mEndpoints) {
    Error error;
    endpoint.mAcceptor.non_blocking(true, error);
    while (!error) {
      Socket socket(mCore.mContext);
      endpoint.mAcceptor.accept(socket, error);
      if (!error) {
        StartSession(std::move(socket), endpoint);
      }
    }
    endpoint.mAcceptor.close(error);
  }
}

bool Listener::IsBusy(Session& aSession) const
{
  bool isNew =
    aSession.mRequests == 0 && mCore.Now() - aSession.mAcceptedAt < kFirstRequestTime;
  return aSession.mAnswering || aSession.HasPartialRequest() || isNew ||
         aSession.HasMoreBytes();
}

bool Listener::HasUndelivered()
{
  return std::ranges::any_of(mSessions, [&](Session& aSession) {
    return IsBusy(aSession) || aSession.mLingering;
  });
}

void Listener::CloseIdle()
{
  for (Session& session : mSessions) {
    if (!IsBusy(session)) {
      session.mStream.close();
    }
  }
}

Awaitable<void> Listener::AcceptConnections(Endpoint& aEndpoint)
{
  while (aEndpoint.mAcceptor.is_open()) {
    Error error;
    auto socket = co_await aEndpoint.mAcceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // E.g. out of file descriptors: keep serving open connections and retry.
      co_await mCore.Sleep(kAcceptRetryDelay);
      continue;
    }
    StartSession(std::move(socket), aEndpoint);
  }
}

// Closes the connection that has had no request for the longest time. The one whose
// request is being served stays.
void Listener::EndIdlest(const Endpoint& aEndpoint)
{
  Session* idlest = nullptr;
  for (Session& session : mSessions) {
    bool mayEnd = &session.mEndpoint == &aEndpoint && !session.mAnswering &&
                  session.mStream.socket().is_open();
    if (mayEnd && (!idlest || session.mMovedAt < idlest->mMovedAt)) {
      idlest = &session;
    }
  }
  ++mCore.mEndedForDescriptors;
  if (mCore.Now() - mLimitLoggedAt >= kLimitLogInterval) {
    mLimitLoggedAt = mCore.Now();
    base::Log(spdlog::level::warn,
              base::Event::ConnectionsFull,
              "limit={} ended={}",
              aEndpoint.mMaxSessions,
              mCore.mEndedForDescriptors);
  }
  if (idlest) {
    idlest->mStream.close();
  }
}

// At the limit a new connection takes the place of an idle one. If all have a request in
// service, it is closed before anything is read.
void Listener::StartSession(Socket aSocket, Endpoint& aEndpoint)
{
  Error error;
  if (aEndpoint.mSessions >= aEndpoint.mMaxSessions) {
    EndIdlest(aEndpoint);
    if (aEndpoint.mSessions >= aEndpoint.mMaxSessions + kEndingSessions) {
      return;
    }
  }
  aSocket.set_option(asio::ip::tcp::no_delay(true), error);
  net::EnableDeadPeerDetection(aSocket);
  ++aEndpoint.mSessions;
  mSessions.emplace_back(std::move(aSocket), aEndpoint, mCore.mMemory, mCore.Now());
  Spawn(mCore.mContext, "connection", ServeConnection(std::prev(mSessions.end())));
}

Awaitable<net::Response> Listener::HandleRequest(Session& aSession, net::Request aRequest)
{
  Error error;
  Socket& socket = aSession.mStream.socket();
  auto remote = socket.remote_endpoint(error).address();
  auto connection = std::make_shared<CallerConnection>();
  aSession.mCaller = connection;
  aSession.mHandling = true;
  connection->mAddress = remote.is_v4() ? remote.to_v4().to_uint() : 0;
  connection->mHold = &aSession.mHold;
  connection->mProbeClosed = [&socket] { return PeerHasClosed(socket); };
  WatchForDisconnect(socket, connection);
  net::Response response;
  try {
    response = co_await aSession.mEndpoint.mHandler(std::move(aRequest), *connection);
  } catch (const std::exception& failure) {
    // It is unknown whether the request ran, so the result must not promise that it did
    // not.
    base::Log(spdlog::level::err, base::Event::RequestBroken, "cause={}", failure.what());
    decide::Outcome outcome;
    outcome.mResult = Result::AnswerLost;
    response = mFormat.ToCaller(std::move(outcome));
  }
  aSession.mHandling = false;
  if (aSession.mOverride == Override::None) {
    socket.cancel(error);
  }
  co_return response;
}

void Listener::AnswerUnhandled()
{
  for (auto session = mSessions.begin(); session != mSessions.end(); ++session) {
    if (!session->mHandling || session->mOverride != Override::None) {
      continue;
    }
    base::Log(spdlog::level::warn,
              base::Event::RequestCut,
              "request={}",
              session->mCaller->mRequestId);
    session->mOverride = Override::Writing;
    Spawn(mCore.mContext, "override-handler", OverrideHandler(session));
  }
}

// The session stays until the handler has returned.
Awaitable<void> Listener::OverrideHandler(std::list<Session>::iterator aSession)
{
  decide::Outcome outcome;
  outcome.mResult = Result::AnswerTimeout;
  net::Response response = mFormat.ToCaller(std::move(outcome));
  response.keep_alive(false);
  response.prepare_payload();
  Error error = co_await WriteResponse(*aSession, response);
  aSession->mAnswering = false;
  if (!error) {
    co_await Linger(*aSession);
  }
  aSession->mOverride = Override::Done;
}

Awaitable<void> Listener::AwaitOverride(const Session& aSession)
{
  while (aSession.mOverride == Override::Writing) {
    co_await mCore.Sleep(kOverridePollInterval);
  }
}

// Logs what became of an answer in a planned stop.
void Listener::LogWritten(const Session& aSession,
                          const net::Response& aResponse,
                          const Error& aError) const
{
  if (mCore.mStop.HasBegun()) {
    base::Log(spdlog::level::info,
              base::Event::AnswerWritten,
              "request={} status={} error={}",
              aSession.mCaller ? aSession.mCaller->mRequestId : "",
              aResponse.result_int(),
              aError ? aError.message() : "none");
  }
}

// Lets the caller read the last response. Bytes that the caller still sends are read and
// dropped, because closing a connection with unread bytes resets it, and a reset discards
// the response.
Awaitable<void> Listener::Linger(Session& aSession)
{
  Error error;
  beast::tcp_stream& stream = aSession.mStream;
  aSession.mLingering = true;
  stream.socket().shutdown(Socket::shutdown_send, error);
  std::array<char, kLingerReadBytes> dropped;
  stream.expires_after(kLingerTime);
  while (!error) {
    co_await stream.async_read_some(asio::buffer(dropped),
                                    asio::redirect_error(asio::use_awaitable, error));
  }
  aSession.mLingering = false;
}

// Writes a response. Its caller's reading counts as progress.
Awaitable<Error> Listener::WriteResponse(Session& aSession, net::Response& aResponse)
{
  aSession.mHold.Reset();
  aSession.mHold.SetMessage(aResponse.body().size());
  aSession.mHold.EnterPhase(decide::HoldPhase::Sending);
  http::response_serializer<http::string_body> serializer(aResponse);
  aSession.mStream.expires_after(kWriteTimeout);
  Error error;
  while (!error && !serializer.is_done()) {
    std::size_t count = co_await http::async_write_some(
      aSession.mStream, serializer, asio::redirect_error(asio::use_awaitable, error));
    aSession.mHold.RecordProgress(count);
  }
  LogWritten(aSession, aResponse, error);
  co_return error;
}

// Serves requests one after the other, also if they arrive pipelined. Returns after a
// request that could not be read completely, since the bytes that follow it cannot be
// trusted.
Awaitable<void> Listener::ServeRequests(Session& aSession)
{
  for (bool keepAlive = true; keepAlive;) {
    aSession.mHold.Reset();
    ReadOutcome received = co_await mReader.Read(aSession);
    if (received.mClosed) {
      co_return;
    }
    aSession.mAnswering = true;
    ++aSession.mRequests;
    net::Response response;
    keepAlive = false;
    if (received.mFailure != Result::Ok) {
      decide::Outcome refusal;
      refusal.mResult = received.mFailure;
      refusal.mRetryAfter = decide::RetryAfter(received.mFailure, aSession.mRequests);
      response = mFormat.ToCaller(std::move(refusal));
    } else {
      keepAlive = received.mRequest.keep_alive();
      aSession.ReleaseSpareMemory();
      aSession.mHold.SetMessage(received.mRequest.body().size() +
                                aSession.mBuffer.capacity());
      aSession.mHold.EnterPhase(decide::HoldPhase::Serving);
      response = co_await HandleRequest(aSession, std::move(received.mRequest));
    }
    if (aSession.mOverride != Override::None) {
      co_await AwaitOverride(aSession);
      co_return;
    }
    keepAlive = keepAlive && (!mCore.mLeaving || aSession.HasMoreBytes());
    response.keep_alive(keepAlive);
    response.prepare_payload();
    Error error = co_await WriteResponse(aSession, response);
    aSession.mCaller.reset();
    aSession.mAnswering = false;
    if (error) {
      co_return;
    }
  }
  aSession.mHold.Reset();
  co_await Linger(aSession);
}

Awaitable<void> Listener::ServeConnection(std::list<Session>::iterator aSession)
{
  try {
    co_await ServeRequests(*aSession);
  } catch (const std::exception& failure) {
    base::Log(spdlog::level::err, base::Event::RequestBroken, "cause={}", failure.what());
  }
  --aSession->mEndpoint.mSessions;
  mSessions.erase(aSession);
}

} // namespace vanillaloft::entry
