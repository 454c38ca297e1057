// What the answers of a store have in common, whichever protocol it speaks.
#pragma once

#include <fmt/format.h>

#include "net/http.h"
#include "store/store.h"

namespace vanillaloft::store {

// Throws StoreError for any other status than 200.
inline void RequireOk(const net::Response& aResponse)
{
  if (aResponse.result() != boost::beast::http::status::ok) {
    throw StoreError(
      fmt::format("the store returned HTTP status {}", aResponse.result_int()));
  }
}

} // namespace vanillaloft::store
