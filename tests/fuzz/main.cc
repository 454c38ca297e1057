// Feeds the decoders of messages from outside with random changes of well-formed inputs.
// A decoder may accept an input or refuse it with its documented error; anything else
// ends the program. Inputs that once failed are kept in tests/fuzz/corpus.
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <fmt/format.h>
#include <google/protobuf/stubs/logging.h>

#include "base/clock.h"
#include "base/settings.h"
#include "decide/runbook.h"
#include "entry/listener.h"
#include "entry/relay.h"
#include "mutate.h"
#include "plain_reader.h"
#include "platform/config.h"
#include "platform/format.h"
#include "platform/settings.h"

namespace {

using namespace vanillaloft;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

constexpr const char* kPlatformSettings = R"([local]
zone = "ct-a"
ip = "10.1.0.35"
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

constexpr const char* kRegistration = R"({"address":"10.0.0.9:80","born":5,
"info":{"service":"stock","version":"v1","zone":"ct-a","slots":8},
"status":{"state":"ready","seq":4,"cold_left_s":1.5}})";

constexpr const char* kPlatformConfig = R"({"version":"r12",
"services":[{"name":"stock","health_path":"/health","max_conns":360,"cold_per_s":6.4}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"idle_timeout_s":15},
"tenants":[{"name":"shop","api_keys":["k1"],"priority":1,"rate_per_s":100,"burst":50,
"home_regions":["sicilia-ovest"]}],
"hosts":[{"host":"a.example","paths":[{"prefix":"/x/","kind":"safe","timeout_s":4,
"target_latency_s":0.6,"priority":2,"traffic_split":[{"service":"stock","weight":90}],
"attempts":2,"sticky":true}]}]})";

constexpr const char* kNativeConfig = R"({"revision":1,
"regions":[{"name":"r","data_centres":["d1"]}],
"organisations":[{"name":"o","rate_per_s":100,"burst":40,"keys":[]}],
"profiles":[{"name":"p","deadline_ms":500,"retries":1}],
"services":[{"name":"s","profile":"p","routes":[{"path":"/s/","kind":"lookup"}],
"backend_servers":[{"name":"b","data_centre":"d1","address":"127.0.0.1:9","slots":4}]}]})";

constexpr const char* kResponse =
  "HTTP/1.1 200 OK\r\nVanillaloft-Attempt-Id: abc\r\n"
  "Vanillaloft-Server-Load: 3,1,8\r\nContent-Length: 2\r\n"
  "Connection: X-Hop\r\n\r\nok";
constexpr const char* kRequest =
  "GET /x/2f?q=1 HTTP/1.1\r\nHost: a.example:80\r\nVanillaloft-Attempt-Id: abc\r\n"
  "Cookie: Vanillaloft-Affinity-Key=17\r\nVanillaloft-Deadline-Ms: 1200\r\n"
  "Authorization: Token k1\r\nContent-Length: 0\r\n\r\n";

// A connection's requests with each way to tell the length of a body.
constexpr const char* kStream =
  "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"
  "POST /b HTTP/1.1\r\nContent-Length: 5\r\nX-More: 1\r\n\r\nhello"
  "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
  "5;a=b\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n"
  "GET /d HTTP/1.1\r\nConnection: close\r\n\r\n";

std::string WriteFile(const std::string& aText)
{
  std::string path = std::filesystem::temp_directory_path() / "vanillaloft-fuzz.toml";
  std::ofstream(path, std::ios::binary) << aText;
  return path;
}

// An instance without background loops, which only answers the calls of peers.
struct QuietInstance
{
  boost::asio::io_context mContext;
  base::ManualClock mClock;
  entry::Core mCore{ mContext,
                     mClock,
                     { "d1", { "127.0.0.1", 1 }, "127.0.0.1:2", {}, "", 30s, 10s, 60s },
                     { "127.0.0.1:2", 7 },
                     "secret" };
  entry::Admission mAdmission{ mCore };
  entry::NativeFormat mFormat;
  entry::BackendClient mBackend{ mCore, mFormat };
  entry::Pipeline mPipeline{ mCore, mAdmission, mBackend };
  entry::Relay mRelay{ mCore, mPipeline, mAdmission.mTokens };

