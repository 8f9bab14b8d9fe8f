#include "turn_texts.h"

#include "sycamore/base/log.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace sycamore::gateway {

using base::ErrorKind;
using base::Millis;
using programs::TurnText;

// Reads for one prompt at the same time: a chain of ten turns takes two round trips.
static constexpr size_t kReadsAtOnce = 6;
// Limit of one read. Far regions take 75 ms.
static constexpr Millis kReadTimeout{ 600 };
// Page of a search for a text whose exact offset is not known.
static constexpr uint32_t kSearchKilobytes = 64;
// Records that a search reads at most: what all gateways together append in a few seconds.
static constexpr uint64_t kMostSearched = 20000;
// After this time without an append the end of the stream is asked for again, which keeps searches
// short.
static constexpr base::Seconds kRefreshInterval{ 5 };
static constexpr Millis kRetryPause{ 300 };
// Bytes of a record beyond its texts.
static constexpr uint32_t kRecordOverhead = 128;
static constexpr uint32_t kKilobyte = 1024;

// Reads that serve one prompt.
struct TurnTexts::Batch
{
  std::vector<TextReference> mReferences;
  std::vector<TurnTextPtr> mTexts; // Null while not read.
  size_t mNext = 0;                // Of mReferences.
  base::TimePoint mDeadline;
  std::optional<base::Error> mError;
};

TurnTexts::TurnTexts(const boost::asio::any_io_executor& aExecutor,
                     LogStore& aStore,
                     size_t aMostBytes)
  : mExecutor(aExecutor)
  , mStore(aStore)
  , mMostBytes(aMostBytes)
  , mWriter(aExecutor,
            aStore,
            StreamName::Texts,
            [this](uint64_t aOffset, const std::vector<std::string>& aRecords) {
              mNext = std::max(mNext, aOffset + aRecords.size());
              mNextKnownAt = base::Clock::now();
            })
{
}

boost::asio::awaitable<void>
TurnTexts::Run()
{
  bool known = false;
  for (;;) {
    const base::TimePoint now = base::Clock::now();
    if (known && now - mNextKnownAt < kRefreshInterval) {
      co_await SleepFor(kRefreshInterval);
      continue;
    }
    const ReadRange range{ mNext, Millis(0), 1 };
    const auto page = co_await mStore.Read(StreamName::Texts, range, kReadTimeout);
    if (base::IsOk(page)) {
      mNext = std::max(mNext, base::ValueOf(page).mEnd);
      mNextKnownAt = now;
      known = true;
    } else {
      co_await SleepFor(kRetryPause);
    }
  }
}

boost::asio::awaitable<base::Result<uint64_t>>
TurnTexts::Append(TurnText aText, base::TimePoint aDeadline)
{
  std::string record = programs::EncodeTurnText(aText);
  auto appended = co_await mWriter.Append(std::move(record), aDeadline);
  if (base::IsOk(appended)) {
    Keep(std::make_shared<const TurnText>(std::move(aText)));
  }
  co_return appended;
}

boost::asio::awaitable<base::Result<std::vector<TurnTextPtr>>>
TurnTexts::Load(std::vector<TextReference> aReferences, base::TimePoint aDeadline)
{
  Batch batch;
  batch.mDeadline = aDeadline;
  batch.mTexts.reserve(aReferences.size());
  size_t missing = 0;
  for (const TextReference& reference : aReferences) {
    batch.mTexts.push_back(Find(reference.mAttempt));
    missing += batch.mTexts.back() == nullptr ? 1 : 0;
  }
  batch.mReferences = std::move(aReferences);
  TaskGroup readers(mExecutor);
  for (size_t i = 0; i < std::min(missing, kReadsAtOnce); ++i) {
    readers.Spawn(RunReads(batch));
  }
  co_await readers.Wait();
  if (batch.mError) {
    co_return std::move(*batch.mError);
  }
  co_return std::move(batch.mTexts);
}

boost::asio::awaitable<void>
TurnTexts::RunReads(Batch& aBatch)
{
  while (aBatch.mNext < aBatch.mReferences.size() && !aBatch.mError) {
    const size_t index = aBatch.mNext++;
    if (aBatch.mTexts[index] != nullptr) {
      continue;
    }
    auto text = co_await ReadOne(aBatch.mReferences[index], aBatch.mDeadline);
    if (base::IsOk(text)) {
      aBatch.mTexts[index] = base::TakeValue(std::move(text));
    } else {
      aBatch.mError = base::ErrorOf(text);
    }
  }
}

static std::optional<TurnText>
FindText(const StreamPage& aPage, const std::string& aAttempt)
{
  for (const StreamRecord& record : aPage.mRecords) {
    auto text = record.mValue ? programs::DecodeTurnText(*record.mValue) : std::nullopt;
    if (text && text->mAttempt == aAttempt) {
      return text;
    }
  }
  return std::nullopt;
}

boost::asio::awaitable<base::Result<TurnTextPtr>>
TurnTexts::ReadOne(TextReference aReference, base::TimePoint aDeadline)
{
  const programs::TextLocation& place = aReference.mLocation;
  const uint32_t kilobytes = (place.mBytes + kRecordOverhead) / kKilobyte + 1;
  ReadRange range{ place.mFrom, Millis(0), place.mExact ? kilobytes : kSearchKilobytes };
  while (base::Clock::now() < aDeadline && range.mFrom < place.mFrom + kMostSearched) {
    auto page = co_await mStore.Read(StreamName::Texts, range, kReadTimeout);
    if (!base::IsOk(page)) {
      co_return base::Error{ ErrorKind::LogUnavailable, base::ErrorOf(page).mMessage, "" };
    }
    const StreamPage& read = base::ValueOf(page);
    if (auto text = FindText(read, aReference.mAttempt)) {
      auto kept = std::make_shared<const TurnText>(std::move(*text));
      Keep(kept);
      co_return kept;
    }
    if (read.mRecords.empty() || read.mExpired) {
      break;
    }
    range = { read.mNext, Millis(0), kSearchKilobytes };
  }
  base::Log(base::LogEvent::LogReadFailed,
            "stream=texts attempt={} from={} exact={}: not found",
            aReference.mAttempt,
            place.mFrom,
            place.mExact);
  co_return base::Error{ ErrorKind::LogUnavailable, "a text of the history was not found", "" };
}

TurnTextPtr
TurnTexts::Find(const std::string& aAttempt)
{
  const auto entry = mEntries.find(aAttempt);
  if (entry == mEntries.end()) {
    return nullptr;
  }
  mUses.splice(mUses.begin(), mUses, entry->second.mUse);
  return entry->second.mText;
}

void
TurnTexts::Keep(TurnTextPtr aText)
{
  const std::string& attempt = aText->mAttempt;
  if (mEntries.contains(attempt)) {
    return;
  }
  mBytes += aText->Bytes();
  mUses.push_front(attempt);
  mEntries.emplace(attempt, Entry{ std::move(aText), mUses.begin() });
  while (mBytes > mMostBytes && mUses.size() > 1) {
    const auto oldest = mEntries.find(mUses.back());
    mBytes -= oldest->second.mText->Bytes();
    mEntries.erase(oldest);
    mUses.pop_back();
  }
}

}
