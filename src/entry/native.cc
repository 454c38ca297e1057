#include "entry/native.h"

#include "entry/dump.h"

namespace vanillaloft::entry {

namespace http = boost::beast::http;

net::Response NativeApi::Lookup(const net::Request& aRequest, std::uint32_t aClient) const
{
  Exchange exchange = mFormat.FromCaller(aRequest);
  decide::Outcome outcome;
  try {
    if (!exchange.mHasKey) {
      throw base::RequestError(Result::KeyMissing);
    }
    outcome.mBody = mLookUps.Handle(aRequest, aClient, exchange.mKey);
    outcome.mResult = Result::Ok;
    outcome.mStatus = unsigned(http::status::ok);
    outcome.mContentType = "application/json";
  } catch (const base::RequestError& error) {
    outcome.mResult = error.Code();
  }
  return mFormat.ToCaller(std::move(outcome));
}

Awaitable<net::Response> NativeApi::HandleCaller(net::Request aRequest,
                                                 CallerConnection& aConnection)
{
  if (ToStringView(aRequest.target()).starts_with("/v1/lookup")) {
    co_return Lookup(aRequest, aConnection.mAddress);
  }
  Exchange exchange = mFormat.FromCaller(std::move(aRequest));
  exchange.mRequestId = fmt::format("{:x}-{}", mCore.Self().mStartId, ++mRequestCount);
  exchange.mArrival = mCore.Now();
  exchange.mCaller = &aConnection;
  co_return mFormat.ToCaller(co_await mPipeline.Serve(std::move(exchange)));
}

Awaitable<net::Response> NativeApi::HandleOperator(net::Request aRequest)
{
  net::Response response(http::status::ok, net::kHttp11);
  std::string_view target = ToStringView(aRequest.target());
  if (target == "/state") {
    response.set(http::field::content_type, "application/json");
    response.body() = DumpState(mCore);
  } else if (target == "/metrics") {
    RefreshGauges(mCore);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = mCore.mMetrics.Text();
  } else if (target == "/ready") {
    response.result(mCore.IsReady() ? http::status::ok
                                    : http::status::service_unavailable);
    response.body() = mCore.IsReady() ? "ready\n" : "not ready\n";
  } else {
    decide::Outcome refusal;
    refusal.mResult = Result::UnknownRoute;
    response = mFormat.ToCaller(std::move(refusal));
  }
  co_return response;
}

} // namespace vanillaloft::entry
