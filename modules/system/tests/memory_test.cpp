#include "system_fixture.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::system {

// Retention and release of the memory that engines hold for programs.
struct MemoryFixture : SystemFixture
{
  static testbed::ClusterOptions Options()
  {
    testbed::ClusterOptions options;
    options.mEntries = 2;
    options.mEngineSidecars = 2;
    options.mToolSidecars = 1;
    options.mEntrySettings = { { "hold_lease_ms", 6000 }, { "hold_interval_ms", 2000 } };
    options.mSidecarSettings = options.mEntrySettings;
    options.mRelays = true;
    return options;
  }

  // Creates a program with one model turn, whose prefix an engine holds in its cache.
  std::string ProgramWithMemory()
  {
    std::string program = CreateProgram();
    Caller caller = MakeCaller();
    const auto answer =
      caller.Complete("POST", CallsPath(program), ModelBody(1, "remember this", 16), kTestTimeout);
    BOOST_REQUIRE((answer && answer->Ok()));
    BOOST_REQUIRE(WaitUntil([&] { return HeldTokens(program) > 0; }));
    return program;
  }
};

// Guards against engine memory that is still held after its program has ended.
BOOST_FIXTURE_TEST_CASE(MemoryOfEndedProgramIsReleased, MemoryFixture)
{
  Start(Options());
  const std::string program = ProgramWithMemory();
  BOOST_REQUIRE(EndProgram(program));
  BOOST_TEST(WaitUntil([&] { return HeldTokens(program) == 0; }));
}

// Guards against a prefix that is released while its program is alive and its owner renews it.
BOOST_FIXTURE_TEST_CASE(MemoryOfLiveProgramOutlivesItsLease, MemoryFixture)
{
  Start(Options());
  const std::string program = ProgramWithMemory();
  BOOST_TEST(!WaitUntil([&] { return HeldTokens(program) == 0; }, base::Seconds(14)));
}

// Guards against a release that is lost because the sidecar of the engine was unreachable when the
// program ended.
BOOST_FIXTURE_TEST_CASE(MemoryOfProgramEndedWhileSidecarsAreUnreachableIsReleasedAfterwards,
                        MemoryFixture)
{
  Start(Options());
  const std::string program = ProgramWithMemory();
  for (size_t sidecar = 0; sidecar < 2; ++sidecar) {
    BOOST_REQUIRE(mCluster->ControlSidecarRelay(sidecar, { { "mode", "refuse" } }));
  }
  BOOST_REQUIRE(EndProgram(program));
  for (size_t sidecar = 0; sidecar < 2; ++sidecar) {
    BOOST_REQUIRE(mCluster->ControlSidecarRelay(sidecar, { { "mode", "forward" } }));
  }
  BOOST_TEST(WaitUntil([&] { return HeldTokens(program) == 0; }));
}

// Guards against memory that is never released because the sidecar of the engine and the owner of
// the program were both replaced and lost their state.
BOOST_FIXTURE_TEST_CASE(MemoryOfProgramEndedWhileSidecarIsReplacedIsReleased, MemoryFixture)
{
  Start(Options());
  const std::string program = ProgramWithMemory();
  mCluster->SidecarProcess(0).Kill();
  mCluster->SidecarProcess(1).Kill();
  BOOST_REQUIRE(EndProgram(program));
  mCluster->EntryProcess(0).Kill();
  mCluster->EntryProcess(1).Kill();
  for (size_t i = 0; i < 2; ++i) {
    mCluster->StartEntry(i);
    mCluster->StartSidecar(i);
  }
  BOOST_TEST(HeldTokens(program) > 0U);
  BOOST_TEST(WaitUntil([&] { return HeldTokens(program) == 0; }));
}

}
