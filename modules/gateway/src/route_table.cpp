#include "sycamore/gateway/route_table.h"

#include "sycamore/base/random.h"

#include <boost/algorithm/string/predicate.hpp>
#include <cassert>

namespace sycamore::gateway {

bool
MayRunAgain(const Route& aRoute)
{
  return aRoute.mKind == CallKind::Repeatable ||
         (aRoute.mKind == CallKind::Stream && aRoute.mResumable);
}

const Route*
FindRoute(const RouteTable& aTable, std::string_view aHost, std::string_view aPath)
{
  const std::string_view host = aHost.substr(0, aHost.find(':'));
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  const Route* best = nullptr;
  for (const Route& route : aTable.mRoutes) {
    // The path is compared first: a comparison that ignores case is far slower, and most routes of
    // a long table share their host.
    const bool matches =
      path.starts_with(route.mPathPrefix) && boost::algorithm::iequals(route.mHost, host);
    if (matches && (best == nullptr || route.mPathPrefix.size() > best->mPathPrefix.size())) {
      best = &route;
    }
  }
  return best;
}

const std::string&
ServiceFor(const Route& aRoute, std::string_view aKey)
{
  assert(!aRoute.mBackends.empty());
  uint64_t total = 0;
  for (const Backend& backend : aRoute.mBackends) {
    total += backend.mWeight;
  }
  uint64_t point = total == 0 ? 0 : base::StableHash(aKey) % total;
  for (const Backend& backend : aRoute.mBackends) {
    if (point < backend.mWeight) {
      return backend.mService;
    }
    point -= backend.mWeight;
  }
  return aRoute.mBackends.front().mService;
}

}
