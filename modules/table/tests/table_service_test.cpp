#include "fake_stream.h"

#include "sycamore/base/ring.h"
#include "sycamore/table/table_service.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace sycamore::table {

using base::Millis;
using base::Seconds;

// A log shared by several clients, with faults that can be switched on.
struct FakeLog
{
  std::mutex mMutex;
  FakeStream mStream;
  std::atomic<bool> mDown = false;
  std::atomic<bool> mDownAfterAppend = false;
  std::atomic<int> mLostAnswers = 0; // Next appends that take effect without an answer.
  std::atomic<int> mLostAppends = 0; // Next appends that do not take effect, without an answer.
  std::atomic<int> mLateCopies = 0;  // Next appends that take effect twice.
};

class FakeLogClient : public platform::LogClient
{
public:
  explicit FakeLogClient(std::shared_ptr<FakeLog> aLog)
    : mLog(std::move(aLog))
  {
  }

  base::Result<uint64_t> Append(const std::string& aStream, std::string_view aData) override
  {
    if (mLog->mDown || aStream != "config") {
      return base::Error{ base::ErrorKind::LogUnavailable, "down", "" };
    }
    mLog->mDown = mLog->mDownAfterAppend.load();
    const base::Error lost{ base::ErrorKind::Uncommitted, "answer lost", "" };
    if (mLog->mLostAppends > 0) {
      --mLog->mLostAppends;
      return lost;
    }
    const std::lock_guard<std::mutex> lock(mLog->mMutex);
    const uint64_t offset = mLog->mStream.Append(std::string(aData));
    if (mLog->mLateCopies > 0) {
      --mLog->mLateCopies;
      mLog->mStream.Append(std::string(aData));
    }
    if (mLog->mLostAnswers > 0) {
      --mLog->mLostAnswers;
      return lost;
    }
    return offset;
  }

  base::Result<platform::LogPage> Read(const std::string& /*aStream*/,
                                       uint64_t aFrom,
                                       size_t aMaxRecords,
                                       size_t /*aMaxBytes*/) override
  {
    if (mLog->mDown) {
      return base::Error{ base::ErrorKind::LogUnavailable, "down", "" };
    }
    const std::lock_guard<std::mutex> lock(mLog->mMutex);
    return mLog->mStream.Read(aFrom, aMaxRecords);
  }

  base::Result<platform::LogPage> ReadLast(const std::string& /*aStream*/) override
  {
    return base::Error{ base::ErrorKind::Internal, "not used", "" };
  }

private:
  std::shared_ptr<FakeLog> mLog;
};

// A running service with its events.
struct RunningService
{
  explicit RunningService(std::shared_ptr<FakeLog> aLog, Millis aRetention = Seconds(3600))
    : mService(std::make_unique<FakeLogClient>(std::move(aLog)),
               Millis(2),
               aRetention,
               [this](TableEvent aEvent) { return mEvents.TryPush(std::move(aEvent)); })
  {
  }

  // Waits for an event that aAccept takes; other events are dropped.
  template<typename Event, typename Accept>
  Event Await(Accept aAccept)
  {
    const base::TimePoint deadline = base::Clock::now() + Seconds(60);
    while (base::Clock::now() < deadline) {
      const auto event = mEvents.PopFor(Seconds(1));
      const auto* wanted = event ? std::get_if<Event>(&*event) : nullptr;
      if (wanted != nullptr && aAccept(*wanted)) {
        return *wanted;
      }
    }
    BOOST_FAIL("the event did not come within 60 s");
    return Event();
  }

  template<typename Event>
  Event Await()
  {
    return Await<Event>([](const Event&) { return true; });
  }

  base::Result<uint64_t> Apply(const Edit& aEdit)
  {
    const uint64_t ticket = ++mTicket;
    BOOST_TEST_REQUIRE(mService.Submit(aEdit, ticket));
    return Await<EditDone>([ticket](const EditDone& aDone) { return aDone.mTicket == ticket; })
      .mVersion;
  }

  base::Ring<TableEvent> mEvents{ 256 };
  uint64_t mTicket = 0;
  TableService mService;
};

