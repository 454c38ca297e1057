// The document in the platform's store that records all shares of fleet-wide budgets.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"
#include "decide/config.h"

namespace vanillaloft::decide {

// A share of a budget's pool, in thousandths.
using PerMille = std::uint32_t;
constexpr PerMille kWholePool = 1000;

// Demand is recorded in hundredths of a token.
constexpr std::uint64_t kDemandUnitsPerToken = 100;

// The record of one holder in the document.
struct ShareRecord
{
  std::string mDataCentre;
  Incarnation mHolder;
  std::uint64_t mSequence = 0;                  // increases with each renewal
  bool mFloor = false;                          // holds the floor of its data centre
  std::map<std::string, PerMille> mPool;        // by budget key
  std::map<std::string, std::uint64_t> mDemand; // hundredths of a token per second
};

struct ShareDocument
{
  // Increases with each write, so that an older state of the document is recognised.
  std::uint64_t mWrites = 0;
  std::vector<ShareRecord> mRecords;

  static constexpr std::string_view kKey = "vanillaloft/shares";

  const ShareRecord* Find(const Incarnation& aHolder) const;
  PerMille PoolInUse(const std::string& aBudget) const;

  // Parses the JSON text. Throws an exception derived from std::exception if the text is
  // not a share document.
  static ShareDocument Parse(std::string_view aText);
  std::string Text() const;
};

// The pool share and the demand that a record holds for a budget; 0 if none.
PerMille PoolShareOf(const ShareRecord& aRecord, const std::string& aKey);
std::uint64_t DemandOf(const ShareRecord& aRecord, const std::string& aKey);

// The key of a budget in the document. It contains the name, because the indexes of
// budgets are valid for one configuration revision only.
std::string BudgetKey(const Budget& aBudget);

} // namespace vanillaloft::decide
