// A server on loopback that answers one connection with canned bytes, in the test's
// io_context.
#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "base/settings.h"

namespace vanillaloft::test {

class CannedServer
{
public:
  CannedServer(boost::asio::io_context& aContext, std::string aAnswer)
    : mAcceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
    , mAnswer(std::move(aAnswer))
  {
    boost::asio::co_spawn(aContext, Serve(), boost::asio::detached);
  }

  base::HostPort Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }
  // What the client sent, up to the end of the head.
  const std::string& Received() const { return mReceived; }

private:
  boost::asio::awaitable<void> Serve()
  {
    auto socket = co_await mAcceptor.async_accept(boost::asio::use_awaitable);
    co_await boost::asio::async_read_until(socket,
                                           boost::asio::dynamic_buffer(mReceived),
                                           "\r\n\r\n",
                                           boost::asio::use_awaitable);
    co_await boost::asio::async_write(
      socket, boost::asio::buffer(mAnswer), boost::asio::use_awaitable);
  }

  boost::asio::ip::tcp::acceptor mAcceptor;
  std::string mAnswer;
  std::string mReceived;
};

// Runs a coroutine to its end and returns its value; throws what it throws.
template<typename T>
T RunCoroutine(boost::asio::io_context& aContext, boost::asio::awaitable<T> aWork)
{
  std::exception_ptr failure;
  T result{};
  boost::asio::co_spawn(
    aContext, std::move(aWork), [&](std::exception_ptr aFailure, T aResult) {
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

} // namespace vanillaloft::test
