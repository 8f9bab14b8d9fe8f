#pragma once

#include "load.h"
#include "sycamore/testbed/cluster.h"

#include <functional>
#include <memory>

namespace sycamore::system {

// Timeout of waits that take far less time in a healthy system.
constexpr base::Seconds kTestTimeout{ 60 };

// Longest time that an accepted edit of the table may take to be in force in all processes.
constexpr base::Seconds kConfigLimit{ 7 };

// A cluster with one row in its table, and checks of the invariants of docs/design.md against it.
struct SystemFixture
{
  // Starts the cluster and adds the row of the account "authority".
  void Start(testbed::ClusterOptions aOptions);

  std::vector<http::Endpoint> EntryEndpoints() const;

  Caller MakeCaller() const { return Caller(EntryEndpoints()); }

  // Creates a program through any entry and returns its id.
  std::string CreateProgram(uint64_t aBudget = 100000);

  // Waits until aCondition holds; false after aLimit.
  static bool WaitUntil(const std::function<bool()>& aCondition,
                        base::Millis aLimit = kTestTimeout);

  // Makes a stand-in process inject one fault (docs/standin.md); returns whether it was accepted.
  static bool InjectFault(const http::Endpoint& aStandin, const boost::json::object& aFault);

  // Checks for all programs of aLoad: every entry in aEntries returns a history that contains each
  // answered call, in order and without turns of other programs; no non-idempotent call ran twice;
  // those reported as not run did not run, those answered ran once; no budget is exceeded.
  void CheckInvariants(const Load& aLoad, const std::vector<size_t>& aEntries);

  // How often the tool stand-ins ran the call with the key aKey.
  uint64_t RunsOf(const std::string& aProgram, const std::string& aKey) const;

  // Number of tokens of aProgram in the caches of all engines.
  uint64_t HeldTokens(const std::string& aProgram) const;

  // Ends a program through any entry; true if it is ended.
  bool EndProgram(const std::string& aProgram);

  // Index of the entry whose dump shows that it owns aProgram; empty if there is none.
  std::optional<size_t> OwnerOf(const std::string& aProgram) const;

  std::unique_ptr<testbed::Cluster> mCluster;
  testbed::ClusterOptions mOptions;

private:
  void CheckHistory(Caller& aCaller, size_t aEntry, const ProgramRecord& aRecord);
  void CheckKeys(const ProgramRecord& aRecord);
  void CheckBudget(Caller& aCaller, size_t aEntry, const ProgramRecord& aRecord);
};

}
