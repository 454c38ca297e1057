// Tests of the platform adapter: settings, configurations, store items and HTTP messages.
#include <fstream>

#include <doctest/doctest.h>

#include <fmt/format.h>

#include "canned.h"
#include "platform/config.h"
#include "platform/format.h"
#include "platform/settings.h"
#include "platform/store.h"

using namespace vanillaloft;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

constexpr const char* kSettings = R"(
[local]
zone = "ct-a"
ip = "10.1.0.35"
something_new = 5
[network]
internal_ports = [7740, 7755]
seeds = ["10.1.0.35:8688", "10.2.0.40:8688"]
[network.listen]
frontend = "10.1.0.35:8686"
readiness = "10.1.0.35:8680"
control_plane = "10.1.0.35:8688"
directory = "10.1.0.35:8684"
[network.zones]
ct-a = "sicilia-est"
pa-a = "sicilia-ovest"
[platform.platform]
address = "10.200.1.7:8682"
[terms.bounds]
grace_s = 6.0
revoke_s = 5
retry_budget_ratio = 0.2
budget_slack = 60
quota_window_s = 5
quota_overage = 0.1
quota_slack = 20
ttl_max_s = 5
max_shift = 0.15
)";

constexpr const char* kConfig = R"({"version":"r12",
"services":[{"name":"stock","health_path":"/health","max_conns":360,"cold_per_s":6.4},
            {"name":"orders","health_path":"/health"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,
          "idle_timeout_s":15},
"tenants":[{"name":"shop","api_keys":["k1","k2"],"priority":1,"rate_per_s":100,
            "burst":50,"home_regions":["sicilia-ovest"]}],
"hosts":[{"host":"a.example","paths":[
  {"name":"r1","prefix":"/x/","kind":"safe","timeout_s":4,"target_latency_s":0.6,
   "priority":2,"traffic_split":[{"service":"stock","weight":90},
   {"service":"orders","weight":10}],"attempts":2,"sticky":true,"home_regions":[]},
  {"name":"r2","prefix":"/x/y/","kind":"unsafe","timeout_s":1.2,"service":"orders",
   "attempts":1,"public":true}]}]})";

std::string WriteSettings(const std::string& aText)
{
  std::string path = "/tmp/vanillaloft-unit-settings.toml";
  std::ofstream(path) << aText;
  return path;
}

platform::PlatformDecoder MakeDecoder()
{
  return platform::PlatformDecoder(platform::ReadSettings(WriteSettings(kSettings)));
}

store::Item ServerItem(const std::string& aText)
{
  return { "servers/i-1", aText, 7, false };
}

net::Request CallerRequest()
{
  net::Request request(http::verb::get, "/x/2f?q=1", net::kHttp11);
  request.set(http::field::host, "a.example:80");
  request.set("Vanillaloft-Attempt-Id", "abc");
  request.set(http::field::cookie, "one=1; Vanillaloft-Affinity-Key=17; two=2");
  request.set("Vanillaloft-Deadline-Ms", "1200");
  request.set("Vanillaloft-Tenant-Id", "forged");
  request.set(http::field::authorization, "Token k1");
  request.set(http::field::connection, "X-Hop");
  request.set("X-Hop", "1");
  request.set("X-Kept", "2");
  return request;
}

net::Response ServerResponse(http::status aStatus)
{
  net::Response response(aStatus, net::kHttp11);
  response.set("Vanillaloft-Attempt-Id", "abc");
  response.set("Vanillaloft-Server-Signature", "sig");
  response.set("Vanillaloft-Server-Load", "3,1,8");
  response.body() = "bytes";
  return response;
}

} // namespace

TEST_CASE("settings: unknown fields are ignored, an error names the missing field")
{
  platform::Settings settings = platform::ReadSettings(WriteSettings(kSettings));
  CHECK(settings.mInstance.mDataCentre == "ct-a");
  CHECK(settings.mInstance.mListen.mPort == 8686);
  CHECK(settings.mInstance.mSeeds == "10.1.0.35:8688,10.2.0.40:8688");
  CHECK(settings.mDataCentres.size() == 2);
  CHECK(settings.mOperatorAddress.mPort == 7740);
  std::string withoutField(kSettings);
  withoutField.erase(withoutField.find("revoke_s = 5"), 12);
  CHECK_THROWS_WITH_AS(platform::ReadSettings(WriteSettings(withoutField)),
                       doctest::Contains("revoke_s"),
                       base::SettingError);
  CHECK_THROWS_AS(platform::ReadSettings(WriteSettings("not = [toml")),
                  base::SettingError);
}