struct TableServiceFixture
{
  std::shared_ptr<FakeLog> mLog = std::make_shared<FakeLog>();

  static Edit RowEdit(const std::string& aModel, uint64_t aBase)
  {
    Edit edit;
    edit.mRow = RowKey{ "authority", "lahore-a", aModel };
    edit.mBaseVersion = aBase;
    edit.mContract = world::Contract{ 1, 10, 1000, 5 };
    return edit;
  }

  static base::ErrorKind KindOf(const base::Result<uint64_t>& aResult)
  {
    BOOST_REQUIRE(!base::IsOk(aResult));
    return base::ErrorOf(aResult).mKind;
  }

  uint64_t StreamLength()
  {
    const std::lock_guard<std::mutex> lock(mLog->mMutex);
    return mLog->mStream.Next();
  }
};

// Guards against an accepted edit that other entries do not see, or see otherwise.
BOOST_FIXTURE_TEST_CASE(TableServiceAcceptedEditReachesOtherEntry, TableServiceFixture)
{
  RunningService editor(mLog);
  RunningService other(mLog);
  const uint64_t version = base::ValueOf(editor.Apply(RowEdit("a", 0)));
  const auto table = other
                       .Await<TableConfirmed>([version](const auto& aEvent) {
                         return aEvent.mTable->mVersion == version;
                       })
                       .mTable;
  BOOST_TEST(FindRow(*table, "authority", "lahore-a", "a")->mVersion == version);
  BOOST_TEST((KindOf(other.Apply(RowEdit("a", 0))) == base::ErrorKind::EditConflict));
  BOOST_TEST(base::IsOk(other.Apply(RowEdit("a", version))));
}

// Guards against an edit that is applied twice, or reported as failed, when its answer is lost.
BOOST_FIXTURE_TEST_CASE(TableServiceLostAnswerIsReadBack, TableServiceFixture)
{
  RunningService service(mLog);
  mLog->mLostAnswers = 1;
  BOOST_TEST(base::ValueOf(service.Apply(RowEdit("a", 0))) == 1U);
  BOOST_TEST(StreamLength() == 1U);
}

// Guards against an edit that is given up although the log never received it.
BOOST_FIXTURE_TEST_CASE(TableServiceLostAppendIsRepeated, TableServiceFixture)
{
  RunningService service(mLog);
  mLog->mLostAppends = 2;
  BOOST_TEST(base::ValueOf(service.Apply(RowEdit("a", 0))) == 1U);
  BOOST_TEST(StreamLength() == 1U);
}

// Guards against a copy of the record that decides the answer or changes the table.
BOOST_FIXTURE_TEST_CASE(TableServiceDuplicatedAppendCountsOnce, TableServiceFixture)
{
  RunningService service(mLog);
  mLog->mLateCopies = 1;
  const uint64_t version = base::ValueOf(service.Apply(RowEdit("a", 0)));
  BOOST_TEST(version == 1U);
  BOOST_TEST(StreamLength() == 2U);
  BOOST_TEST(base::ValueOf(service.Apply(RowEdit("a", version))) == 3U);
}

// Guards against an edit that is said not to be applied while it is in the log.
BOOST_FIXTURE_TEST_CASE(TableServiceUnreadableLogAfterAppendIsUncommitted, TableServiceFixture)
{
  RunningService service(mLog);
  mLog->mDownAfterAppend = true;
  const auto kind = KindOf(service.Apply(RowEdit("a", 0)));
  BOOST_TEST((kind == base::ErrorKind::Uncommitted));
}

// Guards against edits that hang or are claimed to be applied during an outage, and against a
// service that stays down after it.
BOOST_FIXTURE_TEST_CASE(TableServiceDuringOutageRefusesAndRecovers, TableServiceFixture)
{
  RunningService service(mLog);
  BOOST_TEST(base::ValueOf(service.Apply(RowEdit("a", 0))) == 1U);
  mLog->mDown = true;
  BOOST_TEST((KindOf(service.Apply(RowEdit("b", 0))) == base::ErrorKind::LogUnavailable));
  service.Await<TableUnconfirmed>();
  mLog->mDown = false;
  const auto confirmed = service.Await<TableConfirmed>();
  BOOST_TEST(confirmed.mTable->mVersion == 1U);
  BOOST_TEST(base::IsOk(service.Apply(RowEdit("b", 0))));
}

