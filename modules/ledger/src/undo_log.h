#pragma once

#include <functional>
#include <utility>
#include <vector>

namespace sycamore::ledger {

// Reverts the changes of a batch that proves invalid. Copying the state before each batch instead
// would take time proportional to the number of programs in the partition.
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

  // Adds a step that reverts a change made by the caller.
  void Add(std::function<void()> aStep) { mSteps.push_back(std::move(aStep)); }

  // Reverts all changes in reverse order.
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