TEST_CASE("a configuration is decoded into typed tables")
{
  decide::ConfigPtr config = MakeDecoder().ReadConfig(kConfig);
  CHECK(config->mRevision == 12);
  CHECK(config->mLimits.mIdleTime == 15s);
  const decide::Route& inner =
    config->mRoutes[config->FindRoute("a.example", "/x/y/z").Value()];
  CHECK(inner.mKind == decide::RouteKind::Order);
  CHECK(inner.mTimeout == 1200ms);
  CHECK_FALSE(inner.NeedsKey());
  const decide::Route& outer =
    config->mRoutes[config->FindRoute("a.example", "/x/2f").Value()];
  CHECK(outer.mKind == decide::RouteKind::Lookup);
  CHECK(outer.mSplit.size() == 2);
  CHECK(outer.mSticky);
  CHECK(outer.NeedsKey());
  CHECK(config->FindRoute("b.example", "/x/2f").IsNone());
  CHECK_FALSE(config->FindKey(decide::DigestKey("k2")).IsNone());
  const decide::Organisation& shop = config->mOrganisations[0];
  REQUIRE(shop.mHomes.size() == 1);
  CHECK(config->mRegions[shop.mHomes[0].Value()].mName == "sicilia-ovest");
  CHECK(config->mBudgets[shop.mBudget.Value()].mTotal.mPerSecond >= 100 * decide::kToken);
}

// Guards against downloads that run on after their callers have left (GONE), as orders
// do.
TEST_CASE("downloads may be repeated and cancelled, uploads and unknown kinds may not")
{
  auto kindOf = [](const std::string& aName) {
    std::string text = kConfig;
    const std::string unsafe = R"("kind":"unsafe")";
    text.replace(text.find(unsafe), unsafe.size(), R"("kind":")" + aName + '"');
    decide::ConfigPtr config = MakeDecoder().ReadConfig(text);
    return config->mRoutes[config->FindRoute("a.example", "/x/y/z").Value()].mKind;
  };
  CHECK(kindOf("safe") == decide::RouteKind::Lookup);
  CHECK(kindOf("download") == decide::RouteKind::Lookup);
  CHECK(kindOf("unsafe") == decide::RouteKind::Order);
  CHECK(kindOf("upload") == decide::RouteKind::Order);
  CHECK(kindOf("another") == decide::RouteKind::Order);
}

TEST_CASE("the machine's memory and descriptors bound what an instance takes")
{
  auto read = [](const std::string& aLimits) {
    return platform::ReadSettings(WriteSettings(kSettings + aLimits)).mInstance;
  };
  entry::InstanceSettings small =
    read("[local.limits]\nmemory_mb = 160\nmax_fds = 4100\n");
  CHECK(small.mMemoryBytes == 160UL * 1024 * 1024);
  CHECK(small.mMaxDescriptors == 3900);
  CHECK(read("").mMemoryBytes == 0);
  CHECK(read("[local.limits]\nmax_fds = 100\n").mMaxDescriptors == 0);
  CHECK(read("[local.limits]\nmemory_mb = -1\n").mMemoryBytes == 0);
}

TEST_CASE("an instance's weight follows from the scarcer of processor and link")
{
  auto weightOf = [](const std::string& aLimits) {
    return platform::ReadSettings(WriteSettings(kSettings + aLimits)).mInstance.mWeight;
  };
  CHECK(weightOf("") == 1);
  CHECK(weightOf("[local.limits]\ncpu_share = 0.1\ncores = 1\nlink_mbps = 12.0\n") == 1);
  CHECK(weightOf("[local.limits]\ncpu_share = 0.5\ncores = 1\nlink_mbps = 120\n") == 5);
  CHECK(weightOf("[local.limits]\ncpu_share = 0.5\ncores = 4\nlink_mbps = 20\n") == 2);
  CHECK(weightOf("[local.limits]\ncpu_share = 1e300\nlink_mbps = 1e300\n") == 100);
}

TEST_CASE("a malformed configuration throws ConfigError")
{
  platform::PlatformDecoder decoder = MakeDecoder();
  for (const char* text : { "",
                            "{",
                            "[]",
                            "{\"version\":\"12\"}",
                            "{\"version\":\"\"}",
                            "{\"version\":\"r\"}",
                            "{\"version\":\"r1\"}" }) {
    CHECK_THROWS_AS(decoder.ReadConfig(text), decide::ConfigError);
  }
}