// Guards against a creation that is refused forever because another row was deleted.
BOOST_FIXTURE_TEST_CASE(TableServiceCreationAfterDeletionIsAccepted, TableServiceFixture)
{
  RunningService service(mLog);
  Edit edit = RowEdit("a", 0);
  edit.mBaseVersion = base::ValueOf(service.Apply(edit));
  edit.mContract.reset();
  BOOST_TEST(base::IsOk(service.Apply(edit)));
  BOOST_TEST(base::IsOk(service.Apply(RowEdit("a", 0))));
}

// Guards against a configuration lost to the log's retention.
BOOST_FIXTURE_TEST_CASE(TableServiceWritesSnapshotWithinRetention, TableServiceFixture)
{
  RunningService service(mLog, Millis(200));
  const uint64_t version = base::ValueOf(service.Apply(RowEdit("a", 0)));
  const base::TimePoint deadline = base::Clock::now() + Seconds(60);
  while (StreamLength() < 3 && base::Clock::now() < deadline) {
    service.Await<TableConfirmed>();
  }
  {
    const std::lock_guard<std::mutex> lock(mLog->mMutex);
    mLog->mStream.Truncate(1);
  }
  RunningService late(mLog);
  BOOST_TEST(late.Await<TableConfirmed>().mTable->mVersion == version);
}

// Guards against an empty table that is taken for the configuration when its records are gone.
BOOST_FIXTURE_TEST_CASE(TableServiceWithoutCoveringSnapshotConfirmsNothing, TableServiceFixture)
{
  {
    RunningService service(mLog);
    BOOST_TEST(base::IsOk(service.Apply(RowEdit("a", 0))));
  }
  {
    const std::lock_guard<std::mutex> lock(mLog->mMutex);
    mLog->mStream.Truncate(1);
  }
  RunningService late(mLog);
  late.Await<TableUnconfirmed>();
  BOOST_TEST((KindOf(late.Apply(RowEdit("b", 0))) == base::ErrorKind::LogUnavailable));
}

// Guards against a race between editors that lets two win, or none.
BOOST_FIXTURE_TEST_CASE(TableServicesEditingOneRowAcceptEachVersionOnce, TableServiceFixture)
{
  constexpr size_t kEditors = 4;
  constexpr int kRounds = 20;
  std::vector<std::unique_ptr<RunningService>> editors;
  for (size_t i = 0; i < kEditors; ++i) {
    editors.push_back(std::make_unique<RunningService>(mLog));
  }
  uint64_t base = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (auto& editor : editors) {
      BOOST_TEST_REQUIRE(editor->mService.Submit(RowEdit("a", base), ++editor->mTicket));
    }
    std::vector<uint64_t> accepted;
    for (auto& editor : editors) {
      const auto done = editor->Await<EditDone>();
      if (base::IsOk(done.mVersion)) {
        accepted.push_back(base::ValueOf(done.mVersion));
      } else {
        BOOST_TEST((KindOf(done.mVersion) == base::ErrorKind::EditConflict));
      }
    }
    BOOST_REQUIRE_EQUAL(accepted.size(), 1U);
    BOOST_TEST(accepted[0] > base);
    base = accepted[0];
  }
}

// Guards against edits that are dropped without an answer at shutdown.
BOOST_FIXTURE_TEST_CASE(TableServiceStoppedAnswersEveryEdit, TableServiceFixture)
{
  RunningService service(mLog);
  std::set<uint64_t> open;
  for (uint64_t ticket = 1; ticket <= 20; ++ticket) {
    BOOST_TEST_REQUIRE(service.mService.Submit(RowEdit(fmt::format("{}", ticket), 0), ticket));
    open.insert(ticket);
  }
  service.mService.Stop();
  BOOST_TEST(!service.mService.Submit(RowEdit("late", 0), 99));
  while (const auto event = service.mEvents.TryPop()) {
    if (const auto* done = std::get_if<EditDone>(&*event)) {
      open.erase(done->mTicket);
    }
  }
  BOOST_TEST(open.empty());
}

}