  QuietInstance() { mCore.AcceptConfig(decide::ParseConfig(kNativeConfig)); }

  template<typename Reply>
  void Run(entry::Awaitable<Reply> aCall)
  {
    boost::asio::co_spawn(
      mContext, std::move(aCall), [](std::exception_ptr aFailure, const Reply&) {
        if (aFailure) {
          std::rethrow_exception(aFailure);
        }
      });
    mContext.restart();
    mContext.poll();
  }
};

std::string BeatMessage()
{
  peer::wire::BeatRequest beat;
  beat.mutable_status()->set_address("127.0.0.1:3");
  beat.mutable_status()->set_data_centre("d1");
  beat.mutable_status()->set_revision(1);
  beat.mutable_status()->set_confirmed_age_ms(5);
  peer::wire::Reach* reach = beat.mutable_status()->add_reaches();
  reach->set_complete(9);
  reach->set_age_ms(7);
  beat.add_known()->set_address("127.0.0.1:4");
  return beat.SerializeAsString();
}

std::string TokenMessage()
{
  peer::wire::TokenRequest token;
  token.set_budget("organisation:o");
  token.set_micro_tokens(1'000'000);
  token.set_data_centre("d1");
  token.set_extra_micro_tokens(2'000'000);
  token.set_demand_micro_tokens(1'000'000);
  token.set_wait_ms(5);
  return token.SerializeAsString();
}

void DecodeItem(const std::string& aKey, const std::string& aText)
{
  static const platform::PlatformDecoder decoder(
    platform::ReadSettings(WriteFile(kPlatformSettings)));
  static decide::Members members("127.0.0.1:2", "ct-a", 3s);
  decide::Fleet fleet("ct-a", members, 1);
  decide::PlacementQuery query;
  query.mConfig = decoder.ReadConfig(kPlatformConfig);
  fleet.SetConfig(query.mConfig);
  auto item = decoder.Decode({ aKey, aText, 1, false });
  base::Instant now{ 1h };
  if (const auto* server = std::get_if<decide::Registration>(&item)) {
    fleet.Register(*server, now);
  }
  if (const auto* config = std::get_if<decide::ConfigPtr>(&item)) {
    query.mConfig = *config;
    fleet.SetConfig(query.mConfig);
  }
  query.mService = decide::ServiceId(0);
  decide::ServerChoice choice = fleet.Choose(query, now);
  if (choice.mServer) {
    fleet.RecordLoad(choice.mServer, { ~0U, ~0U, ~0U }, 10ms, now);
    fleet.RecordResult(choice.mServer, decide::SendResult::Answered, now);
  }
}

void DecodeRegistration(const std::string& aText)
{
  DecodeItem("servers/i-1", aText);
}

void DecodePlatformConfig(const std::string& aText)
{
  DecodeItem("op/config", aText);
}

void DecodeNativeConfig(const std::string& aText)
{
  try {
    decide::ParseConfig(aText);
  } catch (const decide::ConfigError&) {
  }
}

// The loops that read these documents expect any standard exception.
void DecodeStoredDocuments(const std::string& aText)
{
  try {
    decide::ShareDocument::Parse(aText);
  } catch (const std::exception&) {
  }
  try {
    decide::Run::Parse(aText);
  } catch (const std::exception&) {
  }
}

void DecodeTicket(const std::string& aText)
{
  decide::Ticket::Parse(aText);
}

void DecodeSettings(const std::string& aText)
{
  try {
    platform::ReadSettings(WriteFile(aText));
  } catch (const base::SettingError&) {
  }
}

