// HTTP/1.1 listeners and the product's own calls.
#pragma once

#include <functional>
#include <list>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "entry/core.h"
#include "entry/lookup.h"
#include "entry/pipeline.h"

namespace vanillaloft::entry {

// Where the configuration says nothing else.
constexpr std::size_t kLargestHead = 16UL * 1024;   // bytes
constexpr std::size_t kLargestBody = 1024UL * 1024; // bytes

// Answers the requests of one listening address. The link lives until the answer is
// there.
using Handler = std::function<Awaitable<net::Response>(net::Request, CallerConnection&)>;

// Reads requests, has them handled and writes the answers.
class Listener
{
public:
  Listener(Core& aCore, const Format& aFormat);

  // Binds an address and accepts until Close. Throws std::system_error.
  void Open(const base::HostPort& aAt, Handler aHandler);
  void Close();

private:
  using Acceptor = boost::asio::ip::tcp::acceptor;
  using Stream = boost::beast::tcp_stream;
  struct Port
  {
    Acceptor mAcceptor;
    Handler mHandler;
  };
  struct Received
  {
    Result mFailure = Result::Ok;
    bool mClosed = false;
    net::Request mRequest;
  };

  Awaitable<void> Accept(Port& aPort);
  Awaitable<void> Session(boost::asio::ip::tcp::socket aSocket, const Handler& aHandler);
  Awaitable<Received> Receive(Stream& aStream, boost::beast::flat_buffer& aBuffer);
  Awaitable<net::Response> Handle(Stream& aStream,
                                  const Handler& aHandler,
                                  net::Request aRequest);

  Core& mCore;
  const Format& mFormat;
  std::list<Port> mPorts;
};

// The product's own calls, for callers and for operators.
class OwnApi
{
public:
  OwnApi(Core& aCore, const Format& aFormat, Pipeline& aPipeline, LookUps& aLookUps)
    : mCore(aCore)
    , mFormat(aFormat)
    , mPipeline(aPipeline)
    , mLookUps(aLookUps)
  {
  }

  Awaitable<net::Response> Caller(net::Request aRequest, CallerConnection& aLink);
  Awaitable<net::Response> Operator(net::Request aRequest);

private:
  net::Response LookUp(const net::Request& aRequest, std::uint32_t aClient) const;

  Core& mCore;
  const Format& mFormat;
  Pipeline& mPipeline;
  LookUps& mLookUps;
  std::uint64_t mRequests = 0;
};

} // namespace vanillaloft::entry
