// Test helper: a backend server that responds before it has read the body of a request.
#pragma once

#include <chrono>
#include <string>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

#include "canned.h"

namespace vanillaloft::test {

// More than the sockets of a loopback connection hold.
constexpr std::size_t kUploadBytes = 32UL * 1024 * 1024;

// What an EarlyServer does after its response.
enum class EarlyEnd : std::uint8_t
{
  Never,           // keeps the connection open and reads no more
  Finish,          // ends its side and reads on until the caller closes
  FinishThenReset, // ends its side, and resets the connection later
  Reset
};

struct EarlyScript
{
  std::string mResponse;
  EarlyEnd mEnd = EarlyEnd::Never;
  std::size_t mBodyBytes = 0;               // read before the response
  std::chrono::milliseconds mPause{ 0 };    // between the response and the end
  std::chrono::milliseconds mHalfOpen{ 0 }; // between the two steps of FinishThenReset
};

// A loopback server in the test's io_context. It serves one request on each connection.
class EarlyServer
{
public:
  EarlyServer(boost::asio::io_context& aContext, EarlyScript aScript)
    : mAcceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
    , mScript(std::move(aScript))
  {
    boost::asio::co_spawn(aContext, Accept(), boost::asio::detached);
  }

  base::HostPort Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }
  unsigned Requests() const { return mRequests; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> Accept()
  {
    for (;;) {
      auto socket = co_await mAcceptor.async_accept(boost::asio::use_awaitable);
      boost::asio::co_spawn(
        mAcceptor.get_executor(), Serve(std::move(socket)), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(Socket aSocket)
  {
    using boost::asio::use_awaitable;
    std::string received;
    std::size_t head = co_await boost::asio::async_read_until(
      aSocket, boost::asio::dynamic_buffer(received), "\r\n\r\n", use_awaitable);
    ++mRequests;
    received.erase(0, head);
    for (std::size_t size = received.size(); size < mScript.mBodyBytes;) {
      received.resize(kReadBytes);
      size +=
        co_await aSocket.async_read_some(boost::asio::buffer(received), use_awaitable);
    }
    co_await boost::asio::async_write(
      aSocket, boost::asio::buffer(mScript.mResponse), use_awaitable);
    co_await Sleep(mScript.mPause);
    co_await End(aSocket);
  }

  boost::asio::awaitable<void> End(Socket& aSocket)
  {
    boost::system::error_code error;
    if (mScript.mEnd == EarlyEnd::Finish || mScript.mEnd == EarlyEnd::FinishThenReset) {
      aSocket.shutdown(Socket::shutdown_send, error);
    }
    if (mScript.mEnd == EarlyEnd::FinishThenReset) {
      co_await Sleep(mScript.mHalfOpen);
    }
    if (mScript.mEnd == EarlyEnd::FinishThenReset || mScript.mEnd == EarlyEnd::Reset) {
      aSocket.set_option(boost::asio::socket_base::linger(true, 0));
      aSocket.close();
      co_return;
    }
    std::string dropped(kReadBytes, '\0');
    while (mScript.mEnd == EarlyEnd::Finish && !error) {
      co_await aSocket.async_read_some(
        boost::asio::buffer(dropped),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }
    co_await Sleep(kOpenTime);
  }

  boost::asio::awaitable<void> Sleep(std::chrono::milliseconds aTime)
  {
    if (aTime.count() == 0) {
      co_return; // the next step follows at once
    }
    boost::asio::steady_timer timer(mAcceptor.get_executor(), aTime);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  static constexpr std::size_t kReadBytes = 64UL * 1024;
  static constexpr std::chrono::milliseconds kOpenTime{ 10'000 };

  boost::asio::ip::tcp::acceptor mAcceptor;
  EarlyScript mScript;
  unsigned mRequests = 0;
};

} // namespace vanillaloft::test
