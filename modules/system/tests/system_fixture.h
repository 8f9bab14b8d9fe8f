#pragma once

#include "load.h"
#include "sycamore/testbed/cluster.h"

#include <functional>
#include <memory>

namespace sycamore::system {

// Limit of waits that a healthy system ends much earlier.
constexpr base::Seconds kPatience{ 60 };

// The brief's limit for an accepted configuration to be in force everywhere.
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
  static bool WaitUntil(const std::function<bool()>& aCondition, base::Millis aLimit = kPatience);

  // Adds one fault to a stand-in (docs/standin.md); returns whether it was accepted.
  static bool InjectFault(const http::Endpoint& aStandin, const boost::json::object& aFault);

  // Checks for all programs of aLoad: each answered call is in the history that every entry in
  // aEntries returns, in order and unmixed; no non-idempotent call ran twice; those reported as not
  // run did not run, those answered ran once; budgets are kept.
  void CheckInvariants(const Load& aLoad, const std::vector<size_t>& aEntries);

  // How often the tool stand-ins ran a key.
  uint64_t RunsOf(const std::string& aProgram, const std::string& aKey) const;

  // Tokens of aProgram that engines hold.
  uint64_t HeldTokens(const std::string& aProgram) const;

  // Ends a program through any entry; true if it is ended.
  bool EndProgram(const std::string& aProgram);

  // Index of the entry that owns aProgram, by the entries' dumps; empty if none does.
  std::optional<size_t> OwnerOf(const std::string& aProgram) const;

  std::unique_ptr<testbed::Cluster> mCluster;
  testbed::ClusterOptions mOptions;

private:
  void CheckHistory(Caller& aCaller, size_t aEntry, const ProgramRecord& aRecord);
  void CheckKeys(const ProgramRecord& aRecord);
  void CheckBudget(Caller& aCaller, size_t aEntry, const ProgramRecord& aRecord);
};

}