TEST_CASE("registrations are decoded, malformed ones are unreadable items")
{
  platform::PlatformDecoder decoder = MakeDecoder();
  auto good = decoder.Decode(ServerItem(
    R"({"address":"10.0.0.9:80","born":5,"info":{"service":"stock","version":"v1","zone":"ct-a",
        "slots":8},"status":{"state":"ready","seq":4,"cold_left_s":1.5}})"));
  REQUIRE(std::holds_alternative<decide::Registration>(good));
  CHECK(std::get<decide::Registration>(good).mColdLeft == 1500ms);
  CHECK(std::get<decide::Registration>(good).mIncarnation == 5);
  for (const char* text :
       { "",
         "\xff\xfe",
         "{}",
         R"({"address":7})",
         R"({"address":"10.0.0.9:80","info":{"service":"stock","zone":"ct-a","slots":"8"},
             "status":{"state":"ready","cold_left_s":0}})",
         R"({"address":"10.0.0.9:80","info":{"service":"stock","zone":"ct-a","slots":8},
             "status":{"state":"asleep","cold_left_s":0}})" }) {
    CHECK(
      std::holds_alternative<daemon::UnreadableItem>(decoder.Decode(ServerItem(text))));
  }
  store::Item deletedItem{ "servers/i-1", "", 9, true };
  CHECK(std::get<daemon::ServerDeregistered>(decoder.Decode(deletedItem)).mId == "i-1");
  store::Item evacuated{ "op/evacuate/ct-a", "{}", 9, false };
  CHECK(std::get<daemon::Evacuation>(decoder.Decode(evacuated)).mActive);
}

// Guards against a process that ends, or no longer follows the store, because of one odd
// entry among the registrations.
TEST_CASE("numbers out of range, bad ports and deep nesting make an entry unreadable")
{
  platform::PlatformDecoder decoder = MakeDecoder();
  auto entry = [](const std::string& aAddress,
                  const std::string& aBorn,
                  const std::string& aSlots,
                  const std::string& aColdLeft) {
    return fmt::format(
      R"({{"address":"{}","born":{},"info":{{"service":"stock","zone":"ct-a","slots":{}}},)"
      R"("status":{{"state":"ready","cold_left_s":{}}}}})",
      aAddress,
      aBorn,
      aSlots,
      aColdLeft);
  };
  const std::string good = "10.0.0.9:80";
  CHECK(std::holds_alternative<decide::Registration>(
    decoder.Decode(ServerItem(entry(good, "5", "8", "0")))));
  constexpr std::size_t kDepth = 100'000;
  std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  for (const std::string& text : { entry("10.0.0.9:0", "5", "8", "0"),
                                   entry("10.0.0.9:65536", "5", "8", "0"),
                                   entry("10.0.0.9:-1", "5", "8", "0"),
                                   entry("10.0.0.9:99999999999999999999", "5", "8", "0"),
                                   entry("host:80", "5", "8", "0"),
                                   entry(good, "-1", "8", "0"),
                                   entry(good, "1.5", "8", "0"),
                                   entry(good, "99999999999999999999", "8", "0"),
                                   entry(good, "5", "4294967297", "0"),
                                   entry(good, "5", "-8", "0"),
                                   entry(good, "5", "1e300", "0"),
                                   entry(good, "5", "8", "1e300"),
                                   entry(good, "5", "8", "-1"),
                                   entry(good, "5", "8", "1e999"),
                                   entry(good, "5", "8", nested),
                                   nested,
                                   std::string(kDepth, '['),
                                   "\"" + std::string(1'000'000, 'x') }) {
    auto item = decoder.Decode(ServerItem(text));
    REQUIRE(std::holds_alternative<daemon::UnreadableItem>(item));
    CHECK(std::get<daemon::UnreadableItem>(item).mServerId == "i-1");
  }
}

TEST_CASE("one item of a listing that cannot be read costs only itself")
{
  boost::asio::io_context context;
  std::string body = R"({"items":[{"key":"servers/a","value":"YQ==","revision":3},
    {"key":"servers/b","value":"%%%","revision":4},{"key":"servers/c","revision":-5},
    {"key":7},"text",{"key":"servers/d","value":"ZA==","revision":6}],
    "current_rev":9,"has_more":true})";
  std::string head =
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  // The second page repeats the first, which must not be read for ever.
  test::CannedServer server(context, head + body);
  platform::PlatformStore store(server.Address());
  CHECK_THROWS_AS(test::RunCoroutine(context, store.List("servers/")), store::StoreError);
  body.replace(body.find("true"), 4, "false");
  head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  test::CannedServer lastPage(context, head + body);
  platform::PlatformStore other(lastPage.Address());
  store::ItemBatch batch = test::RunCoroutine(context, other.List("servers/"));
  REQUIRE(batch.mItems.size() == 2);
  CHECK(batch.mItems[0].mKey == "servers/a");
  CHECK(batch.mItems[1].mValue == "d");
}

