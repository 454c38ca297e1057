// Open-loop load generator. It looks up the instances to use, caches the answer for its
// time to live and sends lookups and orders on a fixed schedule. Latency is measured from
// the scheduled send time, so that it includes any delay of the generator. An order whose
// answer is lost or unknown is retried with the same ticket at another instance.
#include <fstream>
#include <iostream>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/histogram.hpp>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>

#include "base/settings.h"
#include "net/http.h"

namespace {

using namespace vanillaloft;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace histogram = boost::histogram;
using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr std::chrono::milliseconds kCallTimeout{ 5000 };
constexpr std::chrono::milliseconds kRetryInterval{ 300 };
constexpr int kMaxOrderAttempts = 12;
constexpr int kMaxLookupAttempts = 3;
constexpr std::size_t kMaxTickets = 16;

const std::vector<base::Flag> kFlags = {
  { "entries", "", false, "instances that serve look-ups, separated by commas" },
  { "direct", "", false, "backend server to call without the system" },
  { "key", "", false, "the caller's key" },
  { "service", "", false, "service for look-ups" },
  { "path", "", false, "target of lookups" },
  { "order-path", "", false, "target of orders" },
  { "rate", "100", false, "requests per second" },
  { "seconds", "5", false, "duration of the run, in seconds" },
  { "orders-percent", "0", false, "share of orders among the requests, in percent" },
  { "seed", "1", false, "seed of the random choices" },
  { "report", "", false, "output file for the latency plot (SVG)" },
};

using Histogram = decltype(histogram::make_histogram(
  histogram::axis::regular<double, histogram::axis::transform::log>(1, 1, 2)));

// Counts of one kind of request.
struct Tally
{
  std::uint64_t mSent = 0;
  std::uint64_t mOk = 0;
  std::map<std::string, std::uint64_t> mFailures; // by cause
};

// Answer of a look-up, cached for its time to live.
struct CachedLookup
{
  std::vector<std::string> mInstances;
  std::vector<std::string> mTickets;
  Clock::time_point mExpiry{};
};

class Driver
{
public:
  Driver(asio::io_context& aContext, const base::Settings& aSettings)
    : mContext(aContext)
    , mSettings(aSettings)
    , mRandom(static_cast<unsigned>(aSettings.Number("seed", 0, 1'000'000)))
    , mLatency(histogram::make_histogram(
        histogram::axis::regular<double, histogram::axis::transform::log>(2000,
                                                                          1e-5,
                                                                          20.0)))
  {
    std::istringstream entries(aSettings.Text("entries"));
    for (std::string entry; std::getline(entries, entry, ',');) {
      mEntries.push_back(entry);
    }
  }

  net::Awaitable<void> Run();
  void Print() const;

private:
  net::Awaitable<void> SendOne(Clock::time_point aIntended, bool aOrder);
  net::Awaitable<void> Lookup(Clock::time_point aIntended);
  net::Awaitable<void> Order(Clock::time_point aIntended);
  net::Awaitable<net::Response> Send(std::string aAddress, net::Request aRequest);
  net::Awaitable<void> Refresh();
  net::Awaitable<void> Sleep(std::chrono::milliseconds aTime);
  net::Request MakeRequest(http::verb aVerb, const std::string& aTarget) const;
  std::string PickInstance();
  double Quantile(double aQuantile) const;
  void WriteReport(const std::string& aPath) const;

