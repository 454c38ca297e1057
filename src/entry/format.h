// How requests and answers look on the wire. The pipeline sees exchanges and outcomes
// only; each interface that the product speaks has one format.
#pragma once

#include <optional>
#include <string>

#include "base/result.h"
#include "decide/fleet.h"
#include "entry/exchange.h"
#include "net/http.h"

namespace vanillaloft::entry {

// What a backend server is told besides the request itself.
struct AttemptMetadata
{
  std::string mServerId; // another server that has the address must not run the request
  std::chrono::milliseconds mTimeLeft{};
  bool mOrder = false;
};

// A backend server's answer, decoded.
struct ServerAnswer
{
  decide::Outcome mOutcome;
  std::string mRequestId;    // as echoed; empty if it was not
  bool mNotRun = false;      // the server says that it did not run the request
  bool mWrongServer = false; // the address belongs to another server
  bool mDraining = false;
  bool mGenuine = true;       // false: not what the service made
  bool mServerFailed = false; // the service failed
  std::optional<decide::LoadReport> mLoad;
};

class Format
{
public:
  virtual ~Format() = default;
  virtual Exchange FromCaller(net::Request aRequest) const = 0;
  // The answer for an outcome, refusals included.
  virtual net::Response ToCaller(decide::Outcome aOutcome) const = 0;
  virtual net::Request ToServer(const Exchange& aExchange,
                                const AttemptMetadata& aSending) const = 0;
  virtual ServerAnswer FromServer(net::Response aResponse) const = 0;
};

// The product's own interface, described in docs/INTERFACE.md.
class NativeFormat final : public Format
{
public:
  Exchange FromCaller(net::Request aRequest) const override;
  net::Response ToCaller(decide::Outcome aOutcome) const override;
  net::Request ToServer(const Exchange& aExchange,
                        const AttemptMetadata& aSending) const override;
  ServerAnswer FromServer(net::Response aResponse) const override;
};

// The presented key, if any.
std::optional<std::string> AuthorizationKey(const net::Request& aRequest,
                                            std::string_view aScheme);

inline std::string_view ToStringView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace vanillaloft::entry
