#include "call_slots.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

namespace sycamore::gateway {

// Guards against a service whose replicas do not answer and whose calls take the places of all
// other services, and against places that are not returned.
BOOST_AUTO_TEST_CASE(CallSlotsWithOneServiceFullAdmitOthers)
{
  CallSlots slots(8);
  std::vector<std::unique_ptr<CallSlots::Hold>> held;
  const auto take = [&](const char* aService) {
    held.push_back(std::make_unique<CallSlots::Hold>(slots, aService));
    return held.back()->Granted();
  };
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(take("hanging"));
  }
  BOOST_TEST(!take("hanging"));
  BOOST_TEST(take("other"));
  BOOST_TEST(take("third"));
  BOOST_TEST(!take("fourth"));
  held.clear();
  BOOST_TEST(take("hanging"));
}

// Guards against a process that crashes at its end: the calls in progress end after the slots.
BOOST_AUTO_TEST_CASE(CallSlotsHoldsMayEndAfterTheSlots)
{
  auto slots = std::make_unique<CallSlots>(8);
  auto hold = std::make_unique<CallSlots::Hold>(*slots, "service");
  slots.reset();
  BOOST_TEST(hold->Granted());
  hold.reset();
}

}
