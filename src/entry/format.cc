#include "entry/format.h"

#include <charconv>
#include <cmath>

#include <nlohmann/json.hpp>

namespace vanillaloft::entry {

namespace http = boost::beast::http;
using base::Result;

namespace {

constexpr std::string_view kAuthorizationScheme = "Bearer ";
constexpr const char* kTicketHeader = "Idempotency-Key";
constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr const char* kNotRunHeader = "X-Not-Run";
constexpr const char* kDrainingHeader = "X-Draining";

net::Response ErrorResponse(Result aResult)
{
  const base::ResultInfo& row = base::InfoOf(aResult);
  nlohmann::json body = { { "result", static_cast<unsigned>(aResult) },
                          { "name", row.mName },
                          { "ran", base::Name(row.mExecuted) },
                          { "meaning", row.mMeaning } };
  net::Response response = net::ResponseWithStatus(row.mStatus);
  response.set(http::field::content_type, "application/json");
  if (aResult == Result::RateExceeded) {
    response.set(http::field::retry_after, "1");
  }
  response.body() = body.dump() + "\n";
  return response;
}

} // namespace

std::optional<std::string> AuthorizationKey(const net::Request& aRequest,
                                            std::string_view aScheme)
{
  std::string_view value = ToStringView(aRequest[http::field::authorization]);
  if (!value.starts_with(aScheme)) {
    return std::nullopt;
  }
  return std::string(value.substr(aScheme.size()));
}

Exchange NativeFormat::FromCaller(net::Request aRequest) const
{
  std::optional<std::string> key = AuthorizationKey(aRequest, kAuthorizationScheme);
  Exchange exchange;
  exchange.mMethod = std::string(ToStringView(aRequest.method_string()));
  exchange.mTarget = std::string(ToStringView(aRequest.target()));
  exchange.mContentType = std::string(ToStringView(aRequest[http::field::content_type]));
  exchange.mTicket = std::string(ToStringView(aRequest[kTicketHeader]));
  exchange.mHasKey = key.has_value();
  exchange.mKey = key.value_or("");
  exchange.mBody = std::move(aRequest.body());
  return exchange;
}

std::optional<PauseNotice> PauseOf(const net::Response& aResponse)
{
  if (aResponse.result() != http::status::service_unavailable ||
      aResponse.count(http::field::retry_after) == 0) {
    return std::nullopt;
  }
  std::string_view text = ToStringView(aResponse[http::field::retry_after]);
  double seconds = 0;
  auto [end, error] = std::from_chars(
    text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
  bool complete = error == std::errc() && end == text.data() + text.size();
  if (!complete || !std::isfinite(seconds) || seconds < 0) {
    return PauseNotice{ Duration::zero(), false };
  }
  std::chrono::duration<double> limit = decide::kMaxRequestedPause;
  std::chrono::duration<double> pause(std::min(seconds, limit.count()));
  return PauseNotice{ std::chrono::duration_cast<Duration>(pause), true };
}

net::Response NativeFormat::ToCaller(decide::Outcome aOutcome) const
{
  if (aOutcome.mResult != Result::Ok) {
    return ErrorResponse(aOutcome.mResult);
  }
  net::Response response = net::ResponseWithStatus(aOutcome.mStatus);
  if (!aOutcome.mContentType.empty()) {
    response.set(http::field::content_type, aOutcome.mContentType);
  }
  response.body() = std::move(aOutcome.mBody);
  return response;
}

net::Request NativeFormat::ToServer(const Exchange& aExchange,
                                    const AttemptMetadata& aMetadata) const
{
  net::Request request(
    http::string_to_verb(aExchange.mMethod), aExchange.mTarget, net::kHttp11);
  request.set(http::field::host, "backend-server");
  request.set(kRequestIdHeader, aExchange.mRequestId);
  request.set("X-Deadline-Ms", std::to_string(aMetadata.mTimeLeft.count()));
  if (!aExchange.mOrganisation.IsNone()) {
    request.set("X-Organisation",
                aExchange.mConfig->mOrganisations[aExchange.mOrganisation.Value()].mName);
  }
  if (!aExchange.mContentType.empty()) {
    request.set(http::field::content_type, aExchange.mContentType);
  }
  auto ticket = decide::Ticket::Parse(aExchange.mTicket);
  if (aMetadata.mOrder && ticket) {
    std::string id = ticket->mIssuer.mAddress + "/" +
                     std::to_string(ticket->mIssuer.mStartId) + "/" +
                     std::to_string(ticket->mSequence);
    request.set(kTicketHeader, id);
  }
  request.keep_alive(true);
  return request;
}

ServerAnswer NativeFormat::FromServer(net::Response aResponse) const
{
  ServerAnswer answer;
  answer.mRequestId = std::string(ToStringView(aResponse[kRequestIdHeader]));
  answer.mDraining = aResponse.count(kDrainingHeader) > 0;
  answer.mPause = PauseOf(aResponse);
  answer.mNotRun = aResponse.result() == http::status::service_unavailable &&
                   aResponse.count(kNotRunHeader) > 0;
  answer.mOutcome.mResult = Result::Ok;
  answer.mOutcome.mStatus = aResponse.result_int();
  answer.mOutcome.mContentType =
    std::string(ToStringView(aResponse[http::field::content_type]));
  answer.mOutcome.mBody = std::move(aResponse.body());
  return answer;
}

} // namespace vanillaloft::entry
