#include "call_registry.h"

#include <cassert>
#include <utility>
#include <vector>

namespace sycamore::entry {

Call&
CallRegistry::Add(std::unique_ptr<Call> aCall)
{
  const Key key{ aCall->mProgram, aCall->mRequest.mSeq };
  const auto [found, added] = mCalls.emplace(key, std::move(aCall));
  assert(added);
  return *found->second;
}

Call*
CallRegistry::Find(const base::ProgramId& aProgram, uint32_t aSeq)
{
  const auto found = mCalls.find({ aProgram, aSeq });
  return found == mCalls.end() ? nullptr : found->second.get();
}

Call*
CallRegistry::FindKey(const base::ProgramId& aProgram, const std::string& aKey)
{
  Call* match = nullptr;
  ForEachOf(aProgram, [&](Call& aCall) {
    if (aCall.mRequest.mKey == aKey) {
      match = &aCall;
    }
  });
  return match;
}

void
CallRegistry::Remove(const base::ProgramId& aProgram, uint32_t aSeq)
{
  mCalls.erase({ aProgram, aSeq });
}

void
CallRegistry::ForEach(const std::function<void(Call&)>& aFunction)
{
  std::vector<Key> keys;
  keys.reserve(mCalls.size());
  for (const auto& [key, call] : mCalls) {
    keys.push_back(key);
  }
  for (const Key& key : keys) {
    if (Call* call = Find(key.first, key.second)) {
      aFunction(*call);
    }
  }
}

void
CallRegistry::ForEachConst(const std::function<void(const Call&)>& aFunction) const
{
  for (const auto& [key, call] : mCalls) {
    aFunction(*call);
  }
}

void
CallRegistry::ForEachOf(const base::ProgramId& aProgram,
                        const std::function<void(Call&)>& aFunction)
{
  std::vector<uint32_t> seqs;
  for (auto it = mCalls.lower_bound({ aProgram, 0 });
       it != mCalls.end() && it->first.first == aProgram;
       ++it) {
    seqs.push_back(it->first.second);
  }
  for (const uint32_t seq : seqs) {
    if (Call* call = Find(aProgram, seq)) {
      aFunction(*call);
    }
  }
}

// A call whose outcome was recorded as Unknown has been answered; it stays only in case a definite
// outcome arrives. A call found in the log that has no waiting caller can be sealed by the next
// owner as well.
static bool
IsInFlight(const Call& aCall)
{
  if (aCall.mStateMachine.Phase() == CallPhase::Sealing && aCall.mWaiters.empty()) {
    return false;
  }
  return aCall.mOutcome != wire::LogOutcomeKind::Unknown ||
         aCall.mStateMachine.Phase() == CallPhase::Committing;
}

bool
CallRegistry::AnyInFlight(uint32_t aPartition) const
{
  auto it = mCalls.lower_bound({ base::ProgramId{ aPartition, 0, 0 }, 0 });
  for (; it != mCalls.end() && it->first.first.mPartition == aPartition; ++it) {
    if (IsInFlight(*it->second)) {
      return true;
    }
  }
  return false;
}

bool
CallRegistry::AnyInFlight(const base::ProgramId& aProgram) const
{
  auto it = mCalls.lower_bound({ aProgram, 0 });
  for (; it != mCalls.end() && it->first.first == aProgram; ++it) {
    if (IsInFlight(*it->second)) {
      return true;
    }
  }
  return false;
}

}
