#include "decide/share_document.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace vanillaloft::decide {

using nlohmann::json;

PerMille PoolShareOf(const ShareRecord& aRecord, const std::string& aKey)
{
  auto found = aRecord.mPool.find(aKey);
  return found == aRecord.mPool.end() ? 0 : found->second;
}

std::uint64_t DemandOf(const ShareRecord& aRecord, const std::string& aKey)
{
  auto found = aRecord.mDemand.find(aKey);
  return found == aRecord.mDemand.end() ? 0 : found->second;
}

std::string BudgetKey(const Budget& aBudget)
{
  constexpr std::array<const char*, 3> kKinds = { "organisation:", "link:", "spill:" };
  return kKinds.at(static_cast<std::size_t>(aBudget.mKind)) + aBudget.mName;
}

const ShareRecord* ShareDocument::Find(const Incarnation& aHolder) const
{
  auto found = std::ranges::find(mRecords, aHolder, &ShareRecord::mHolder);
  return found == mRecords.end() ? nullptr : &*found;
}

PerMille ShareDocument::PoolInUse(const std::string& aBudget) const
{
  PerMille sum = 0;
  for (const ShareRecord& record : mRecords) {
    sum += PoolShareOf(record, aBudget);
  }
  return sum;
}

ShareDocument ShareDocument::Parse(std::string_view aText)
{
  ShareDocument document;
  json value = json::parse(aText);
  document.mWrites = value.at("writes").get<std::uint64_t>();
  for (const json& entry : value.at("records")) {
    ShareRecord record;
    record.mDataCentre = entry.at("data_centre").get<std::string>();
    record.mHolder.mAddress = entry.at("address").get<std::string>();
    record.mHolder.mStartId = entry.at("start").get<std::uint64_t>();
    record.mSequence = entry.at("sequence").get<std::uint64_t>();
    record.mFloor = entry.at("floor").get<bool>();
    record.mPool = entry.at("pool").get<std::map<std::string, PerMille>>();
    record.mDemand = entry.at("demand").get<std::map<std::string, std::uint64_t>>();
    document.mRecords.push_back(std::move(record));
  }
  return document;
}

std::string ShareDocument::Text() const
{
  json records = json::array();
  for (const ShareRecord& record : mRecords) {
    records.push_back({ { "data_centre", record.mDataCentre },
                        { "address", record.mHolder.mAddress },
                        { "start", record.mHolder.mStartId },
                        { "sequence", record.mSequence },
                        { "floor", record.mFloor },
                        { "pool", record.mPool },
                        { "demand", record.mDemand } });
  }
  return json{ { "writes", mWrites }, { "records", records } }.dump();
}

} // namespace vanillaloft::decide
