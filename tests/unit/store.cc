// Unit tests of HttpStore against a server with canned responses.
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

TEST_CASE("Read returns the version of a value and version 0 for an absent key")
{
  Fixture present(
    "HTTP/1.1 200 OK\r\nX-Consul-Index: 42\r\nContent-Length: 3\r\n\r\nabc");
  store::Value value = test::RunCoroutine(present.mContext, present.mStore.Read("key"));
  CHECK(value.mVersion == 42);
  CHECK(value.mText == "abc");
  Fixture absent("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  CHECK(test::RunCoroutine(absent.mContext, absent.mStore.Read("key")).mVersion == 0);
}

TEST_CASE("a response without a version or with an error status throws StoreError")
{
  Fixture unversioned("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  CHECK_THROWS_AS(
    test::RunCoroutine(unversioned.mContext, unversioned.mStore.Read("key")),
    store::StoreError);
  Fixture unavailable("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
  CHECK_THROWS_AS(test::RunCoroutine(unavailable.mContext,
                                     unavailable.mStore.CompareAndSwap("key", 1, "x")),
                  store::StoreError);
}

TEST_CASE("CompareAndSwap returns whether the version matched")
{
  Fixture swapped("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue");
  CHECK(
    test::RunCoroutine(swapped.mContext, swapped.mStore.CompareAndSwap("key", 7, "x")));
  CHECK(swapped.mServer.Received().starts_with("PUT /v1/kv/key?cas=7 "));
  Fixture mismatch("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse");
  CHECK_FALSE(
    test::RunCoroutine(mismatch.mContext, mismatch.mStore.CompareAndSwap("key", 7, "x")));
}

TEST_CASE("Instances parses the list and throws StoreError if it is malformed")
{
  Fixture list("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"
               R"([{"address":"127.0.0.1:1","data_centre":"east-1"}])");
  auto instances = test::RunCoroutine(list.mContext, list.mStore.Instances());
  REQUIRE(instances.size() == 1);
  CHECK(instances[0].mDataCentre == "east-1");
  Fixture malformed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n[");
  CHECK_THROWS_AS(test::RunCoroutine(malformed.mContext, malformed.mStore.Instances()),
                  store::StoreError);
}

namespace {

std::string Ok(const std::string& aBody, const std::string& aFields = "")
{
  return "HTTP/1.1 200 OK\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

// Guards against "nothing was written" for a change that the store may have made.
TEST_CASE("an answer to CompareAndSwap that is neither true nor false throws StoreError")
{
  for (const char* body : { "", "tru", "trueish", "null", "{}", "1", "\"false\"" }) {
    CAPTURE(body);
    Fixture broken(Ok(body));
    CHECK_THROWS_AS(
      test::RunCoroutine(broken.mContext, broken.mStore.CompareAndSwap("key", 7, "x")),
      store::StoreError);
  }
  Fixture spaced(Ok("true\n"));
  CHECK(test::RunCoroutine(spaced.mContext, spaced.mStore.CompareAndSwap("key", 7, "x")));
}

// Guards against an empty or wrong list of instances.
TEST_CASE("an error status or a body that is no list is not a list of instances")
{
  for (const std::string& text : { std::string("HTTP/1.1 503 Down\r\nContent-Length: "
                                               "2\r\n\r\n[]"),
                                   Ok("{}"),
                                   Ok("null") }) {
    CAPTURE(text);
    Fixture broken(text);
    CHECK_THROWS_AS(test::RunCoroutine(broken.mContext, broken.mStore.Instances()),
                    store::StoreError);
  }
  Fixture empty(Ok("[]"));
  CHECK(test::RunCoroutine(empty.mContext, empty.mStore.Instances()).empty());
}

TEST_CASE("a version that is not wholly a number throws StoreError")
{
  for (const char* version : { "42x", "4 2", "-1", "" }) {
    CAPTURE(version);
    Fixture broken(Ok("abc", std::string("X-Consul-Index: ") + version + "\r\n"));
    CHECK_THROWS_AS(test::RunCoroutine(broken.mContext, broken.mStore.Read("key")),
                    store::StoreError);
  }
}

TEST_CASE("a malformed or broken response to a read throws StoreError")
{
  for (const char* text : { "HTTP/1.1 000 Trouble\r\nX-Consul-Index: 1\r\n\r\nabc",
                            "HTTP/1.1 404 Not Found\r\nX Blank: v\r\n\r\n",
                            "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\n" }) {
    CAPTURE(text);
    Fixture broken(text);
    CHECK_THROWS_AS(test::RunCoroutine(broken.mContext, broken.mStore.Read("key")),
                    store::StoreError);
  }
}
