// HTTP/1.1 server side: listening sockets, connections, and the native API for callers
// and operators.
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

// Limits on requests where the configuration sets none.
constexpr std::size_t kDefaultMaxHeadBytes = 16UL * 1024;
constexpr std::size_t kDefaultMaxBodyBytes = 1024UL * 1024;

// Serves the requests of one listening address. The CallerConnection is valid until the
// response is returned.
using Handler = std::function<Awaitable<net::Response>(net::Request, CallerConnection&)>;

// Accepts connections, reads requests, passes them to a Handler and writes the responses.
class Listener
{
public:
  Listener(Core& aCore, const Format& aFormat);

  // Binds an address and accepts connections until Close. Throws std::system_error.
  void Open(const base::HostPort& aAt, Handler aHandler);
  void Close();

private:
  using Acceptor = boost::asio::ip::tcp::acceptor;
  using Stream = boost::beast::tcp_stream;
  struct Endpoint
  {
    Acceptor mAcceptor;
    Handler mHandler;
  };
  // Result of reading one request.
  struct ReadOutcome
  {
    Result mFailure = Result::Ok; // other than Ok: refuse the request with this code
    bool mClosed = false;         // close the connection without a response
    net::Request mRequest;
  };

  Awaitable<void> AcceptConnections(Endpoint& aEndpoint);
  Awaitable<void> ServeConnection(boost::asio::ip::tcp::socket aSocket,
                                  const Handler& aHandler);
  Awaitable<ReadOutcome> ReadRequest(Stream& aStream, boost::beast::flat_buffer& aBuffer);
  Awaitable<net::Response> HandleRequest(Stream& aStream,
                                         const Handler& aHandler,
                                         net::Request aRequest);

  Core& mCore;
  const Format& mFormat;
  std::list<Endpoint> mEndpoints;
};

// The calls of the product's native interface (docs/INTERFACE.md), for callers and for
// operators.
class NativeApi
{
public:
  NativeApi(Core& aCore,
            const Format& aFormat,
            Pipeline& aPipeline,
            LookupHandler& aLookUps)
    : mCore(aCore)
    , mFormat(aFormat)
    , mPipeline(aPipeline)
    , mLookUps(aLookUps)
  {
  }

  // Serves look-ups and requests for backend servers.
  Awaitable<net::Response> HandleCaller(net::Request aRequest,
                                        CallerConnection& aConnection);
  // Serves /state, /metrics and /ready.
  Awaitable<net::Response> HandleOperator(net::Request aRequest);

private:
  net::Response Lookup(const net::Request& aRequest, std::uint32_t aClient) const;

  Core& mCore;
  const Format& mFormat;
  Pipeline& mPipeline;
  LookupHandler& mLookUps;
  std::uint64_t mRequestCount = 0;
};

} // namespace vanillaloft::entry
