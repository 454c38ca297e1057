// Test helpers for HTTP clients: servers with canned responses, and running a coroutine.
#pragma once

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "base/settings.h"

namespace vanillaloft::test {

// A loopback server in the test's io_context that accepts one connection, reads the head
// of a request and responds with fixed bytes.
class CannedServer
{
public:
  // Sends the response in pieces of aPieceBytes.
  CannedServer(boost::asio::io_context& aContext,
               std::string aResponse,
               std::size_t aPieceBytes = std::string::npos)
    : mAcceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
    , mResponse(std::move(aResponse))
    , mPieceBytes(aPieceBytes)
  {
    boost::asio::co_spawn(aContext, Serve(), boost::asio::detached);
  }

  base::HostPort Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }
  // The bytes that the client sent, at least up to the end of the head.
  const std::string& Received() const { return mReceived; }

private:
  boost::asio::awaitable<void> Serve()
  {
    auto socket = co_await mAcceptor.async_accept(boost::asio::use_awaitable);
    co_await boost::asio::async_read_until(socket,
                                           boost::asio::dynamic_buffer(mReceived),
                                           "\r\n\r\n",
                                           boost::asio::use_awaitable);
    socket.set_option(boost::asio::ip::tcp::no_delay(true));
    for (std::size_t from = 0; from < mResponse.size();) {
      std::size_t size = std::min(mPieceBytes, mResponse.size() - from);
      co_await boost::asio::async_write(
        socket,
        boost::asio::buffer(mResponse.data() + from, size),
        boost::asio::use_awaitable);
      from += size;
    }
  }

  boost::asio::ip::tcp::acceptor mAcceptor;
  std::string mResponse;
  std::size_t mPieceBytes;
  std::string mReceived;
};

// How a ScriptedServer ends its connection.
enum class ServerClose : std::uint8_t
{
  Never, // keeps the connection open until the caller closes it
  Finish,
  Reset
};

// A loopback server in the test's io_context that accepts one connection and sends the
// next of its scripted texts after the head of each request.
class ScriptedServer
{
public:
  ScriptedServer(boost::asio::io_context& aContext,
                 std::vector<std::string> aTexts,
                 ServerClose aClose = ServerClose::Never)
    : mAcceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
    , mTexts(std::move(aTexts))
    , mClose(aClose)
  {
    boost::asio::co_spawn(aContext, Serve(), boost::asio::detached);
  }

  base::HostPort Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }
  unsigned Requests() const { return mRequests; }

private:
  boost::asio::awaitable<void> Serve()
  {
    auto socket = co_await mAcceptor.async_accept(boost::asio::use_awaitable);
    std::string received;
    for (const std::string& text : mTexts) {
      std::size_t head =
        co_await boost::asio::async_read_until(socket,
                                               boost::asio::dynamic_buffer(received),
                                               "\r\n\r\n",
                                               boost::asio::use_awaitable);
      received.erase(0, head);
      ++mRequests;
      co_await boost::asio::async_write(
        socket, boost::asio::buffer(text), boost::asio::use_awaitable);
    }
    if (mClose == ServerClose::Reset) {
      socket.set_option(boost::asio::socket_base::linger(true, 0));
      socket.close(); // the destructor would close without a reset
    }
    if (mClose == ServerClose::Never) {
      co_await boost::asio::async_read_until(socket,
                                             boost::asio::dynamic_buffer(received),
                                             "\r\n\r\n",
                                             boost::asio::use_awaitable);
      ++mRequests;
    }
  }

  boost::asio::ip::tcp::acceptor mAcceptor;
  std::vector<std::string> mTexts;
  ServerClose mClose;
  unsigned mRequests = 0;
};

// Runs a coroutine to completion and returns its value; rethrows its exception.
template<typename T>
T RunCoroutine(boost::asio::io_context& aContext, boost::asio::awaitable<T> aCoroutine)
{
  std::exception_ptr failure;
  T result{};
  boost::asio::co_spawn(
    aContext, std::move(aCoroutine), [&](std::exception_ptr aFailure, T aResult) {
      failure = aFailure;
      result = std::move(aResult);
      aContext.stop();
    });
  aContext.restart();
  aContext.run();
  if (failure) {
    std::rethrow_exception(failure);
  }
  return result;
}

// Returns all that a caller receives up to the end of its connection, or the error that
// ended it.
inline std::string ReadAll(boost::asio::ip::tcp::socket& aCaller)
{
  std::string received;
  boost::system::error_code error;
  boost::asio::read(aCaller, boost::asio::dynamic_buffer(received), error);
  return error == boost::asio::error::eof ? received : "failed: " + error.message();
}

} // namespace vanillaloft::test
