// Unit tests of what callers get for responses that break off or are malformed, and for
// unusual sound ones.
#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>

#include "calling_instance.h"
#include "early.h"
#include "entry/listener.h"
#include "entry/native.h"

using namespace vanillaloft;
using namespace vanillaloft::entry;
using namespace vanillaloft::test;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t kShortBodyBytes = 100;

// An instance that serves callers and places their requests itself.
struct ServingInstance : CallingInstance
{
  Admission mAdmission{ mCore };
  DirectPlacement mPlacement{ mCore, mBackend };
  Pipeline mPipeline{ mCore, mAdmission, mBackend, &mPlacement };
  LookupHandler mLookUps{ mCore };
  NativeApi mApi{ mCore, mFormat, mPipeline, mLookUps };
  Listener mListener{ mCore, mFormat };
  Tcp::endpoint mAddress;

  ServingInstance()
  {
    decide::MemberStatus holder; // an instance that knows one is ready
    holder.mSelf = { "127.0.0.1:3", 1 };
    holder.mHoldsShares = true;
    mCore.mMembers.RecordStatus(holder, mClock.Now());
    Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
    mAddress = Tcp::acceptor(mContext, anyPort).local_endpoint();
    mListener.Open({ "127.0.0.1", mAddress.port() },
                   [this](net::Request aRequest, CallerConnection& aConnection) {
                     return mApi.HandleCaller(std::move(aRequest), aConnection);
                   });
  }

  // Returns the bytes that a caller gets on the connection of one request.
  std::string Ask(std::size_t aBodyBytes)
  {
    return test::RunCoroutine(mContext, SendAndRead(aBodyBytes));
  }

private:
  asio::awaitable<std::string> SendAndRead(std::size_t aBodyBytes)
  {
    std::string request = fmt::format("POST /open HTTP/1.1\r\nHost: x\r\n"
                                      "Connection: close\r\nContent-Length: {}\r\n\r\n",
                                      aBodyBytes);
    request.append(aBodyBytes, 'x');
    Tcp::socket caller(mContext);
    co_await caller.async_connect(mAddress, asio::use_awaitable);
    co_await asio::async_write(caller, asio::buffer(request), asio::use_awaitable);
    std::string reply;
    boost::system::error_code ended;
    co_await asio::async_read(caller,
                              asio::dynamic_buffer(reply),
                              asio::redirect_error(asio::use_awaitable, ended));
    co_return reply;
  }
};

struct Row
{
  EarlyScript mScript;
  std::size_t mBodyBytes; // of the request
};

std::string ReplyTo(const Row& aRow)
{
  ServingInstance instance;
  EarlyServer server(instance.mContext, aRow.mScript);
  instance.Register("i-1", "d1", server.Address());
  std::string reply = instance.Ask(aRow.mBodyBytes);
  CHECK(server.Requests() == 1);
  return reply;
}

// Places a request at a faulty server first, and at a sound one if it is sent again.
// Returns the result; the requests that the sound server got are added to aSent.
Result PlaceBesideSound(const Row& aRow, std::size_t aRoute, unsigned& aSent)
{
  CallingInstance instance;
  EarlyServer faulty(instance.mContext, aRow.mScript);
  ScriptedServer sound(instance.mContext, { Answer("1") });
  instance.Register("i-1", "d1", faulty.Address());
  DirectPlacement placement(instance.mCore, instance.mBackend);
  Exchange exchange = instance.MakeExchange("1", aRoute);
  exchange.mBody.assign(aRow.mBodyBytes, 'x');
  instance.Register("i-2", "d2", sound.Address());
  Result result = Result::Ok;
  try {
    result = test::RunCoroutine(instance.mContext, placement.Place(exchange)).mResult;
  } catch (const base::RequestError& error) {
    result = error.Code();
  }
  CHECK(faulty.Requests() == 1);
  aSent += sound.Requests();
  return result;
}