TEST_CASE("a load report may contain more figures, and an odd one is ignored")
{
  platform::PlatformFormat format;
  net::Response response = ServerResponse(http::status::ok);
  response.set("Vanillaloft-Server-Load", "3,1,8,120");
  REQUIRE(format.FromServer(response).mLoad);
  CHECK(format.FromServer(response).mLoad->mSlots == 8);
  for (const char* text : { "", "3", "3,1", "3,1,x", "-3,1,8", "99999999999,1,8" }) {
    response.set("Vanillaloft-Server-Load", text);
    CHECK_FALSE(format.FromServer(response).mLoad);
  }
}

// Guards against DRAIN and BUDGET: a server that leaves or wants a pause gets requests.
TEST_CASE("an answer tells that its server leaves or wants a pause")
{
  platform::PlatformFormat format;
  for (unsigned status : { 200U, 404U, 421U, 500U, 503U }) {
    net::Response response = net::ResponseWithStatus(status);
    CHECK_FALSE(format.FromServer(response).mDraining);
    response.set("Server-Leaving", "1");
    CHECK(format.FromServer(response).mDraining);
    response.set("Server-Leaving", "0");
    CHECK_FALSE(format.FromServer(response).mDraining);
    response.set(http::field::retry_after, "1.5");
    CHECK(format.FromServer(response).mPause.has_value() == (status == 503));
  }
}

TEST_CASE("a pause that cannot be read is none, and a long one is limited")
{
  platform::PlatformFormat format;
  net::Response refusal = net::ResponseWithStatus(503);
  auto pauseOf = [&](const char* aText) {
    refusal.set(http::field::retry_after, aText);
    return *format.FromServer(refusal).mPause;
  };
  CHECK(pauseOf("1.5").mPause == 1500ms);
  CHECK(pauseOf("2").mPause == 2s);
  CHECK(pauseOf("0").mPause == 0s);
  CHECK(pauseOf("7200").mPause == decide::kMaxRequestedPause);
  for (const char* text :
       { "", "-1", "+1", "x", "1s", "1,5", "nan", "inf", "1e3", "Mon, 07 Dec 2026" }) {
    CAPTURE(text);
    CHECK(pauseOf(text).mPause == 0s);
    CHECK_FALSE(pauseOf(text).mReadable);
  }
}

TEST_CASE("the fourth figure of a load report is the pace, and an odd one is ignored")
{
  platform::PlatformFormat format;
  net::Response response = ServerResponse(http::status::ok);
  response.set("Vanillaloft-Server-Load", "3,1,8,250");
  CHECK(format.FromServer(response).mLoad->mPace == 2.5);
  for (const char* text : { "3,1,8", "3,1,8,", "3,1,8,x", "3,1,8,0", "3,1,8,-5" }) {
    response.set("Vanillaloft-Server-Load", text);
    REQUIRE(format.FromServer(response).mLoad);
    CHECK_FALSE(format.FromServer(response).mLoad->mPace);
  }
}

TEST_CASE("a forwarded request contains no hop-by-hop fields and no API key")
{
  platform::PlatformFormat format;
  entry::Exchange exchange = format.FromCaller(CallerRequest());
  CHECK(exchange.mRequestId == "abc");
  CHECK(exchange.mHost == "a.example");
  CHECK(exchange.mObject == "17");
  CHECK(exchange.mCallerTimeout == 1200ms);
  CHECK(exchange.mKey == "k1");
  exchange.mConfig = MakeDecoder().ReadConfig(kConfig);
  exchange.mOrganisation = decide::OrganisationId(0);
  net::Request sent = format.ToServer(exchange, { "i-1", 900ms, false });
  CHECK(sent.target() == "/x/2f?q=1");
  CHECK(sent["Vanillaloft-Expected-Instance"] == "i-1");
  CHECK(sent["Vanillaloft-Deadline-Ms"] == "900");
  CHECK(sent["Vanillaloft-Tenant-Id"] == "shop");
  CHECK(sent["X-Kept"] == "2");
  CHECK(sent.count("X-Hop") == 0);
  CHECK(sent.count(http::field::authorization) == 0);
}

TEST_CASE("a success response is genuine only if signed and not encoded")
{
  platform::PlatformFormat format;
  entry::ServerAnswer good = format.FromServer(ServerResponse(http::status::ok));
  CHECK(good.mGenuine);
  REQUIRE(good.mLoad);
  CHECK(good.mLoad->mWaiting == 1);
  net::Response unsignedResponse = ServerResponse(http::status::ok);
  unsignedResponse.erase("Vanillaloft-Server-Signature");
  CHECK_FALSE(format.FromServer(unsignedResponse).mGenuine);
  net::Response encoded = ServerResponse(http::status::ok);
  encoded.set(http::field::content_encoding, "gzip");
  CHECK_FALSE(format.FromServer(encoded).mGenuine);
}

