#include "entry/resolver.h"

#include "decide/hash.h"
#include "decide/route.h"

namespace vanillaloft::entry {

decide::OrganisationId Resolver::Identify(const std::string& aKey) const
{
  if (!mCore.IsReady()) {
    throw ResolveError(Result::NotReady);
  }
  decide::OrganisationId organisation = mCore.Config()->FindKey(decide::DigestKey(aKey));
  if (organisation.IsNone()) {
    throw ResolveError(Result::KeyUnknown);
  }
  bool refusesUnconfirmed =
    mCore.Config()->mOrganisations[organisation.Value()].mIsolatedKeys ==
    decide::IsolatedKeys::Refuse;
  if (refusesUnconfirmed && mCore.KeysUnconfirmed()) {
    throw ResolveError(Result::KeysUnconfirmed);
  }
  return organisation;
}

void Resolver::Resolve(Exchange& aExchange) const
{
  if (!mCore.IsReady()) {
    throw ResolveError(Result::NotReady);
  }
  aExchange.UseConfig(mCore.Config());
  std::string_view path =
    std::string_view(aExchange.mTarget).substr(0, aExchange.mTarget.find('?'));
  aExchange.mRoute = aExchange.mConfig->FindRoute(aExchange.mHost, path);
  if (aExchange.mRoute.IsNone()) {
    throw ResolveError(Result::UnknownRoute);
  }
  const decide::Route& route = aExchange.MatchedRoute();
  aExchange.mService = decide::SelectService(route, decide::HashOf(aExchange.mRequestId));
  bool reads = aExchange.mMethod == "GET" || aExchange.mMethod == "HEAD";
  bool writes = aExchange.mMethod == "POST" || aExchange.mMethod == "PUT";
  bool methodAllowed = route.mKind == decide::RouteKind::Order
                         ? writes
                         : reads || aExchange.mMethod == "POST";
  if (!methodAllowed && !route.mAnyMethod) {
    throw ResolveError(Result::MethodNotAllowed);
  }
  Authenticate(aExchange);
}

void Resolver::ResolveIfStale(Exchange& aExchange) const
{
  if (aExchange.mConfig != mCore.Config()) {
    Resolve(aExchange);
  }
}

void Resolver::Authenticate(Exchange& aExchange) const
{
  if (!aExchange.MatchedRoute().NeedsKey()) {
    return;
  }
  if (!aExchange.mOrganisationName.empty()) {
    aExchange.mOrganisation =
      aExchange.mConfig->FindOrganisation(aExchange.mOrganisationName);
    if (aExchange.mOrganisation.IsNone()) {
      throw ResolveError(Result::KeyUnknown);
    }
  } else if (!aExchange.mHasKey) {
    throw ResolveError(Result::KeyMissing);
  } else {
    aExchange.mOrganisation = Identify(aExchange.mKey);
  }
}

} // namespace vanillaloft::entry
