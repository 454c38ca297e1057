#include "decide/config.h"

#include <algorithm>

#include <openssl/sha.h>

namespace vanillaloft::decide {

namespace {

// Index of the entry of that name, or none.
template<typename Id, typename Table>
Id FindByName(const Table& aTable, std::string_view aName)
{
  auto found = std::ranges::find_if(
    aTable, [&](const auto& aEntry) { return aEntry.mName == aName; });
  return found == aTable.end() ? Id()
                               : Id(static_cast<std::size_t>(found - aTable.begin()));
}

} // namespace

DataCentreId Config::FindDataCentre(std::string_view aName) const
{
  return FindByName<DataCentreId>(mDataCentres, aName);
}

ServiceId Config::FindService(std::string_view aName) const
{
  return FindByName<ServiceId>(mServices, aName);
}

OrganisationId Config::FindOrganisation(std::string_view aName) const
{
  return FindByName<OrganisationId>(mOrganisations, aName);
}

RegionId Config::FindRegion(std::string_view aName) const
{
  return FindByName<RegionId>(mRegions, aName);
}

RouteId Config::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  auto found = std::ranges::find_if(mRoutes, [&](const Route& aRoute) {
    return (aRoute.mHost.empty() || aRoute.mHost == aHost) &&
           aPath.starts_with(aRoute.mPath);
  });
  return found == mRoutes.end()
           ? RouteId()
           : RouteId(static_cast<std::size_t>(found - mRoutes.begin()));
}

OrganisationId Config::FindKey(const KeyDigest& aDigest) const
{
  auto found = std::ranges::lower_bound(mKeys, aDigest, {}, &KeyEntry::mDigest);
  bool known = found != mKeys.end() && found->mDigest == aDigest;
  return known ? found->mOrganisation : OrganisationId();
}

KeyDigest DigestKey(std::string_view aKey)
{
  KeyDigest digest;
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()), aKey.size(), digest.data());
  return digest;
}

std::string Hex(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (char byte : aBytes) {
    auto value = static_cast<unsigned char>(byte);
    text += kDigits[value >> 4];
    text += kDigits[value & 0xf];
  }
  return text;
}

std::string DigestText(std::string_view aText)
{
  KeyDigest digest = DigestKey(aText);
  return Hex({ reinterpret_cast<const char*>(digest.data()), digest.size() });
}

} // namespace vanillaloft::decide