  asio::io_context& mContext;
  const base::Settings& mSettings;
  std::mt19937 mRandom;
  Histogram mLatency;
  std::vector<std::string> mEntries;
  CachedLookup mCachedLookup;
  bool mRefreshing = false;
  std::map<std::string, std::vector<std::unique_ptr<net::Connection>>> mIdle;
  Tally mLookups;
  Tally mOrders;
  std::uint64_t mCutRequests = 0;
  std::uint64_t mInFlight = 0;
};

net::Awaitable<void> Driver::Sleep(std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(mContext, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

net::Request Driver::MakeRequest(http::verb aVerb, const std::string& aTarget) const
{
  net::Request request(aVerb, aTarget, net::kHttp11);
  request.set(http::field::host, "vanillaloft");
  if (!mSettings.Text("key").empty()) {
    request.set(http::field::authorization, "Bearer " + mSettings.Text("key"));
  }
  request.keep_alive(true);
  return request;
}

net::Awaitable<net::Response> Driver::Send(std::string aAddress, net::Request aRequest)
{
  auto& idle = mIdle[aAddress];
  std::unique_ptr<net::Connection> connection;
  while (!idle.empty() && !connection) {
    connection = std::move(idle.back());
    idle.pop_back();
    connection = connection->IsReusable() ? std::move(connection) : nullptr;
  }
  if (!connection) {
    connection = std::make_unique<net::Connection>(mContext.get_executor());
    co_await connection->Connect(base::ParseHostPort("address", aAddress), kCallTimeout);
  }
  aRequest.prepare_payload();
  net::Response response = co_await connection->Call(aRequest, kCallTimeout);
  if (response.keep_alive()) {
    mIdle[aAddress].push_back(std::move(connection));
  }
  co_return response;
}

net::Awaitable<void> Driver::Refresh()
{
  while (mRefreshing) {
    co_await Sleep(std::chrono::milliseconds(5));
  }
  if (Clock::now() < mCachedLookup.mExpiry && !mCachedLookup.mTickets.empty()) {
    co_return;
  }
  mRefreshing = true;
  std::string target = "/v1/lookup?tickets=" + std::to_string(kMaxTickets) +
                       "&service=" + mSettings.Text("service");
  for (std::size_t i = 0; i < 2 * mEntries.size(); ++i) {
    const std::string& entry = mEntries[mRandom() % mEntries.size()];
    try {
      auto response = co_await Send(entry, MakeRequest(http::verb::get, target));
      if (response.result() != http::status::ok) {
        continue;
      }
      json answer = json::parse(response.body());
      mCachedLookup.mInstances.clear();
      for (const json& instance : answer["instances"]) {
        mCachedLookup.mInstances.push_back(instance["address"]);
      }
      mCachedLookup.mTickets = answer["tickets"].get<std::vector<std::string>>();
      mCachedLookup.mExpiry =
        Clock::now() + std::chrono::milliseconds(answer["ttl_ms"].get<long>());
      break;
    } catch (const net::CallError&) {
      // Retried at another instance.
    }
  }
  mRefreshing = false;
}

std::string Driver::PickInstance()
{
  if (mCachedLookup.mInstances.empty()) {
    return mEntries[mRandom() % mEntries.size()];
  }
  return mCachedLookup.mInstances[mRandom() % mCachedLookup.mInstances.size()];
}

net::Awaitable<void> Driver::Lookup(Clock::time_point aIntended)
{
  ++mLookups.mSent;
  std::string cause;
  bool direct = !mSettings.Text("direct").empty();
  for (int i = 0; i < kMaxLookupAttempts; ++i) {
    if (!direct && Clock::now() >= mCachedLookup.mExpiry) {
      co_await Refresh();
    }
    std::string address = direct ? mSettings.Text("direct") : PickInstance();
    bool refused = false;
    try {
      auto response =
        co_await Send(address, MakeRequest(http::verb::get, mSettings.Text("path")));
      if (response.result() == http::status::ok) {
        ++mLookups.mOk;
        mLatency(std::chrono::duration<double>(Clock::now() - aIntended).count());
        co_return;
      }
      json body = json::parse(response.body(), nullptr, false);
      cause = body.is_object() ? body.value("name", "?")
                               : std::to_string(response.result_int());
      break;
    } catch (const net::CallError& error) {
      cause = error.what();
      refused = error.FailedStage() == net::Stage::Connect;
    }
    mCutRequests += refused ? 0 : 1;
    mCachedLookup.mExpiry = {};
  }
  ++mLookups.mFailures[cause];
}

net::Awaitable<void> Driver::Order(Clock::time_point aIntended)
{
  ++mOrders.mSent;
  if (mCachedLookup.mTickets.empty() || Clock::now() >= mCachedLookup.mExpiry) {
    co_await Refresh();
  }
  if (mCachedLookup.mTickets.empty()) {
    ++mOrders.mFailures["no ticket"];
    co_return;
  }
  std::string ticket = mCachedLookup.mTickets.back();
  mCachedLookup.mTickets.pop_back();
  std::string cause;
  for (int i = 0; i < kMaxOrderAttempts; ++i) {
    net::Request request = MakeRequest(http::verb::post, mSettings.Text("order-path"));
    request.set("Idempotency-Key", ticket);
    request.set(http::field::content_type, "text/plain");
    request.body() = "one carton for " + ticket.substr(0, 40);
    std::string address = i == 0 ? PickInstance() : mEntries[mRandom() % mEntries.size()];
    try {
      auto response = co_await Send(address, std::move(request));
      if (response.result() == http::status::ok) {
        ++mOrders.mOk;
        mLatency(std::chrono::duration<double>(Clock::now() - aIntended).count());
        co_return;
      }
      json body = json::parse(response.body(), nullptr, false);
      cause = body.is_object() ? body.value("name", "?")
                               : std::to_string(response.result_int());
    } catch (const net::CallError& error) {
      cause = error.what();
      mCutRequests += error.FailedStage() == net::Stage::Connect ? 0 : 1;
    }
    co_await Sleep(kRetryInterval);
  }
  ++mOrders.mFailures[cause];
}

net::Awaitable<void> Driver::SendOne(Clock::time_point aIntended, bool aOrder)
{
  ++mInFlight;
  if (aOrder) {
    co_await Order(aIntended);
  } else {
    co_await Lookup(aIntended);
  }
  --mInFlight;
}

net::Awaitable<void> Driver::Run()
{
  long rate = mSettings.Number("rate", 1, 100'000);
  long count = rate * mSettings.Number("seconds", 1, 3600);
  long orders = mSettings.Number("orders-percent", 0, 100);
  Clock::time_point start = Clock::now();
  asio::steady_timer timer(mContext);
  for (long i = 0; i < count; ++i) {
    Clock::time_point intended = start + std::chrono::microseconds(i * 1'000'000 / rate);
    timer.expires_at(intended);
    co_await timer.async_wait(asio::use_awaitable);
    bool order = i * orders / 100 != (i + 1) * orders / 100;
    asio::co_spawn(mContext, SendOne(intended, order), asio::detached);
  }
  while (mInFlight > 0) {
    co_await Sleep(std::chrono::milliseconds(20));
  }
}

double Driver::Quantile(double aQuantile) const
{
  double sum = 0;
  for (auto&& cell : histogram::indexed(mLatency)) {
    sum += *cell;
  }
  double seen = 0;
  for (auto&& cell : histogram::indexed(mLatency)) {
    seen += *cell;
    if (seen >= aQuantile * sum) {
      return cell.bin().upper() * 1000;
    }
  }
  return 0;
}

// Writes an SVG plot of the latency by percentile to aPath.
void Driver::WriteReport(const std::string& aPath) const
{
  std::ofstream file(aPath);
  file
    << "<svg xmlns='http://www.w3.org/2000/svg' width='640' height='400' "
       "font-family='sans-serif' font-size='12'>\n<text x='20' y='20'>latency in ms by "
       "percentile</text>\n<polyline fill='none' stroke='black' points='";
  double top = std::max(Quantile(0.999), 0.001);
  for (int i = 1; i <= 999; ++i) {
    file << 50 + i * 0.55 << "," << 360 - 320 * Quantile(i / 1000.0) / top << " ";
  }
  file << "'/>\n<text x='5' y='45'>" << fmt::format("{:.2f}", top)
       << "</text><text x='30' y='360'>0</text><text x='50' y='380'>p0</text>"
          "<text x='580' y='380'>p99.9</text>\n</svg>\n";
}

void Driver::Print() const
{
  std::cout << fmt::format("lookups {}/{}, orders {}/{}, cut {}\n",
                           mLookups.mOk,
                           mLookups.mSent,
                           mOrders.mOk,
                           mOrders.mSent,
                           mCutRequests);
  for (const Tally* tally : { &mLookups, &mOrders }) {
    for (const auto& [cause, count] : tally->mFailures) {
      std::cout << fmt::format("  failed {} {}\n", count, cause);
    }
  }
  std::cout << fmt::format("latency ms p50 {:.3f} p90 {:.3f} p99 {:.3f} p999 {:.3f}\n",
                           Quantile(0.5),
                           Quantile(0.9),
                           Quantile(0.99),
                           Quantile(0.999));
  if (!mSettings.Text("report").empty()) {
    WriteReport(mSettings.Text("report"));
  }
}

} // namespace

int main(int aArgc, char** aArgv)
{
  try {
    base::Settings settings = base::Settings::Parse(aArgc, aArgv, kFlags);
    if (settings.HelpRequested()) {
      std::cout << base::Settings::Help(kFlags);
      return 0;
    }
    asio::io_context context(1);
    Driver driver(context, settings);
    asio::co_spawn(context, driver.Run(), [](std::exception_ptr aFailure) {
      if (aFailure) {
        std::rethrow_exception(aFailure);
      }
    });
    context.run();
    driver.Print();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
}
