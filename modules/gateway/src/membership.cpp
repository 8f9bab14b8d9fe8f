#include "membership.h"

#include "async.h"
#include "sycamore/base/log.h"

#include <map>
#include <utility>

namespace sycamore::gateway {

using base::Millis;

static constexpr Millis kCallTimeout{ 1000 };
static constexpr Millis kRetryDelay{ 500 };
// The first read waits until the other gateways are listed: instances of a deployment start within
// 0.3 s of each other.
static constexpr Millis kInitialReadDelay{ 1000 };
// Members change rarely, and the list is only needed while this instance cannot reach the store
// directly.
static constexpr base::Seconds kReadInterval{ 12 };

static boost::asio::awaitable<void>
Announce(StorePaths& aStore, const std::string& aInstance, const http::Endpoint& aPeer)
{
  const std::string address = ToString(aPeer);
  for (;;) {
    const auto put = co_await aStore.Put(StreamName::Members, aInstance, address, kCallTimeout);
    if (base::IsOk(put)) {
      co_return;
    }
    co_await SleepFor(kRetryDelay);
  }
}

static void
ApplyMembers(const StreamSnapshot& aSnapshot, const std::string& aOwn, StorePaths& aStore)
{
  std::map<std::string, http::Endpoint> peers;
  for (const StreamRecord& record : aSnapshot.mRecords) {
    const auto endpoint = record.mValue ? http::ParseEndpoint(*record.mValue)
                                        : base::Result<http::Endpoint>(base::Error{});
    if (record.mKey != aOwn && base::IsOk(endpoint)) {
      peers.emplace(record.mKey, base::ValueOf(endpoint));
    }
  }
  aStore.SetPeers(peers);
}

boost::asio::awaitable<void>
KeepMembership(StorePaths& aStore, std::string aInstance, http::Endpoint aPeer)
{
  co_await Announce(aStore, aInstance, aPeer);
  co_await SleepFor(kInitialReadDelay);
  for (;;) {
    const auto members = co_await aStore.Newest(StreamName::Members, kCallTimeout);
    if (base::IsOk(members)) {
      ApplyMembers(base::ValueOf(members), aInstance, aStore);
    }
    co_await SleepFor(base::IsOk(members) ? Millis(kReadInterval) : kRetryDelay);
  }
}

}
