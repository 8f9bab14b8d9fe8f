#include "system_fixture.h"

#include "sycamore/testbed/wait.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace sycamore::system {

void
SystemFixture::Start(testbed::ClusterOptions aOptions)
{
  mOptions = std::move(aOptions);
  mCluster = std::make_unique<testbed::Cluster>(mOptions);
  BOOST_REQUIRE_MESSAGE(mCluster->Start(kTestTimeout), mCluster->Outputs());
  Caller caller = MakeCaller();
  const boost::json::object row{ { "base_version", 0 },
                                 { "weight", 1 },
                                 { "requests_per_s", 10000 },
                                 { "tokens_per_s", 10000000 },
                                 { "concurrency", 1000 } };
  const auto edited = caller.Complete("PUT", "/v1/table/rows/authority/*/*", row, kTestTimeout);
  BOOST_REQUIRE(edited && edited->Ok());
  for (size_t entry = 0; entry < mCluster->Entries(); ++entry) {
    BOOST_REQUIRE(WaitUntil([&] {
      const auto table = caller.Send(entry, "GET", "/v1/table");
      return table && table->Ok() && !table->mBody.at("rows").as_array().empty();
    }));
  }
}

std::vector<http::Endpoint>
SystemFixture::EntryEndpoints() const
{
  std::vector<http::Endpoint> endpoints;
  for (size_t entry = 0; entry < mCluster->Entries(); ++entry) {
    endpoints.push_back(mCluster->Entry(entry));
  }
  return endpoints;
}

std::string
SystemFixture::CreateProgram(uint64_t aBudget)
{
  Caller caller = MakeCaller();
  const auto created = caller.Complete("POST", "/v1/programs", ProgramBody(aBudget), kTestTimeout);
  BOOST_REQUIRE(created && created->Ok());
  return std::string(created->mBody.at("program").as_string());
}

bool
SystemFixture::WaitUntil(const std::function<bool()>& aCondition, base::Millis aLimit)
{
  return testbed::WaitUntil(aLimit, aCondition);
}

bool
SystemFixture::InjectFault(const http::Endpoint& aStandin, const boost::json::object& aFault)
{
  return testbed::Cluster::Control(aStandin, { { "faults", boost::json::array{ aFault } } });
}

void
SystemFixture::CheckInvariants(const Load& aLoad, const std::vector<size_t>& aEntries)
{
  for (const auto& fault : aLoad.Faults()) {
    BOOST_ERROR(fault);
  }
  Caller caller = MakeCaller();
  for (const auto& record : aLoad.Records()) {
    if (record.mProgram.empty()) {
      continue;
    }
    for (const size_t entry : aEntries) {
      CheckHistory(caller, entry, record);
    }
    CheckBudget(caller, aEntries.front(), record);
    CheckKeys(record);
  }
}

// Number of messages that the prompt of the turn at aIndex must have. The answer of the stand-in
// engine begins with the number that it received.
static size_t
PromptMessages(const boost::json::array& aTurns, size_t aIndex)
{
  size_t messages = 1;
  for (size_t i = 0; i < aIndex; ++i) {
    messages += aTurns[i].at("kind").as_string() == "model" ? 2 : 1;
  }
  return messages;
}

static void
CheckModelAnswer(const ProgramRecord& aRecord, const boost::json::array& aTurns, size_t aIndex)
{
  const std::string text(aTurns[aIndex].at("answer").at("content").as_string());
  const std::string expected = fmt::format("messages={} ", PromptMessages(aTurns, aIndex));
  BOOST_TEST(text.starts_with(expected),
             aRecord.mProgram << " turn " << aIndex << " was run with another history: " << text
                              << ", expected " << expected);
}

