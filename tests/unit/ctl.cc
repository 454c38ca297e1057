// Unit tests of the operators' commands against malformed answers.
#include <doctest/doctest.h>

#include "canned.h"
#include "ctl/client.h"

using namespace vanillaloft;
using namespace std::chrono_literals;

namespace {

// A store that holds one text under each key and accepts each write.
struct TextStore final : store::Store
{
  net::Awaitable<store::Value> Read(std::string) override
  {
    co_return store::Value{ 1, mText };
  }
  net::Awaitable<store::Value> Watch(std::string,
                                     std::uint64_t,
                                     std::chrono::milliseconds) override
  {
    co_return store::Value{ 1, mText };
  }
  net::Awaitable<bool> CompareAndSwap(std::string, std::uint64_t, std::string) override
  {
    co_return true;
  }
  net::Awaitable<std::vector<store::ListedInstance>> Instances() override
  {
    co_return std::vector<store::ListedInstance>();
  }
  net::Awaitable<void> Announce(store::ListedInstance) override { co_return; }

  std::string mText;
};

// Reads the state of an instance that sends a response.
ctl::InstanceState StateFrom(const std::string& aResponse)
{
  boost::asio::io_context context;
  test::CannedServer instance(context, aResponse);
  TextStore store;
  ctl::Client client(store, { "127.0.0.1:" + std::to_string(instance.Address().mPort) });
  return test::RunCoroutine(context, client.ReadStates()).front();
}

std::string Response(const std::string& aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

constexpr const char* kState = R"({"revision":7,"data_centre":"d1"})";

} // namespace

// Guards against "nothing changed" after a change: a malformed answer ended the command
// that waited until the change was in force.
TEST_CASE("an instance whose answer is malformed has not answered")
{
  for (const std::string& response :
       { Response("200 OK", ""),
         Response("200 OK", "{\"revision\":7,"),
         Response("200 OK", "[]"),
         Response("200 OK", "null"),
         Response("200 OK", "{}"),
         Response("200 OK", R"({"revision":"7","data_centre":"d1"})"),
         Response("200 OK", R"({"revision":-7,"data_centre":"d1"})"),
         Response("200 OK", R"({"revision":7,"data_centre":1})"),
         Response("503 Down", kState),
         Response("000 Trouble", kState),
         Response("200 OK\r\nX Blank: v", kState) }) {
    CAPTURE(response);
    CHECK_FALSE(StateFrom(response).mAnswered);
  }
  ctl::InstanceState sound = StateFrom(Response("200 OK", kState));
  CHECK(sound.mAnswered);
  CHECK(sound.mState["revision"] == 7);
}

TEST_CASE("a text in the store that is no configuration throws StoreError")
{
  for (const char* text : { "", "{\"revision\":", "[]", "null", "7" }) {
    CAPTURE(text);
    boost::asio::io_context context;
    TextStore store;
    store.mText = text;
    ctl::Client client(store, {});
    CHECK_THROWS_AS(test::RunCoroutine(context, client.ReadConfig()), store::StoreError);
  }
}
