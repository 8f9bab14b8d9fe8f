#pragma once

#include "call.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sycamore::entry {

// The calls in progress, by program and sequence number.
class CallRegistry
{
public:
  Call& Add(std::unique_ptr<Call> aCall);

  // Null if there is none.
  Call* Find(const base::ProgramId& aProgram, uint32_t aSeq);
  Call* FindKey(const base::ProgramId& aProgram, const std::string& aKey);

  void Remove(const base::ProgramId& aProgram, uint32_t aSeq);

  // Calls aFunction for each call; it may remove calls.
  void ForEach(const std::function<void(Call&)>& aFunction);
  void ForEachOf(const base::ProgramId& aProgram, const std::function<void(Call&)>& aFunction);

  void ForEachConst(const std::function<void(const Call&)>& aFunction) const;

  size_t Size() const { return mCalls.size(); }

  // Whether a call of aPartition is in progress. Calls that were answered with an unknown outcome
  // and wait for a definite one do not count.
  bool AnyInFlight(uint32_t aPartition) const;
  bool AnyInFlight(const base::ProgramId& aProgram) const;

private:
  using Key = std::pair<base::ProgramId, uint32_t>;

  std::map<Key, std::unique_ptr<Call>> mCalls;
};

}
