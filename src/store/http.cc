#include "store/http.h"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "store/answer.h"

namespace vanillaloft::store {

namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr const char* kVersionHeader = "X-Consul-Index";

// Converts the response to a read. An absent key (404) is the value with version 0.
// Throws StoreError for any other status but 200 and for a version that is missing, zero
// or no number.
Value ToValue(const net::Response& aResponse)
{
  if (aResponse.result() == http::status::not_found) {
    return {};
  }
  RequireOk(aResponse);
  Value value;
  auto header = aResponse[kVersionHeader];
  const char* headerEnd = header.data() + header.size();
  auto [end, error] = std::from_chars(header.data(), headerEnd, value.mVersion);
  if (error != std::errc() || end != headerEnd || value.mVersion == 0) {
    throw StoreError("the store's response has no valid X-Consul-Index header");
  }
  value.mText = aResponse.body();
  return value;
}

// Converts the response to a write. Throws StoreError if it does not say whether the
// value was written.
bool ToSwapped(const net::Response& aResponse)
{
  RequireOk(aResponse);
  auto answer = json::parse(aResponse.body(), nullptr, false);
  if (!answer.is_boolean()) {
    throw StoreError("the store does not say whether it wrote the value");
  }
  return answer.get<bool>();
}

} // namespace

Awaitable<net::Response> HttpStore::Call(net::Request aRequest,
                                         std::chrono::milliseconds aTimeout)
{
  try {
    co_return co_await net::CallOnce(mAddress, std::move(aRequest), aTimeout);
  } catch (const net::CallError& error) {
    throw StoreError(error.what());
  }
}

Awaitable<Value> HttpStore::Read(std::string aKey)
{
  net::Request request(http::verb::get, fmt::format("/v1/kv/{}?raw", aKey), net::kHttp11);
  co_return ToValue(co_await Call(std::move(request), mTimeout));
}

Awaitable<Value> HttpStore::Watch(std::string aKey,
                                  std::uint64_t aVersion,
                                  std::chrono::milliseconds aWait)
{
  std::string target =
    fmt::format("/v1/kv/{}?raw&index={}&wait={}ms", aKey, aVersion, aWait.count());
  net::Request request(http::verb::get, target, net::kHttp11);
  co_return ToValue(co_await Call(std::move(request), aWait + mTimeout));
}

Awaitable<bool> HttpStore::CompareAndSwap(std::string aKey,
                                          std::uint64_t aVersion,
                                          std::string aText)
{
  std::string target = fmt::format("/v1/kv/{}?cas={}", aKey, aVersion);
  net::Request request(http::verb::put, target, net::kHttp11);
  request.body() = std::move(aText);
  net::Response response = co_await Call(std::move(request), mTimeout);
  co_return ToSwapped(response);
}

Awaitable<std::vector<ListedInstance>> HttpStore::Instances()
{
  net::Request request(http::verb::get, "/v1/instances", net::kHttp11);
  net::Response response = co_await Call(std::move(request), mTimeout);
  RequireOk(response);
  std::vector<ListedInstance> instances;
  try {
    for (const auto& entry : json::parse(response.body()).get<json::array_t>()) {
      instances.push_back({ entry.at("address").get<std::string>(),
                            entry.at("data_centre").get<std::string>(),
                            entry.value("leaving", false) });
    }
  } catch (const json::exception& error) {
    throw StoreError(
      fmt::format("the list of instances cannot be read: {}", error.what()));
  }
  co_return instances;
}

} // namespace vanillaloft::store
