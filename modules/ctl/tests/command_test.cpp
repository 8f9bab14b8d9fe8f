#include "command_fixture.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>

namespace sycamore::ctl {

// Guards against a command without help, or with a flag that does not exist.
BOOST_FIXTURE_TEST_CASE(CommandHelpDescribesEveryFlag, CommandFixture)
{
  for (const Command& command : AllCommands()) {
    for (const std::string_view flag : command.mFlags) {
      gflags::CommandLineFlagInfo info;
      BOOST_TEST(gflags::GetCommandLineFlagInfo(std::string(flag).c_str(), &info), flag);
    }
  }
  BOOST_TEST((Run({ "table", "set", "--help" }) == ExitCode::Ok));
  BOOST_TEST(Contains(mOut, "--base_version"));
  BOOST_TEST(Contains(mOut, "Exit codes"));
}

// Guards against invalid arguments that are silently ignored.
BOOST_FIXTURE_TEST_CASE(CommandWithFaultyArgumentsIsUsageError, CommandFixture)
{
  BOOST_TEST((Run({}) == ExitCode::Usage));
  BOOST_TEST((Run({ "program" }) == ExitCode::Usage));
  BOOST_TEST((Run({ "program", "show" }) == ExitCode::Usage));
  BOOST_TEST((Run({ "program", "show", "1-2-3", "4" }) == ExitCode::Usage));
  BOOST_TEST((Run({ "program", "create" }) == ExitCode::Usage));
  BOOST_TEST((Run({ "program", "show", "1-2-3", "--colour=red" }) == ExitCode::Usage));
  BOOST_TEST(Contains(mErr, "unknown flag --colour"));
  BOOST_TEST((Run({ "program", "show", "1-2-3", "--weight=2" }) == ExitCode::Usage));
  BOOST_TEST(Contains(mErr, "--weight has no meaning"));
}

// Guards against an unreachable entry that is reported as a refusal.
BOOST_FIXTURE_TEST_CASE(CommandWithoutReachableEntryReportsIt, CommandFixture)
{
  BOOST_TEST((Run({ "dump", "--entry=127.0.0.1:9" }) == ExitCode::Unreachable));
  BOOST_TEST(Contains(mErr, "check --entry"));
  BOOST_TEST((Run({ "dump", "--entry=nowhere" }) == ExitCode::Usage));
}

// Guards against an exit code that does not tell scripts whether the call may have been run.
BOOST_FIXTURE_TEST_CASE(CommandExitCodeTellsWhetherCallMayHaveRun, CommandFixture)
{
  const std::vector<std::string> call = { "call",          "tool",          "1-2-3",  "--seq=4",
                                          "--service=tag", "--tool=notice", "--key=k" };
  const auto runAgainst = [&](int aStatus, const std::string& aRun) {
    ScriptedEntry entry(Always(aStatus, R"({"error":{"code":"c","run":")" + aRun + "\"}}"));
    auto words = call;
    words.push_back(EntryFlag(entry));
    return Run(words);
  };
  BOOST_TEST((runAgainst(409, "not_run") == ExitCode::Refused));
  BOOST_TEST((runAgainst(502, "unknown") == ExitCode::OutcomeUnknown));
  BOOST_TEST((runAgainst(503, "uncommitted") == ExitCode::OutcomeUnknown));
}

// Guards against a call that reuses the seq of another one, and against an incomplete body.
BOOST_FIXTURE_TEST_CASE(CallWithoutSeqTakesNextOne, CommandFixture)
{
  ScriptedEntry entry([](http::Server& aServer, const http::Request& aRequest, int aCount) {
    aServer.Send(CompletePart(aRequest, 200, aCount == 1 ? R"({"next_seq":5})" : "{}"));
  });
  BOOST_TEST((Run({ "call", "model", "1-2-3", "--service=m", "--message=hi", EntryFlag(entry) }) ==
              ExitCode::Ok));
  const auto requests = entry.Requests();
  BOOST_TEST_REQUIRE(requests.size() == 2U);
  BOOST_TEST(requests[1].mPath == "/v1/programs/1-2-3/calls");
  BOOST_TEST(Contains(requests[1].mBody, R"("seq":5)"));
  BOOST_TEST(Contains(requests[1].mBody, R"("messages":[{"role":"user","content":"hi"}])"));
}

