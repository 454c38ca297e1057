// Conversion between HTTP messages and the pipeline's exchanges and outcomes. There is
// one Format for each HTTP interface of the product.
#pragma once

#include <optional>
#include <string>

#include "base/result.h"
#include "decide/fleet.h"
#include "entry/exchange.h"
#include "net/http.h"

namespace vanillaloft::entry {

// What a backend server is sent in addition to the request itself.
struct AttemptMetadata
{
  // Intended server. Another server that has taken over the address must not run the
  // request.
  std::string mServerId;
  std::chrono::milliseconds mTimeLeft{}; // until the request's deadline
  bool mOrder = false;                   // the request carries an idempotency ticket
};

// A server's statement for how long it wants no requests.
struct PauseNotice
{
  Duration mPause{}; // zero: none
  bool mReadable = true;
};

// The decoded response of a backend server.
struct ServerAnswer
{
  decide::Outcome mOutcome;
  std::string mRequestId;    // as echoed by the server; empty if absent
  bool mNotRun = false;      // the server stated that it did not run the request
  bool mWrongServer = false; // the address now belongs to another server
  bool mDraining = false;    // the server leaves and wants no new requests
  std::optional<PauseNotice> mPause;
  bool mGenuine = true;       // false: the response did not come from the service
  bool mServerFailed = false; // the service reported an error of its own
  std::optional<decide::LoadReport> mLoad;
};

// Converts messages of one HTTP interface.
class Format
{
public:
  virtual ~Format() = default;
  virtual Exchange FromCaller(net::Request aRequest) const = 0;
  // Also converts refusals, i.e. outcomes whose result is not Ok.
  virtual net::Response ToCaller(decide::Outcome aOutcome) const = 0;
  // Returns the head of the request; its body is the exchange's.
  virtual net::Request ToServer(const Exchange& aExchange,
                                const AttemptMetadata& aMetadata) const = 0;
  virtual ServerAnswer FromServer(net::Response aResponse) const = 0;
};

// The product's native interface, described in docs/INTERFACE.md.
class NativeFormat final : public Format
{
public:
  Exchange FromCaller(net::Request aRequest) const override;
  net::Response ToCaller(decide::Outcome aOutcome) const override;
  net::Request ToServer(const Exchange& aExchange,
                        const AttemptMetadata& aMetadata) const override;
  ServerAnswer FromServer(net::Response aResponse) const override;
};

// Reads the pause that a refusal with status 503 asks for. Empty if it asks for none.
std::optional<PauseNotice> PauseOf(const net::Response& aResponse);

// Returns the key in the Authorization header if the header starts with aScheme.
std::optional<std::string> AuthorizationKey(const net::Request& aRequest,
                                            std::string_view aScheme);

inline std::string_view ToStringView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace vanillaloft::entry
