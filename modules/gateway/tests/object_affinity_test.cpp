#include "object_affinity.h"

#include "sycamore/base/random.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <vector>

namespace sycamore::gateway {

struct ObjectAffinityFixture
{
  // Replicas of two regions, half of them in the region of the gateway.
  static std::vector<ReplicaView> Views(size_t aCount)
  {
    std::vector<ReplicaView> views(aCount);
    for (size_t i = 0; i < aCount; ++i) {
      views[i].mSlots = 6;
      views[i].mIdHash = base::StableHash(fmt::format("i-{}", i));
      views[i].mSameRegion = i % 2 == 0;
      views[i].mRegion = i % 2 == 0 ? "near" : "far";
    }
    return views;
  }

  static size_t HomeOf(const std::string& aObject, std::vector<ReplicaView> aViews)
  {
    MarkHome(aObject, aViews);
    size_t home = aViews.size();
    for (size_t i = 0; i < aViews.size(); ++i) {
      if (!aViews[i].mAwayFromHome) {
        BOOST_TEST(home == aViews.size()); // Only one.
        home = i;
      }
    }
    return home;
  }
};

// Guards against objects that move between the replicas of a region, or that all have one home.
BOOST_FIXTURE_TEST_CASE(ObjectAffinityObjectsKeepTheirHomesWhenAReplicaLeaves,
                        ObjectAffinityFixture)
{
  const auto views = Views(20);
  auto fewer = views;
  fewer.pop_back();
  fewer.pop_back();
  std::vector<size_t> homes(views.size());
  for (int i = 0; i < 1000; ++i) {
    const std::string object = fmt::format("object-{}", i);
    const size_t home = HomeOf(object, views);
    BOOST_TEST_REQUIRE(home % 2 == 0U); // In the own region.
    ++homes[home];
    if (home < fewer.size()) {
      BOOST_TEST(HomeOf(object, fewer) == home);
    }
  }
  for (size_t i = 0; i < views.size(); i += 2) {
    BOOST_TEST(homes[i] > 50U);
    BOOST_TEST(homes[i] < 200U);
  }
}

// Guards against an overloaded home that keeps its objects: a call goes elsewhere before it queues.
BOOST_FIXTURE_TEST_CASE(ObjectAffinityOverloadedHomeLosesTheCall, ObjectAffinityFixture)
{
  auto views = Views(6);
  const size_t home = HomeOf("object", views);
  MarkHome("object", views);
  for (uint64_t tie = 0; tie < 20; ++tie) {
    BOOST_TEST(ChooseReplica(views, 0, tie)->mIndex == home);
  }
  views[home].mInFlight = 9;
  BOOST_TEST(ChooseReplica(views, 0, 1)->mIndex != home);
}

}