const std::vector<Row> kBroken = {
  { { "HTTP/1.1 200 OK\r\n\r\nhalf", EarlyEnd::Reset, 0, 50ms }, kUploadBytes },
  { { "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n\r\n", EarlyEnd::Reset, 0, 50ms },
    kUploadBytes },
  { { "HTTP/1.1 000 Trouble\r\nContent-Length: 5\r\n\r\nwhole" }, kShortBodyBytes },
  { { "HTTP/1.1 000 Trouble\r\n\r\nwhole" }, kShortBodyBytes },
  { { "HTTP/1.1 000 Trouble\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" },
    kUploadBytes },
  { { "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" },
    kShortBodyBytes },
  { { "HTTP/1.1 200 OK\r\nX Blank: v\r\nContent-Length: 5\r\n\r\nwhole" },
    kShortBodyBytes },
  { { "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nwhole", EarlyEnd::Finish },
    kUploadBytes },
  { { "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Control\1: v\r\nContent-Length: "
      "0\r\n\r\n" },
    kShortBodyBytes },
};

const std::vector<Row> kSound = {
  { { "HTTP/1.1 200 OK\r\n\r\nwhole", EarlyEnd::Finish, 0, 50ms }, kUploadBytes },
  { { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", EarlyEnd::Reset },
    kUploadBytes },
  { { "HTTP/1.1 200 OK\r\n\r\nwhole", EarlyEnd::Finish }, kShortBodyBytes },
  { { "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: v\r\nx:\r\nContent-Length: 5\r\n\r\nwhole" },
    kShortBodyBytes },
  { { "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" },
    kUploadBytes },
};

} // namespace

// Guards against a broken answer that reaches the caller as one (MIXED).
TEST_CASE("a caller is told of a broken response that the request may have run")
{
  for (const Row& row : kBroken) {
    CAPTURE(row.mScript.mResponse);
    CHECK(ReplyTo(row).starts_with("HTTP/1.1 502 "));
  }
}

// Guards against an order that runs twice (TWICE): no broken response says "not run".
TEST_CASE("after a broken response an order is not sent again, a lookup is")
{
  for (const Row& row : kBroken) {
    CAPTURE(row.mScript.mResponse);
    unsigned orders = 0;
    CHECK(PlaceBesideSound(row, kOrderRoute, orders) == Result::AnswerLost);
    CHECK(orders == 0);
    unsigned lookups = 0;
    CHECK(PlaceBesideSound(row, kOpenRoute, lookups) == Result::Ok);
    CHECK(lookups == 1);
  }
}

TEST_CASE("a caller gets an unusual sound response whole")
{
  for (const Row& row : kSound) {
    CAPTURE(row.mScript.mResponse);
    std::string reply = ReplyTo(row);
    CHECK(reply.starts_with("HTTP/1.1 200 "));
    CHECK(reply.ends_with("\r\n\r\nwhole"));
  }
}

TEST_CASE("an order that is refused before its body has been read is sent elsewhere")
{
  const std::string refusal = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n";
  for (auto [text, end] :
       { std::pair(refusal + "Content-Length: 0\r\n\r\n", EarlyEnd::Reset),
         std::pair(refusal + "\r\nfull", EarlyEnd::Finish) }) {
    CAPTURE(text);
    unsigned sent = 0;
    CHECK(PlaceBesideSound({ { text, end }, kUploadBytes }, kOrderRoute, sent) ==
          Result::Ok);
    CHECK(sent == 1);
  }
}

// Guards against an order that runs twice (TWICE).
TEST_CASE("a trailer that says \"not run\" does not send an order elsewhere")
{
  const std::string text = "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "0\r\nX-Not-Run: 1\r\n\r\n";
  unsigned sent = 0;
  PlaceBesideSound({ { text }, kShortBodyBytes }, kOrderRoute, sent);
  CHECK(sent == 0);
}
