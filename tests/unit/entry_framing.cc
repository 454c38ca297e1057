// Unit tests of the division of a caller's bytes into requests.
#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>

#include "base/clock.h"
#include "canned.h"
#include "entry/listener.h"

using namespace vanillaloft;
using namespace vanillaloft::entry;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// What one connection's bytes lead to.
struct Received
{
  std::vector<std::string> mServed; // body of each request that was passed on
  std::vector<bool> mAuthorised;    // whether each of them has an Authorization field
  unsigned mLastStatus = 0;         // of the last response; 0: none
};

unsigned LastStatus(const std::string& aResponses)
{
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  std::size_t at = aResponses.rfind(kVersion);
  return at == std::string::npos
           ? 0
           : unsigned(std::stoi(aResponses.substr(at + kVersion.size(), 3)));
}

// Sends aBytes to a listener on loopback and closes the sending side.
Received Send(const std::string& aBytes)
{
  asio::io_context context;
  base::SystemClock clock;
  Core core(context,
            clock,
            { "d1", { "127.0.0.1", 1 }, "127.0.0.1:2", {}, "", 30s, 10s, 60s },
            { "127.0.0.1:2", 7 },
            "secret");
  NativeFormat format;
  Listener listener(core, format);
  Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
  Tcp::endpoint at = Tcp::acceptor(context, anyPort).local_endpoint();
  Received received;
  listener.Open(
    { "127.0.0.1", at.port() },
    [&](net::Request aRequest, CallerConnection&) -> Awaitable<net::Response> {
      received.mServed.push_back(aRequest.body());
      received.mAuthorised.push_back(
        aRequest.count(boost::beast::http::field::authorization) > 0);
      co_return net::ResponseWithStatus(200);
    });
  std::string responses;
  auto exchange = [&]() -> Awaitable<bool> {
    Tcp::socket caller(context);
    co_await caller.async_connect(at, asio::use_awaitable);
    co_await asio::async_write(caller, asio::buffer(aBytes), asio::use_awaitable);
    caller.shutdown(Tcp::socket::shutdown_send);
    boost::system::error_code error;
    co_await asio::async_read(caller,
                              asio::dynamic_buffer(responses),
                              asio::redirect_error(asio::use_awaitable, error));
    co_return true;
  };
  test::RunCoroutine(context, exchange());
  received.mLastStatus = LastStatus(responses);
  return received;
}

struct Row
{
  std::string mBytes;
  unsigned mStatus; // of the last response
  unsigned mServed; // requests that a server sees
};

const std::string kNext = "GET /next HTTP/1.1\r\n\r\n";

std::string Post(const std::string& aFields, const std::string& aBody)
{
  return "POST / HTTP/1.1\r\nHost: a\r\n" + aFields + "\r\n" + aBody;
}

std::string Coding(const std::string& aValue, const std::string& aBody = kNext)
{
  return Post("Transfer-Encoding: " + aValue + "\r\n", aBody);
}

std::string Length(const std::string& aValue)
{
  return Post("Content-Length: " + aValue + "\r\n", "hello" + kNext);
}

std::string Chunked(const std::string& aBody)
{
  return Coding("chunked", aBody + kNext);
}

