#include "membership.h"

#include "async.h"
#include "sycamore/base/log.h"

#include <utility>
#include <vector>

namespace sycamore::gateway {

using base::Millis;

static constexpr Millis kCallTimeout{ 1000 };
static constexpr Millis kRetryDelay{ 500 };
// The first read waits until the other gateways are listed: instances of a deployment start within
// 0.3 s of each other.
static constexpr Millis kInitialReadDelay{ 1000 };
// Members change rarely. A new one is not an aggregator for others before they read the list.
static constexpr base::Seconds kReadInterval{ 12 };

static boost::asio::awaitable<void>
Announce(StorePaths& aStore, const Member& aOwn)
{
  const std::string value = EncodeMember(aOwn);
  for (;;) {
    const auto put = co_await aStore.Put(StreamName::Members, aOwn.mInstance, value, kCallTimeout);
    if (base::IsOk(put)) {
      co_return;
    }
    co_await SleepFor(kRetryDelay);
  }
}

static void
ApplyMembers(const StreamSnapshot& aSnapshot, StorePaths& aStore)
{
  std::vector<Member> members;
  for (const StreamRecord& record : aSnapshot.mRecords) {
    auto member = record.mValue ? DecodeMember(record.mKey, *record.mValue) : std::nullopt;
    if (member) {
      members.push_back(std::move(*member));
    }
  }
  aStore.SetMembers(members);
}

boost::asio::awaitable<bool>
ReadMembers(StorePaths& aStore)
{
  const auto members = co_await aStore.Newest(StreamName::Members, kCallTimeout);
  if (base::IsOk(members)) {
    ApplyMembers(base::ValueOf(members), aStore);
  }
  co_return base::IsOk(members);
}

boost::asio::awaitable<void>
KeepMembership(StorePaths& aStore, Member aOwn)
{
  co_await Announce(aStore, aOwn);
  co_await SleepFor(kInitialReadDelay);
  for (;;) {
    const bool read = co_await ReadMembers(aStore);
    co_await SleepFor(read ? Millis(kReadInterval) : kRetryDelay);
  }
}

}
