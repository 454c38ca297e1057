// A second reader of HTTP/1.1 requests, written for the tests from RFC 9112 alone and
// without speed in mind, to compare the product's framing with.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace vanillaloft::fuzz {

struct PlainRequest
{
  std::string mTarget;
  std::string mBody;

  bool operator==(const PlainRequest&) const = default;
};

// Returns the requests of a connection up to the first that is incomplete or not valid,
// or after which the connection ends.
std::vector<PlainRequest> ReadPlainly(const std::string& aBytes);

} // namespace vanillaloft::fuzz