template<bool IsRequest, typename Convert>
void DecodeHttp(const std::string& aText, Convert aConvert)
{
  http::parser<IsRequest, http::string_body> parser;
  parser.eager(true);
  boost::system::error_code error;
  parser.put(boost::asio::buffer(aText), error);
  if (!error && parser.is_done()) {
    aConvert(parser.release());
  }
}

void DecodeResponse(const std::string& aText)
{
  DecodeHttp<false>(aText, [](net::Response aResponse) {
    entry::NativeFormat().FromServer(aResponse);
    entry::ServerAnswer answer =
      platform::PlatformFormat().FromServer(std::move(aResponse));
    platform::PlatformFormat().ToCaller(std::move(answer.mOutcome));
  });
}

void DecodeRequest(const std::string& aText)
{
  DecodeHttp<true>(aText, [](net::Request aRequest) {
    entry::NativeFormat().FromCaller(aRequest);
    entry::Exchange exchange = platform::PlatformFormat().FromCaller(std::move(aRequest));
    platform::PlatformFormat().ToServer(exchange, { "i-1", 5ms, false });
  });
}

void DecodeBeat(const std::string& aText)
{
  static QuietInstance instance;
  peer::wire::BeatRequest beat;
  if (beat.ParseFromString(aText)) {
    // A reply to the sender must stay on this machine.
    beat.mutable_status()->set_address("127.0.0.1:3");
    instance.Run(instance.mRelay.OnBeat(std::move(beat)));
  }
}

void DecodeToken(const std::string& aText)
{
  static QuietInstance instance;
  peer::wire::TokenRequest token;
  if (token.ParseFromString(aText)) {
    instance.Run(instance.mRelay.OnAskToken(std::move(token)));
  }
}

// A listener on loopback that records the requests which it passes on.
class FramingListener
{
public:
  FramingListener()
  {
    boost::asio::ip::tcp::endpoint anyPort(boost::asio::ip::address_v4::loopback(), 0);
    mAt = Acceptor(mInstance.mContext, anyPort).local_endpoint();
    mListener.Open({ "127.0.0.1", mAt.port() },
                   [this](net::Request aRequest,
                          entry::CallerConnection&) -> entry::Awaitable<net::Response> {
                     std::string target(entry::ToStringView(aRequest.target()));
                     mReceived.push_back({ target, aRequest.body() });
                     co_return net::ResponseWithStatus(200);
                   });
  }

  std::vector<fuzz::PlainRequest> Read(const std::string& aStream)
  {
    mReceived.clear();
    bool done = false;
    boost::asio::co_spawn(
      mInstance.mContext, Send(aStream), [&](std::exception_ptr) { done = true; });
    mInstance.mContext.restart();
    while (!done) {
      mInstance.mContext.run_one();
    }
    return mReceived;
  }

private:
  using Acceptor = boost::asio::ip::tcp::acceptor;

  // Writes the stream while it reads the responses, so that neither side waits.
  entry::Awaitable<void> Send(std::string aStream)
  {
    using boost::asio::redirect_error;
    using boost::asio::use_awaitable;
    boost::asio::ip::tcp::socket caller(mInstance.mContext);
    co_await caller.async_connect(mAt, use_awaitable);
    boost::system::error_code error;
    co_await boost::asio::async_write(
      caller, boost::asio::buffer(aStream), redirect_error(use_awaitable, error));
    caller.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    std::string responses;
    co_await boost::asio::async_read(caller,
                                     boost::asio::dynamic_buffer(responses),
                                     redirect_error(use_awaitable, error));
  }

  QuietInstance mInstance;
  entry::Listener mListener{ mInstance.mCore, mInstance.mFormat };
  boost::asio::ip::tcp::endpoint mAt;
  std::vector<fuzz::PlainRequest> mReceived;
};

