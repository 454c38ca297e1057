// HTTP/1.1 client calls over Beast, for the platform's store and for backend servers.
#pragma once

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/settings.h"
#include "net/framing.h"
#include "net/message_parser.h"

namespace vanillaloft::net {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

template<typename T>
using Awaitable = boost::asio::awaitable<T>;

constexpr unsigned kHttp11 = 11;

// The final statuses that a response may have, also those that HTTP does not define.
// Lower ones are interim or none.
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 999;

// A response with any status of three digits, also one that Beast has no name for.
inline Response ResponseWithStatus(unsigned aStatus)
{
  Response response;
  response.version(kHttp11);
  response.result(aStatus);
  return response;
}

// The bytes that a buffer holds; valid until the buffer changes.
inline std::string_view BytesOf(const boost::beast::flat_buffer& aBuffer)
{
  return { static_cast<const char*>(aBuffer.data().data()), aBuffer.size() };
}

constexpr std::size_t kMaxResponseBodyBytes = 4UL * 1024 * 1024;

// The parser limits the head and the body of a message, but not the line of a chunk's
// size nor the trailers. It keeps back the bytes of an incomplete one, up to this many.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;

// The stage at which a call failed.
enum class Stage : std::uint8_t
{
  Connect, // no byte of the request was written
  Sent     // the peer may have received the request
};

class CallError : public std::runtime_error
{
public:
  CallError(Stage aStage, bool aTimedOut, const std::string& aCause)
    : std::runtime_error(aCause)
    , mStage(aStage)
    , mTimedOut(aTimedOut)
  {
  }
  Stage FailedStage() const { return mStage; }
  bool TimedOut() const { return mTimedOut; }

private:
  Stage mStage;
  bool mTimedOut;
};

// Sent bytes may stay unacknowledged, and keep-alive probes unanswered, for this long.
// Without this limit a call over an interrupted link would hang.
constexpr std::chrono::milliseconds kDeadPeerTimeout{ 3000 };

// Makes the kernel close a connection whose peer does not respond for kDeadPeerTimeout.
void EnableDeadPeerDetection(boost::asio::ip::tcp::socket& aSocket);

// Longest time to establish a connection. A lost SYN packet is retransmitted after a
// second, which is too late for most callers.
constexpr std::chrono::milliseconds kConnectTimeout{ 500 };

// Bounds the memory that responses take while they are read.
class ReadBudget
{
public:
  virtual ~ReadBudget() = default;
  // Called before each read. The response would hold aBytes; false if there is no room.
  virtual bool Grow(std::size_t aBytes) = 0;
  // Waits for room, for a short time.
  virtual Awaitable<void> Pause() = 0;
};

// A client connection with at most one call in flight. A failed call leaves it unusable:
// a late response must never be taken for the response to a later request.
class Connection
{
public:
  explicit Connection(const boost::asio::any_io_executor& aExecutor);

  // Throws CallError at Stage::Connect.
  Awaitable<void> Connect(base::HostPort aTo, std::chrono::milliseconds aTimeout);
  // Sends a request and reads the whole response. Throws CallError at Stage::Sent.
  Awaitable<Response> Call(const Request& aRequest, std::chrono::milliseconds aTimeout);
  // Also fails if no bytes arrive for aStallTimeout.
  Awaitable<Response> Call(const Request& aRequest,
                           std::chrono::milliseconds aTimeout,
                           std::chrono::milliseconds aStallTimeout);
  // Sends a request whose body, aBody, stays where it is. The peer may respond before it
  // has read a long body. That response is returned, and the connection is closed without
  // the rest of the body, so that no other bytes can take its place. Throws CallError at
  // Stage::Sent, also if the connection was reset before the end of a response without a
  // length.
  Awaitable<Response> Call(const Request& aHead,
                           std::string_view aBody,
                           std::chrono::milliseconds aTimeout);
  // Closes the connection if the request of a call in flight is not wholly sent. The peer
  // then sees an incomplete request, and the call throws CallError.
  void CloseIfSending();
  // Reads one more response, after one that did not belong to the request of the last
  // call. Throws CallError at Stage::Sent.
  Awaitable<Response> ReadNext(std::chrono::milliseconds aTimeout);
  // Number of responses read from this connection, without interim ones.
  std::size_t ResponsesRead() const { return mResponsesRead; }
  // True if another call may use the connection. False after a failed call, and once the
  // peer has closed the connection or sent bytes that no request asked for.
  bool IsReusable();
  // Responses are read within aBudget until it is replaced by null.
  void SetReadBudget(ReadBudget* aBudget) { mBudget = aBudget; }
  // Aborts a call in flight, which then throws CallError.
  void Close() { mStream.close(); }

private:
  struct Parser : MessageParser<false>
  {
    HeadScanner mHead{ MessageKind::Response };
  };
  // Time limits of the response that is being read.
  struct ReadLimits
  {
    std::chrono::steady_clock::time_point mEnd;
    std::chrono::milliseconds mStall{}; // longest time without bytes
    bool mWithoutBody = false;          // the response to a HEAD request
  };

  Awaitable<void> PauseForRoom(const Parser& aParser, ReadLimits aLimits);
  Awaitable<void> ReadSome(Parser& aParser);
  bool HasWholeHead(HeadScanner& aHead);
  // Sends a request and reads the response to it. Throws CallError.
  template<typename Message>
  Awaitable<Response> SendAndRead(const Message& aRequest,
                                  std::chrono::milliseconds aTimeout,
                                  std::chrono::milliseconds aStallTimeout);
  // Reads the response already while the request is sent. Throws CallError.
  template<typename Message>
  Awaitable<Response> SendWhileReading(const Message& aRequest,
                                       std::chrono::milliseconds aTimeout);
  template<typename Message>
  void BeginCall(const Message& aRequest,
                 std::chrono::milliseconds aTimeout,
                 std::chrono::milliseconds aStallTimeout);
  // Closes the connection if the request is not wholly sent, and waits for its write.
  Awaitable<void> StopSending();
  // Checks that the peer, and no failure of the connection, ended a response that has no
  // length. Throws CallError.
  Awaitable<void> ConfirmEnd();
  void ParseBuffer(Parser& aParser);
  Awaitable<Response> ReadResponse(ReadLimits aLimits);
  Awaitable<Response> ReadFinalResponse(ReadLimits aLimits);

  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer;
  ReadLimits mLimits; // of the last call
  ReadBudget* mBudget = nullptr;
  std::size_t mResponsesRead = 0;
  bool mReusable = false;
  bool mSending = false;                  // a request is not wholly sent yet
  boost::asio::steady_timer mSendingEnds; // never expires; its waits end with the sending
  boost::system::error_code mSendError;   // of the last call that read while sending
};

// Ends the call that it was given to. Shared with the call, whose coroutine may be
// destroyed after the caller at the end of the process.
class CallHandle
{
public:
  // Aborts the call if it is in flight; it then throws CallError.
  void Abort()
  {
    if (mConnection) {
      mConnection->Close();
    }
  }

private:
  friend class CallHandleUse;
  Connection* mConnection = nullptr;
};

// Makes one call on a new connection. Throws CallError.
Awaitable<Response> CallOnce(base::HostPort aTo,
                             Request aRequest,
                             std::chrono::milliseconds aTimeout);
// aHandle may be null.
Awaitable<Response> CallOnce(base::HostPort aTo,
                             Request aRequest,
                             std::chrono::milliseconds aTimeout,
                             std::chrono::milliseconds aStallTimeout,
                             std::shared_ptr<CallHandle> aHandle = nullptr);

} // namespace vanillaloft::net