const std::vector<Row> kRows = {
  // Well-formed requests
  { kNext + kNext, 200, 2 },
  { Length("5"), 200, 2 },
  { Length("005"), 200, 2 },
  { Length("\t5  "), 200, 2 },
  { Length("5, 5"), 200, 2 },
  { Post("Content-Length: 5\r\ncontent-length: 5\r\n", "hello" + kNext), 200, 2 },
  { Chunked("5\r\nhello\r\n0\r\n\r\n"), 200, 2 },
  { Chunked("05;a=b\r\nhello\r\n0\r\n\r\n"), 200, 2 },
  { Chunked("5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n"), 200, 2 },
  { Coding("Chunked", "0\r\n\r\n" + kNext), 200, 2 },
  // Transfer codings
  { Coding("xchunked"), 501, 0 },
  { Coding("gzip"), 501, 0 },
  { Coding("identity"), 501, 0 },
  { Coding("gzip, chunked", "0\r\n\r\n" + kNext), 501, 0 },
  { Coding("chunked, gzip", "0\r\n\r\n" + kNext), 501, 0 },
  { Coding("chunked;q=1", "0\r\n\r\n" + kNext), 501, 0 },
  { Coding("\"chunked\""), 501, 0 },
  { Coding("chun ked"), 501, 0 },
  { Coding("chunked, chunked", "0\r\n\r\n" + kNext), 400, 0 },
  { Coding("chunked,", "0\r\n\r\n" + kNext), 400, 0 },
  { Coding("", "0\r\n\r\n" + kNext), 400, 0 },
  { Post("Transfer-Encoding: chunked\r\nTransfer-Encoding: xchunked\r\n", kNext),
    501,
    0 },
  { Post("Transfer-Encoding: xchunked\r\nTransfer-Encoding: chunked\r\n", kNext),
    501,
    0 },
  { "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + kNext, 400, 0 },
  { kNext + Coding("xchunked"), 501, 1 },
  // A length beside a coding
  { Post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400, 0 },
  { Post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"), 400, 0 },
  { Post("Transfer-Encoding: xchunked\r\nContent-Length: 5\r\n", "hello"), 400, 0 },
  // Lengths
  { Post("Content-Length: 5\r\nContent-Length: 0\r\n", "hello" + kNext), 400, 0 },
  { Length("5, 6"), 400, 0 },
  { Length("5,"), 400, 0 },
  { Length("+5"), 400, 0 },
  { Length("-5"), 400, 0 },
  { Length("0x5"), 400, 0 },
  { Length("5.0"), 400, 0 },
  { Length("5 5"), 400, 0 },
  { Length(""), 400, 0 },
  { Length("18446744073709551621"), 400, 0 },
  // Lines
  { Post("X-Fold: a\r\n b\r\n", kNext), 400, 0 },
  { Post("Content-Length: 5\r\n\t0\r\n", "hello" + kNext), 400, 0 },
  { Post("Transfer-Encoding:\r\n chunked\r\n", "0\r\n\r\n" + kNext), 400, 0 },
  { "POST / HTTP/1.1\r\n Content-Length: 5\r\n\r\nhello", 400, 0 },
  { Post("Content-Length : 5\r\n", "hello" + kNext), 400, 0 },
  { Post("Transfer-Encoding\t: chunked\r\n", "0\r\n\r\n" + kNext), 400, 0 },
  { Post(": 5\r\n", kNext), 400, 0 },
  { Post("Content-Length\r\n", kNext), 400, 0 },
  { "GET / HTTP/1.1\n\n" + kNext, 400, 0 },
  { Post("X-A: b\nContent-Length: 5\r\n", "hello" + kNext), 400, 0 },
  { Post("X-A: b\rContent-Length: 5\r\n", "hello" + kNext), 400, 0 },
  { Post("X-A: b\r\n\nContent-Length: 5\r\n", "hello" + kNext), 400, 0 },
  { Post(std::string("X-A: b\0c\r\n", 10), kNext), 400, 0 },
  { "\r\n" + kNext, 400, 0 },
  { "GET  / HTTP/1.1\r\n\r\n", 400, 0 },
  { "GET / HTTP/1.1 \r\n\r\n", 400, 0 },
  // Chunks
  { Chunked("+5\r\nhello\r\n0\r\n\r\n"), 400, 0 },
  { Chunked("0x5\r\nhello\r\n0\r\n\r\n"), 400, 0 },
  { Chunked("5\nhello\r\n0\r\n\r\n"), 400, 0 },
  { Chunked("5\r\nhello\n0\r\n\r\n"), 400, 0 },
  { Chunked("5;a=\"\n\"\r\nhello\r\n0\r\n\r\n"), 400, 0 },
  { Chunked("4\r\nhello\r\n0\r\n\r\n"), 400, 0 },
  { Chunked("10000000000000005\r\nhello\r\n0\r\n\r\n"), 400, 0 },
  { Coding("chunked", "5\r\nhel"), 400, 0 },
};

} // namespace

// Guards against smuggling (UNASKED): bytes of one request run as another one.
TEST_CASE("bytes that can be divided in two ways are refused and end the connection")
{
  REQUIRE(kRows.size() >= 40);
  for (const Row& row : kRows) {
    CAPTURE(row.mBytes);
    Received received = Send(row.mBytes);
    CHECK(received.mLastStatus == row.mStatus);
    CHECK(received.mServed.size() == row.mServed);
  }
}

// Guards against fields that a server trusts but that were not part of the head.
TEST_CASE("fields of a trailer do not become fields of the request")
{
  Received received = Send(Chunked("0\r\nAuthorization: Token k1\r\n\r\n"));
  CHECK(received.mAuthorised == std::vector<bool>{ false, false });
}