void
SystemFixture::CheckHistory(Caller& aCaller, size_t aEntry, const ProgramRecord& aRecord)
{
  std::optional<CallAnswer> history;
  const bool read = WaitUntil([&] {
    history = aCaller.Send(aEntry, "GET", "/v1/programs/" + aRecord.mProgram + "/history");
    return history && history->Ok();
  });
  BOOST_REQUIRE_MESSAGE(read, "no history of " + aRecord.mProgram);
  const auto& turns = history->mBody.at("turns").as_array();
  std::map<uint32_t, boost::json::value> committed;
  uint32_t last = 0;
  for (size_t i = 0; i < turns.size(); ++i) {
    const auto seq = turns[i].at("seq").to_number<uint32_t>();
    BOOST_TEST(seq > last);
    last = seq;
    committed[seq] = turns[i].at("answer");
    if (turns[i].at("kind").as_string() == "model") {
      CheckModelAnswer(aRecord, turns, i);
    }
  }
  for (const auto& [seq, answer] : aRecord.mAnswers) {
    BOOST_TEST((committed.contains(seq) && committed.at(seq) == answer),
               aRecord.mProgram << " seq " << seq << " was answered but is not in the history");
  }
}

void
SystemFixture::CheckKeys(const ProgramRecord& aRecord)
{
  for (const auto& [key, reported] : aRecord.mKeys) {
    const uint64_t runs = RunsOf(aRecord.mProgram, key);
    BOOST_TEST(runs <= 1U, aRecord.mProgram << " " << key << " ran " << runs << " times");
    if (reported == "not_run") {
      BOOST_TEST(runs == 0U, aRecord.mProgram << " " << key << " ran but was reported as not run");
    } else if (reported == "answered") {
      BOOST_TEST(runs == 1U, aRecord.mProgram << " " << key << " was answered but did not run");
    }
  }
}

void
SystemFixture::CheckBudget(Caller& aCaller, size_t aEntry, const ProgramRecord& aRecord)
{
  const auto shown = aCaller.Send(aEntry, "GET", "/v1/programs/" + aRecord.mProgram);
  BOOST_REQUIRE(shown && shown->Ok());
  const auto& budget = shown->mBody.at("budget");
  const auto spent = budget.at("spent").to_number<uint64_t>();
  const auto reserved = budget.at("reserved").to_number<uint64_t>();
  BOOST_TEST(spent + reserved <= budget.at("tokens").to_number<uint64_t>());
}

uint64_t
SystemFixture::RunsOf(const std::string& aProgram, const std::string& aKey) const
{
  const std::string name = fmt::format("{}/{}", aProgram, aKey);
  uint64_t runs = 0;
  for (size_t i = mOptions.mEngineSidecars; i < mCluster->Sidecars(); ++i) {
    for (size_t target = 0; target < mOptions.mTargetsPerSidecar; ++target) {
      const auto stats = testbed::Cluster::Stats(mCluster->Target(i, target));
      const auto& keys = stats.at("keys").as_object();
      if (const auto* count = keys.if_contains(name)) {
        runs += count->to_number<uint64_t>();
      }
    }
  }
  return runs;
}

uint64_t
SystemFixture::HeldTokens(const std::string& aProgram) const
{
  uint64_t tokens = 0;
  for (size_t i = 0; i < mOptions.mEngineSidecars; ++i) {
    for (size_t target = 0; target < mOptions.mTargetsPerSidecar; ++target) {
      const auto cache = testbed::Cluster::Read(mCluster->Target(i, target), "/v1/cache");
      for (const auto& row : cache.at("programs").as_array()) {
        if (row.at("program").as_string() == aProgram) {
          tokens += row.at("tokens").to_number<uint64_t>();
        }
      }
    }
  }
  return tokens;
}

bool
SystemFixture::EndProgram(const std::string& aProgram)
{
  Caller caller = MakeCaller();
  const auto ended = caller.Complete("POST", "/v1/programs/" + aProgram + "/end", {}, kTestTimeout);
  return ended && (ended->Ok() || ended->Code() == "program_ended");
}

std::optional<size_t>
SystemFixture::OwnerOf(const std::string& aProgram) const
{
  const auto partition = std::stoul(aProgram);
  for (size_t entry = 0; entry < mCluster->Entries(); ++entry) {
    const auto dump = testbed::Cluster::Read(mCluster->Entry(entry), "/dump");
    if (const auto* partitions = dump.if_contains("partitions")) {
      if (partitions->at(partition).at("phase").as_string() == "owned") {
        return entry;
      }
    }
  }
  return std::nullopt;
}

}