// Guards against provisional text of a replaced owner that is not marked as discarded.
BOOST_FIXTURE_TEST_CASE(CallStreamedPrintsTokensAndReset, CommandFixture)
{
  ScriptedEntry entry([](http::Server& aServer, const http::Request& aRequest, int) {
    http::ResponsePart part = CompletePart(aRequest,
                                           200,
                                           "id: 1.0\nevent: token\ndata: {\"text\":\"a\"}\n\n"
                                           "event: reset\ndata: {}\n\n"
                                           "id: 2.0\nevent: token\ndata: {\"text\":\"bc\"}\n\n"
                                           "id: 2.1\nevent: done\ndata: {\"seq\":1}\n\n");
    part.mContentType = "text/event-stream";
    aServer.Send(std::move(part));
  });
  BOOST_TEST((Run({ "watch", "1-2-3", "1", EntryFlag(entry) }) == ExitCode::Ok));
  BOOST_TEST(mOut == "abc\n");
  BOOST_TEST(Contains(mErr, "starts again"));
  BOOST_TEST(Contains(mErr, R"({"seq":1})"));
}

// Guards against an edit without a base version, which could overwrite that of another operator.
BOOST_FIXTURE_TEST_CASE(TableSetWithoutBaseVersionIsUsageError, CommandFixture)
{
  BOOST_TEST((Run({ "table",
                    "set",
                    "a",
                    "*",
                    "*",
                    "--requests_per_s=1",
                    "--tokens_per_s=1",
                    "--concurrency=1" }) == ExitCode::Usage));
  BOOST_TEST(Contains(mErr, "--base_version"));
}

// Guards against a row that admits no request because an omitted limit was taken as 0.
BOOST_FIXTURE_TEST_CASE(TableSetWithoutLimitIsUsageError, CommandFixture)
{
  BOOST_TEST((Run({ "table", "set", "a", "*", "*", "--base_version=0", "--concurrency=1" }) ==
              ExitCode::Usage));
  BOOST_TEST(Contains(mErr, "--requests_per_s"));
}

// Guards against a conflict report that lacks the current row, which the operator needs to decide.
BOOST_FIXTURE_TEST_CASE(TableSetWithConflictPrintsCurrentRow, CommandFixture)
{
  ScriptedEntry entry([](http::Server& aServer, const http::Request& aRequest, int) {
    const bool list = aRequest.mMethod == "GET";
    aServer.Send(CompletePart(
      aRequest,
      list ? 200 : 409,
      list ? R"({"version":9,"rows":[{"account":"a","region":"*","model":"m/1","version":8,
                 "weight":2.5,"requests_per_s":1,"tokens_per_s":1,"concurrency":77},
                 {"account":"b","region":"*","model":"m/1","version":9,"concurrency":66}]})"
           : R"({"error":{"code":"edit_conflict","message":"m"}})"));
  });
  BOOST_TEST((Run({ "table",
                    "set",
                    "a",
                    "*",
                    "m/1",
                    "--base_version=7",
                    "--requests_per_s=1",
                    "--tokens_per_s=1",
                    "--concurrency=1",
                    EntryFlag(entry) }) == ExitCode::Conflict));
  BOOST_TEST(entry.Requests()[0].mPath == "/v1/table/rows/a/*/m%2F1");
  BOOST_TEST(Contains(mErr, "77"));
  BOOST_TEST(Contains(mErr, "2.5"));
  BOOST_TEST(!Contains(mErr, "66"));
}

// Guards against faults that are omitted or printed without their path.
BOOST_FIXTURE_TEST_CASE(SettingsCheckPrintsEachFaultWithItsPath, CommandFixture)
{
  const std::string path = "ctl_settings_check_test.json";
  std::ofstream(path) << R"({"role":"entry","instance":"e","region":"r","domain":"d",
    "http":"127.0.0.1:1","peer":"127.0.0.1:2","log":"x","partitions":0})";
  BOOST_TEST((Run({ "settings", "check", path }) == ExitCode::Usage));
  BOOST_TEST(Contains(mErr, path + ": /log must be"));
  BOOST_TEST(Contains(mErr, path + ": /partitions must be"));
  BOOST_TEST(Contains(mErr, path + ": /instance_list is missing"));
  std::remove(path.c_str());
  BOOST_TEST((Run({ "settings", "check", path }) == ExitCode::Usage));
  BOOST_TEST(Contains(mErr, "cannot be read"));
}

}
