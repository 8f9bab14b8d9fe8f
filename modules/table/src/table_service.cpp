#include "sycamore/table/table_service.h"

#include "editor.h"
#include "stream_reader.h"

#include "sycamore/base/log.h"
#include "sycamore/base/random.h"
#include "sycamore/base/ring.h"

#include <algorithm>
#include <deque>
#include <thread>
#include <utility>

namespace sycamore::table {

using base::Clock;
using base::Millis;
using base::TimePoint;

static constexpr size_t kMaxWaitingEdits = 64;

// Longest pause between reads while the log is down. An edit accepted elsewhere must take effect
// here within 7 s of the log's return; 3 s leave time for one failed read.
static constexpr Millis kMaxBackoff{ 3000 };

// Pause after an append of a snapshot that failed.
static constexpr Millis kSnapshotRetry{ 10000 };

// A random duration below aBound.
static Millis
RandomBelow(Millis aBound)
{
  const auto bound = static_cast<uint64_t>(std::max<int64_t>(aBound.count(), 1));
  return Millis(static_cast<int64_t>(base::RandomId() % bound));
}

class TableService::Impl
{
public:
  Impl(std::unique_ptr<platform::LogClient> aLog,
       Millis aPoll,
       Millis aRetention,
       std::function<bool(TableEvent)> aSink);

  bool Submit(Edit aEdit, uint64_t aTicket);
  void Stop();

private:
  struct WaitingEdit
  {
    Edit mEdit;
    uint64_t mTicket = 0;
  };

  void Run();
  void Answer(const WaitingEdit& aWaiting);
  base::Result<uint64_t> Apply(const Edit& aEdit);
  void DeliverAnswers();
  void Poll();
  void OnReadFailed(const base::Error& aError);
  void Publish(TimePoint aReadAt);
  void KeepSnapshot(TimePoint aNow);

