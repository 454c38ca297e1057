// HTTP/1.1 client calls over Beast, for the platform's store and for backend servers.
#pragma once

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/settings.h"

namespace vanillaloft::net {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

template<typename T>
using Awaitable = boost::asio::awaitable<T>;

constexpr unsigned kHttp11 = 11;
constexpr std::size_t kMaxResponseBodyBytes = 4UL * 1024 * 1024; // bytes

// How far a call came before it failed.
enum class Stage : std::uint8_t
{
  Connect, // nothing was written
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

// The longest time in which sent bytes stay unacknowledged, and in which a silent peer is
// asked whether it is still there. Without this a call over a link that was cut hangs.
constexpr std::chrono::milliseconds kDeadPeerTimeout{ 3000 };

// Makes the system close a connection whose peer has fallen silent.
void EnableDeadPeerDetection(boost::asio::ip::tcp::socket& aSocket);

// Longest time to establish a connection: a lost opening packet is sent again after a
// second, which is too late for most callers.
constexpr std::chrono::milliseconds kConnectTimeout{ 500 };

// One client connection. A call that fails leaves it unusable: a late answer must never
// be taken for the answer to a later request.
class Connection
{
public:
  explicit Connection(const boost::asio::any_io_executor& aExecutor);

  // Throws CallError at Stage::Connect.
  Awaitable<void> Connect(base::HostPort aTo, std::chrono::milliseconds aTimeout);
  // Sends a request and reads the whole answer; throws CallError at Stage::Sent.
  Awaitable<Response> Call(const Request& aRequest, std::chrono::milliseconds aTimeout);
  // Also ends when nothing comes for aStall.
  Awaitable<Response> Call(const Request& aRequest,
                           std::chrono::milliseconds aTimeout,
                           std::chrono::milliseconds aStall);
  // False once the peer has closed or sent something that was not asked for.
  bool IsReusable();
  // Ends a call that is under way; it then throws CallError.
  void Close() { mStream.close(); }

private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
  Awaitable<void> ReadSome(Parser& aParser);

  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer;
  bool mKeepsAlive = false;
};

// One call on a connection of its own; throws CallError.
Awaitable<Response> CallOnce(base::HostPort aTo,
                             Request aRequest,
                             std::chrono::milliseconds aTimeout);
Awaitable<Response> CallOnce(base::HostPort aTo,
                             Request aRequest,
                             std::chrono::milliseconds aTimeout,
                             std::chrono::milliseconds aStall);

} // namespace vanillaloft::net