// The listener passes on the same requests as a plain reader sees.
void CompareFraming(const std::string& aText)
{
  static FramingListener listener;
  std::vector<fuzz::PlainRequest> ours = listener.Read(aText);
  std::vector<fuzz::PlainRequest> plain = fuzz::ReadPlainly(aText);
  if (ours != plain) {
    throw std::runtime_error(fmt::format(
      "the listener sees {} requests, a plain reader {}", ours.size(), plain.size()));
  }
}

struct Target
{
  std::string mName; // also the beginning of the names of its files in the corpus
  void (*mDecode)(const std::string& aText);
  std::string mWellFormed;
};

std::vector<Target> Targets()
{
  return {
    { "registration", DecodeRegistration, kRegistration },
    { "platform-config", DecodePlatformConfig, kPlatformConfig },
    { "native-config", DecodeNativeConfig, kNativeConfig },
    { "documents",
      DecodeStoredDocuments,
      R"({"writes":3,"holders":[{"address":"127.0.0.1:2","start":7,"shares":[]}]})" },
    { "ticket", DecodeTicket, "v1~127.9.9.9:1~1~1~grocer~99~00" },
    { "settings", DecodeSettings, kPlatformSettings },
    { "response", DecodeResponse, kResponse },
    { "request", DecodeRequest, kRequest },
    { "beat", DecodeBeat, BeatMessage() },
    { "token", DecodeToken, TokenMessage() },
    { "framing", CompareFraming, kStream },
  };
}

// Decodes an input. A documented refusal returns; any other exception is printed.
bool Passes(const Target& aTarget, const std::string& aText)
{
  try {
    aTarget.mDecode(aText);
    return true;
  } catch (const std::exception& error) {
    std::cout << aTarget.mName << ": " << error.what() << "\n";
    return false;
  }
}

bool CorpusPasses(const std::vector<Target>& aTargets, const std::string& aFolder)
{
  bool passed = true;
  for (const auto& file : std::filesystem::directory_iterator(aFolder)) {
    std::ifstream stream(file.path(), std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(stream), {});
    for (const Target& target : aTargets) {
      bool matches = file.path().filename().string().starts_with(target.mName + "-");
      passed = (!matches || Passes(target, text)) && passed;
    }
  }
  return passed;
}

// A crash leaves the input that caused it in this file.
void KeepLastInput(const std::string& aFile,
                   const Target& aTarget,
                   const std::string& aText)
{
  if (!aFile.empty()) {
    std::ofstream(aFile, std::ios::binary) << aTarget.mName << "\n" << aText;
  }
}

const std::vector<base::Flag> kFlags = {
  { "inputs", "20000", false, "number of random inputs" },
  { "seed", "1", false, "seed of the random inputs" },
  { "corpus", VANILLALOFT_CORPUS, false, "folder of inputs that once failed" },
  { "last-input", "", false, "file that keeps the input being decoded" },
};

int Run(const base::Settings& aSettings)
{
  std::vector<Target> targets = Targets();
  bool passed = CorpusPasses(targets, aSettings.Text("corpus"));
  fuzz::Mutator mutator(
    static_cast<std::uint64_t>(aSettings.Number("seed", 0, 1'000'000'000)));
  long inputs = aSettings.Number("inputs", 0, 1'000'000'000);
  for (long i = 0; i < inputs; ++i) {
    const Target& target = targets[static_cast<std::size_t>(i) % targets.size()];
    std::string text = mutator.Mutate(target.mWellFormed);
    KeepLastInput(aSettings.Text("last-input"), target, text);
    if (!Passes(target, text)) {
      std::cout << "input " << i << " of seed " << aSettings.Text("seed") << "\n";
      passed = false;
    }
  }
  std::cout << "fuzz: " << inputs << " inputs, " << (passed ? "ok" : "failed") << "\n";
  return passed ? 0 : 1;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  spdlog::set_level(spdlog::level::off);
  google::protobuf::SetLogHandler(nullptr);
  try {
    return Run(base::Settings::Parse(aArgc, aArgv, kFlags));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
