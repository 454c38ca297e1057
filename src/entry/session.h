// HTTP/1.1 listeners: one for callers, one for operators.
#pragma once

#include <functional>
#include <memory>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "entry/core.h"
#include "entry/lookup.h"
#include "entry/pipeline.h"

namespace vanillaloft::entry {

constexpr std::size_t kLargestHead = 16UL * 1024;   // bytes
constexpr std::size_t kLargestBody = 1024UL * 1024; // bytes

// Reads requests of callers, passes them on and writes the answers.
class Listener
{
public:
  Listener(Core& aCore, Pipeline& aPipeline, LookUps& aLookUps);

  // Binds the callers' address and accepts until Close. Throws std::system_error.
  void Open(base::HostPort aAt);
  // Binds the operators' address.
  void OpenAdmin(base::HostPort aAt);
  void Close();

private:
  using Acceptor = boost::asio::ip::tcp::acceptor;
  using Handle = Awaitable<net::Response> (Listener::*)(net::Request, std::uint32_t);

  Awaitable<void> Accept(Acceptor& aAcceptor, Handle aHandle);
  Awaitable<void> Session(boost::asio::ip::tcp::socket aSocket, Handle aHandle);
  Awaitable<net::Response> Caller(net::Request aRequest, std::uint32_t aClient);
  Awaitable<net::Response> Admin(net::Request aRequest, std::uint32_t aClient);
  std::string NextRequestId();

  Core& mCore;
  Pipeline& mPipeline;
  LookUps& mLookUps;
  Acceptor mAcceptor;
  Acceptor mAdminAcceptor;
  std::uint64_t mRequests = 0;
};

} // namespace vanillaloft::entry