  const Millis mPoll;
  const Millis mRetention;
  std::function<bool(TableEvent)> mSink;
  base::Ring<WaitingEdit> mEdits{ kMaxWaitingEdits };
  StreamReader mReader;
  Editor mEditor;
  std::shared_ptr<const Table> mTable = std::make_shared<const Table>();
  std::deque<EditDone> mAnswers; // Not yet taken by the sink.
  TimePoint mNextPoll = Clock::now();
  Millis mBackoff{ 0 }; // Positive while the log cannot be read.
  TimePoint mSnapshotDue;
  bool mStarted = false; // Whether the table was read completely once.
  std::thread mThread;
};

TableService::Impl::Impl(std::unique_ptr<platform::LogClient> aLog,
                         Millis aPoll,
                         Millis aRetention,
                         std::function<bool(TableEvent)> aSink)
  : mPoll(aPoll)
  , mRetention(aRetention)
  , mSink(std::move(aSink))
  , mReader(std::move(aLog))
  , mEditor(mReader, [this] { return mEdits.Closed(); })
  // The age of a snapshot that was appended before the start is unknown. A random first wait keeps
  // entries that start together from all writing one.
  , mSnapshotDue(Clock::now() + RandomBelow(aRetention / 4))
  , mThread([this] { Run(); })
{
}

bool
TableService::Impl::Submit(Edit aEdit, uint64_t aTicket)
{
  return mEdits.TryPush({ std::move(aEdit), aTicket });
}

void
TableService::Impl::Stop()
{
  mEdits.Close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
TableService::Impl::Run()
{
  while (!mEdits.Closed()) {
    const auto wait = std::chrono::ceil<base::Micros>(mNextPoll - Clock::now());
    if (const auto edit = mEdits.PopFor(std::max(wait, base::Micros(0)))) {
      Answer(*edit);
    }
    DeliverAnswers();
    if (Clock::now() >= mNextPoll) {
      Poll();
    }
  }
  while (const auto edit = mEdits.TryPop()) {
    const base::Error stopping{ base::ErrorKind::Stopping,
                                "the entry is stopping; send the edit to another entry",
                                "" };
    mAnswers.push_back({ edit->mTicket, stopping });
  }
  DeliverAnswers();
}

void
TableService::Impl::Answer(const WaitingEdit& aWaiting)
{
  auto version = Apply(aWaiting.mEdit);
  if (!base::IsOk(version)) {
    base::Log(base::LogEvent::EditRejected,
              "{} base_version={}: {}",
              Describe(aWaiting.mEdit),
              aWaiting.mEdit.mBaseVersion,
              base::ErrorOf(version).mMessage);
  }
  mAnswers.push_back({ aWaiting.mTicket, std::move(version) });
}

base::Result<uint64_t>
TableService::Impl::Apply(const Edit& aEdit)
{
  if (mBackoff.count() > 0) {
    // Each attempt could block for the client's time-out and delay the edits behind it.
    return base::Error{ base::ErrorKind::LogUnavailable,
                        "the edit was not applied, since the log cannot be read; repeat it later",
                        "" };
  }
  const TimePoint readAt = Clock::now();
  auto version = mEditor.Apply(aEdit);
  if (base::IsOk(version)) {
    // The caller that sees the answer must also see the table with its edit.
    Publish(readAt);
  }
  return version;
}

void
TableService::Impl::DeliverAnswers()
{
  while (!mAnswers.empty() && mSink(mAnswers.front())) {
    mAnswers.pop_front();
  }
}

void
TableService::Impl::Poll()
{
  const TimePoint readAt = Clock::now();
  const auto caughtUp = mReader.CatchUp();
  if (!base::IsOk(caughtUp)) {
    OnReadFailed(base::ErrorOf(caughtUp));
    return;
  }
  mBackoff = Millis(0);
  mNextPoll = Clock::now() + mPoll;
  Publish(readAt);
  KeepSnapshot(Clock::now());
}

void
TableService::Impl::OnReadFailed(const base::Error& aError)
{
  if (mBackoff.count() == 0) {
    base::Log(base::LogEvent::LogReadFailed, "stream=config: {}", aError.mMessage);
  }
  mBackoff = std::clamp(2 * mBackoff, std::min(mPoll, kMaxBackoff), kMaxBackoff);
  mNextPoll = Clock::now() + mBackoff / 2 + RandomBelow(mBackoff / 2);
  mSink(TableUnconfirmed{ aError.mMessage });
}

void
TableService::Impl::Publish(TimePoint aReadAt)
{
  const Table& current = mReader.State().Current();
  if (current.mVersion != mTable->mVersion) {
    mTable = std::make_shared<const Table>(current);
    base::Log(base::LogEvent::TableChanged,
              "version={} rows={} orders={}",
              current.mVersion,
              current.mRows.size(),
              current.mOrders.size());
  }
  mSink(TableConfirmed{ mTable, aReadAt });
}

void
TableService::Impl::KeepSnapshot(TimePoint aNow)
{
  const bool seen = mReader.TakeSnapshotSeen();
  if (seen && mStarted) {
    mSnapshotDue = aNow + mRetention / 4 + RandomBelow(mRetention / 8);
  }
  mStarted = true;
  const Fold& state = mReader.State();
  if (aNow < mSnapshotDue || state.Next() == 0) {
    return;
  }
  const auto offset = mReader.Append(state.Snapshot());
  if (base::IsOk(offset)) {
    mSnapshotDue = aNow + mRetention / 4 + RandomBelow(mRetention / 8);
    return;
  }
  mSnapshotDue = aNow + std::min(kSnapshotRetry, mRetention / 16);
  base::Log(
    base::LogEvent::LogAppendFailed, "stream=config snapshot: {}", base::ErrorOf(offset).mMessage);
}

TableService::TableService(std::unique_ptr<platform::LogClient> aLog,
                           Millis aPoll,
                           Millis aRetention,
                           std::function<bool(TableEvent)> aSink)
  : mImpl(std::make_unique<Impl>(std::move(aLog), aPoll, aRetention, std::move(aSink)))
{
}

TableService::~TableService()
{
  Stop();
}

bool
TableService::Submit(Edit aEdit, uint64_t aTicket)
{
  return mImpl->Submit(std::move(aEdit), aTicket);
}

void
TableService::Stop()
{
  mImpl->Stop();
}

}
