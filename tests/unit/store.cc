// Tests of the package store.
#include <doctest/doctest.h>

#include "canned.h"
#include "store/http.h"

using namespace vanillaloft;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  boost::asio::io_context mContext;
  test::CannedServer mServer;
  store::HttpStore mStore;

  explicit Fixture(std::string aAnswer)
    : mServer(mContext, std::move(aAnswer))
    , mStore(mServer.Address(), 2000ms)
  {
  }
};

} // namespace

TEST_CASE("a value comes with its version, an absent key with version 0")
{
  Fixture there("HTTP/1.1 200 OK\r\nX-Consul-Index: 42\r\nContent-Length: 3\r\n\r\nabc");
  store::Value value = test::RunCoroutine(there.mContext, there.mStore.Read("key"));
  CHECK(value.mVersion == 42);
  CHECK(value.mText == "abc");
  Fixture absent("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  CHECK(test::RunCoroutine(absent.mContext, absent.mStore.Read("key")).mVersion == 0);
}

TEST_CASE("an answer without a version or with an error is no answer")
{
  Fixture bare("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  CHECK_THROWS_AS(test::RunCoroutine(bare.mContext, bare.mStore.Read("key")),
                  store::StoreError);
  Fixture down("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
  CHECK_THROWS_AS(
    test::RunCoroutine(down.mContext, down.mStore.CompareAndSwap("key", 1, "x")),
    store::StoreError);
}

TEST_CASE("compare-and-swap tells a lost race from success")
{
  Fixture won("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue");
  CHECK(test::RunCoroutine(won.mContext, won.mStore.CompareAndSwap("key", 7, "x")));
  CHECK(won.mServer.Received().starts_with("PUT /v1/kv/key?cas=7 "));
  Fixture lost("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse");
  CHECK_FALSE(
    test::RunCoroutine(lost.mContext, lost.mStore.CompareAndSwap("key", 7, "x")));
}

TEST_CASE("the list of instances is read, nonsense is an error")
{
  Fixture list("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"
               R"([{"address":"127.0.0.1:1","data_centre":"east-1"}])");
  auto instances = test::RunCoroutine(list.mContext, list.mStore.Instances());
  REQUIRE(instances.size() == 1);
  CHECK(instances[0].mDataCentre == "east-1");
  Fixture nonsense("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n[");
  CHECK_THROWS_AS(test::RunCoroutine(nonsense.mContext, nonsense.mStore.Instances()),
                  store::StoreError);
}
