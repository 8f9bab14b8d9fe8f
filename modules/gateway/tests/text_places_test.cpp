#include "text_places.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::gateway {

// Guards against a part of the stream that is skipped though it was not searched, or searched
// again, when several searches run side by side.
BOOST_AUTO_TEST_CASE(TextPlacesSearchedRangesAreJoinedAndSkipped)
{
  TextPlaces places;
  BOOST_TEST(places.NextUnsearched(0, 7) == 7U);
  places.AddSearched(0, 10, 20);
  places.AddSearched(0, 30, 40);
  BOOST_TEST(places.NextUnsearched(0, 9) == 9U);
  BOOST_TEST(places.NextUnsearched(0, 10) == 20U);
  BOOST_TEST(places.NextUnsearched(0, 20) == 20U);
  BOOST_TEST(places.NextUnsearched(0, 39) == 40U);
  BOOST_TEST(places.NextUnsearched(1, 10) == 10U);
  places.AddSearched(0, 20, 30);
  BOOST_TEST(places.NextUnsearched(0, 10) == 40U);
  places.AddSearched(0, 5, 50);
  BOOST_TEST(places.NextUnsearched(0, 5) == 50U);
  BOOST_TEST(places.NextUnsearched(0, 4) == 4U);
}

// Guards against a text that is read at an offset of another partition.
BOOST_AUTO_TEST_CASE(TextPlacesAreThoseOfTheirPartition)
{
  TextPlaces places;
  places.Add(2, "t1", 40);
  BOOST_TEST((places.Find(2, "t1") == std::optional<uint64_t>(40)));
  BOOST_TEST(!places.Find(1, "t1").has_value());
  BOOST_TEST(!places.Find(2, "t2").has_value());
}

// Guards against an index that grows with the stream, and against a search that skips texts whose
// places were dropped.
BOOST_AUTO_TEST_CASE(TextPlacesBeyondTheLimitAreForgottenWithTheirRanges)
{
  TextPlaces places;
  constexpr uint64_t kMany = 30000;
  for (uint64_t i = 0; i < kMany; ++i) {
    places.Add(0, "t" + std::to_string(i), i);
    places.AddSearched(0, i, i + 1);
  }
  BOOST_TEST(!places.Find(0, "t0").has_value());
  BOOST_TEST(places.NextUnsearched(0, 0) == 0U);
  BOOST_TEST((places.Find(0, "t29999") == std::optional<uint64_t>(kMany - 1)));
  BOOST_TEST(places.NextUnsearched(0, kMany - 1) == kMany);
}

}
