#pragma once

#include <functional>
#include <utility>
#include <vector>

namespace sycamore::ledger {

// Reverts the changes of a batch that turns out invalid. Copying the state before each batch would
// cost time in proportion to all programs of the partition.
class UndoLog
{
public:
  // Assigns aValue to aField, which must outlive this object.
  template<typename T>
  void Set(T& aField, T aValue)
  {
    mSteps.push_back([field = &aField, old = aField] { *field = old; });
    aField = std::move(aValue);
  }

  // Adds the reversal of a change that the caller has made.
  void Add(std::function<void()> aStep) { mSteps.push_back(std::move(aStep)); }

  // Reverts all changes, last first.
  void Revert()
  {
    while (!mSteps.empty()) {
      mSteps.back()();
      mSteps.pop_back();
    }
  }

private:
  std::vector<std::function<void()>> mSteps;
};

}
