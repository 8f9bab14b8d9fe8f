#include "sycamore/testbed/engine_orders.h"

#include "sycamore/testbed/json.h"

#include <string_view>

namespace sycamore::testbed {

namespace json = boost::json;

static constexpr size_t kMaxApplied = 1000;

static constexpr std::string_view kLoaded[] = { "model", "adapter", "model_version" };

EngineOrders::EngineOrders(bool aChecksFence)
  : mChecksFence(aChecksFence)
  , mState{ { "version", uint64_t{ 0 } },
            { "model", "" },
            { "adapter", "" },
            { "model_version", "" },
            { "role", "" } }
{
}

bool
EngineOrders::Rejects(uint64_t aVersion) const
{
  return mChecksFence && aVersion < UintField(mState, "version");
}

bool
EngineOrders::Apply(const json::object& aOrder)
{
  bool loads = false;
  for (const std::string_view key : kLoaded) {
    const std::string value = TextField(aOrder, key);
    loads = loads || value != TextField(mState, key);
    mState[key] = value;
  }
  mState["role"] = TextField(aOrder, "role");
  mState["version"] = UintField(aOrder, "version");
  if (mApplied.size() == kMaxApplied) {
    mApplied.erase(mApplied.begin());
  }
  mApplied.push_back(UintField(aOrder, "version"));
  return loads;
}

}
