// An open connection of a caller, and the address that it was accepted at.
#pragma once

#include <functional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "entry/core.h"
#include "net/message_parser.h"

namespace vanillaloft::entry {

using RequestParser = net::MessageParser<true>;

// A connection without a request keeps no larger buffer.
constexpr std::size_t kMaxSpareBytes = 4UL * 1024;

// Serves the requests of one listening address. The CallerConnection is valid until the
// response is returned.
using Handler = std::function<Awaitable<net::Response>(net::Request, CallerConnection&)>;

// A listening address.
struct Endpoint
{
  boost::asio::ip::tcp::acceptor mAcceptor;
  Handler mHandler;
  std::size_t mMaxSessions;
  std::size_t mSessions = 0; // open now
};

// Whether a request is answered by Listener::AnswerUnhandled instead of its handler.
enum class Override : std::uint8_t
{
  None,
  Writing,
  Done
};

// An open connection.
struct Session
{
  Session(boost::asio::ip::tcp::socket aSocket,
          Endpoint& aEndpoint,
          MemoryGate& aMemory,
          Instant aAcceptedAt)
    : mStream(std::move(aSocket))
    , mEndpoint(aEndpoint)
    , mAcceptedAt(aAcceptedAt)
    , mMovedAt(aAcceptedAt)
    , mHold(aMemory, [this] { GiveUp(); })
  {
  }
  // Ends what keeps the bytes: a request that arrives is refused, an answer is cut off.
  void GiveUp();
  // Gives the memory of an empty buffer back if it has become large.
  void ReleaseSpareMemory();
  bool HasPartialRequest() const;
  // True if bytes have arrived that were not parsed yet, such as a pipelined request.
  bool HasMoreBytes();

  boost::beast::tcp_stream mStream;
  Endpoint& mEndpoint;
  Instant mAcceptedAt;
  Instant mMovedAt; // last time at which bytes arrived
  boost::beast::flat_buffer mBuffer;
  std::chrono::steady_clock::time_point
    mReadEnd;                             // time limit of the request that is read
  const RequestParser* mParser = nullptr; // set while a request is read
  bool mAnswering = false; // from the end of a request to that of its response
  bool mCutByStop = false; // a planned stop ends the request that is read
  bool mLingering = false; // the last response is written, its caller reads it
  Override mOverride = Override::None;
  std::shared_ptr<CallerConnection> mCaller; // while a request is answered
  bool mHandling = false;                    // its handler has not returned
  unsigned mRequests = 0;                    // read so far
  Hold mHold;
};

} // namespace vanillaloft::entry
