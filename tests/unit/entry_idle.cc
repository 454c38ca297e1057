// Unit tests of the idle connections to backend servers.
#include <doctest/doctest.h>

#include "base/clock.h"
#include "canned.h"
#include "entry/idle.h"

using namespace vanillaloft;
using namespace vanillaloft::entry;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t kLimit = 4;

struct Fixture
{
  asio::io_context mContext;
  base::ManualClock mClock;
  IdleConnections mIdle{ mContext, mClock, kLimit };
  Tcp::acceptor mServer{ mContext, { asio::ip::address_v4::loopback(), 0 } };
  Tcp::acceptor mOther{ mContext, { asio::ip::address_v4::loopback(), 0 } };

  static base::HostPort AddressOf(const Tcp::acceptor& aServer)
  {
    return { "127.0.0.1", aServer.local_endpoint().port() };
  }

  void Keep(const std::string& aName, std::function<bool()> aHasLeft = {})
  {
    auto connection = std::make_unique<net::Connection>(mContext.get_executor());
    auto connect = [&]() -> asio::awaitable<bool> {
      co_await connection->Connect(AddressOf(mServer), 1000ms);
      co_return true;
    };
    test::RunCoroutine(mContext, connect());
    mIdle.Keep({ aName, AddressOf(mServer), std::move(aHasLeft) }, std::move(connection));
  }

  bool Take(const std::string& aName)
  {
    return mIdle.Take(aName, AddressOf(mServer)) != nullptr;
  }

  void RunSweep()
  {
    mContext.restart();
    mContext.run_for(1200ms);
  }
};

} // namespace

TEST_CASE("the longest idle connection of all servers is closed at the limit")
{
  Fixture fixture;
  for (std::size_t i = 0; i <= kLimit; ++i) {
    fixture.Keep("s" + std::to_string(i));
  }
  CHECK(fixture.mIdle.Size() == kLimit);
  CHECK(fixture.mIdle.Displaced() == 1);
  CHECK_FALSE(fixture.Take("s0"));
  CHECK(fixture.Take("s1"));
}

TEST_CASE("a server's idle connection is taken once, and not at another address")
{
  Fixture fixture;
  fixture.Keep("s");
  CHECK(fixture.Take("s"));
  CHECK_FALSE(fixture.Take("s"));
  fixture.Keep("s");
  CHECK_FALSE(fixture.mIdle.Take("s", Fixture::AddressOf(fixture.mOther)));
  CHECK(fixture.mIdle.Size() == 0);
}

// Guards against descriptors that are used up by servers which are gone.
TEST_CASE("idle connections to servers that left, and unused ones, are closed")
{
  Fixture fixture;
  bool hasLeft = false;
  fixture.Keep("leaves", [&] { return hasLeft; });
  fixture.Keep("stays");
  fixture.RunSweep();
  CHECK(fixture.mIdle.Size() == 2);
  hasLeft = true;
  fixture.RunSweep();
  CHECK(fixture.mIdle.Size() == 1);
  fixture.mClock.Advance(2min);
  fixture.RunSweep();
  CHECK(fixture.mIdle.Size() == 0);
}