TEST_CASE("a refusal counts as not run only with the not-executed field")
{
  platform::PlatformFormat format;
  net::Response refusal = ServerResponse(http::status::service_unavailable);
  CHECK_FALSE(format.FromServer(refusal).mNotRun);
  CHECK_FALSE(format.FromServer(refusal).mGenuine);
  refusal.set("Vanillaloft-Not-Executed", "1");
  CHECK(format.FromServer(refusal).mNotRun);
  CHECK(
    format.FromServer(ServerResponse(http::status::misdirected_request)).mWrongServer);
}

// Guards against a status that the caller gets as 000 beside the server's signature
// (MIXED): the library has no name for most numbers.
TEST_CASE("each status of a server reaches the caller unchanged")
{
  platform::PlatformFormat format;
  entry::NativeFormat nativeFormat;
  for (unsigned status = 200; status < 1000; ++status) {
    net::Response response = ServerResponse(http::status::ok);
    response.result(status);
    decide::Outcome outcome = format.FromServer(response).mOutcome;
    CHECK(format.ToCaller(outcome).result_int() == status);
    CHECK(nativeFormat.ToCaller(outcome).result_int() == status);
  }
}

TEST_CASE("refusals contain Retry-After, a lost answer has status 502")
{
  platform::PlatformFormat format;
  decide::Outcome outcome;
  outcome.mResult = base::Result::QueueTimeout;
  outcome.mRetryAfter = 250ms;
  net::Response refusal = format.ToCaller(outcome);
  CHECK(refusal.result() == http::status::service_unavailable);
  CHECK(refusal[http::field::retry_after] == "0.250");
  outcome.mResult = base::Result::AnswerLost;
  CHECK(format.ToCaller(outcome).result() == http::status::bad_gateway);
}

// Guards against an instance that waits for a store that has lost its watch (DRAIN).
TEST_CASE("a watch that is given up ends at once")
{
  boost::asio::io_context context;
  test::ScriptedServer server(context, { "" }); // reads requests only
  platform::PlatformStore store(server.Address());
  store.AbandonWatch("op/"); // none is in flight
  bool failed = false;
  boost::asio::co_spawn(context,
                        store.WatchChanges("op/", 3, { 10s, 10s }),
                        [&](std::exception_ptr aFailure, const store::ItemBatch&) {
                          failed = aFailure != nullptr;
                        });
  context.run_for(50ms);
  REQUIRE(server.Requests() == 1);
  REQUIRE_FALSE(failed);
  store.AbandonWatch("op/");
  context.run_for(50ms);
  CHECK(failed);
}

// Guards against a write to freed memory at the end of a process (seen by the address
// sanitizer only): the coroutine of a watch is destroyed after the store.
TEST_CASE("a watch in flight may be destroyed after its store")
{
  boost::asio::io_context context;
  test::ScriptedServer server(context, { "" });
  auto store = std::make_unique<platform::PlatformStore>(server.Address());
  boost::asio::co_spawn(
    context, store->WatchChanges("op/", 3, { 10s, 10s }), boost::asio::detached);
  context.run_for(50ms);
  CHECK(server.Requests() == 1);
}

TEST_CASE("store values are decoded, compacted history and conflicts are detected")
{
  boost::asio::io_context context;
  std::string item =
    R"({"key":"k","value":"bm9kZS0x","revision":412,"lease":0,"current_rev":5})";
  test::CannedServer server(context,
                            "HTTP/1.1 200 OK\r\nContent-Length: " +
                              std::to_string(item.size()) + "\r\n\r\n" + item);
  platform::PlatformStore store(server.Address());
  store::Value value = test::RunCoroutine(context, store.Read("k"));
  CHECK(value.mVersion == 412);
  CHECK(value.mText == "node-1");
  test::CannedServer compacted(context, "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n");
  platform::PlatformStore staleStore(compacted.Address());
  CHECK_THROWS_AS(
    test::RunCoroutine(context, staleStore.WatchChanges("op/", 3, { 10ms, 1s })),
    store::HistoryCompacted);
  test::CannedServer conflicting(
    context, "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n");
  platform::PlatformStore conflictingStore(conflicting.Address());
  CHECK_FALSE(test::RunCoroutine(context, conflictingStore.CompareAndSwap("k", 1, "x")));
}
