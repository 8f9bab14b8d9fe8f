#include "turn_texts.h"

#include "sycamore/base/log.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace sycamore::gateway {

using base::ErrorKind;
using base::Millis;
using programs::TurnText;

// Concurrent reads for one prompt: a chain of ten turns takes two round trips.
static constexpr size_t kMaxConcurrentReads = 6;
// Timeout of one read. Remote regions take 75 ms.
static constexpr Millis kReadTimeout{ 600 };
// Page size at the begin of a search for a text whose exact offset is not known; tells the size of
// records.
static constexpr uint32_t kFirstPageKilobytes = 64;
// Page size of the rest of a search, and pages that are read at the same time: one connection to a
// remote region carries 2 MB/s, and each call takes 70 ms.
static constexpr uint32_t kSearchPageKilobytes = 256;
static constexpr size_t kMaxSearchReads = 4;
// Maximum number of records that a search reads: all gateways together append as many in a few
// seconds.
static constexpr uint64_t kMaxSearchedRecords = 20000;
// After this time without an append, the end of the stream is read again, which keeps searches
// short.
static constexpr base::Seconds kRefreshInterval{ 5 };
static constexpr Millis kRetryDelay{ 300 };
// The aggregator collects the texts of the failure domain, each of which it gets in a call.
static constexpr uint32_t kAppendsInFlight = 8;
// Bytes of a record beyond its texts.
static constexpr uint32_t kRecordOverhead = 128;
static constexpr uint32_t kKilobyte = 1024;

// A search for one text, by several coroutines.
struct TurnTexts::Search
{
  StreamId mStream;
  std::string mAttempt;
  base::TimePoint mDeadline;
  uint64_t mNext = 0;           // Where the next part begins.
  uint64_t mLimit = 0;          // Offset at which the search ends.
  uint64_t mRecordsPerPart = 1; // As many as fit into a page.
  TurnTextPtr mText = nullptr;  // Null while not found.
  std::optional<base::Error> mError = std::nullopt;
};

// Keeps other searches of a partition waiting: after a loss of gateways many turns lack a place,
// and one pass over the stream serves all of them, in the memory of one search.
class TurnTexts::SearchSlot
{
public:
  SearchSlot(TurnTexts& aTexts, uint32_t aPartition)
    : mTexts(aTexts)
    , mPartition(aPartition)
  {
    mTexts.mSearched.insert(mPartition);
  }

  ~SearchSlot()
  {
    mTexts.mSearched.erase(mPartition);
    mTexts.mSearchEnded.NotifyAll();
  }

  SearchSlot(const SearchSlot&) = delete;
  SearchSlot& operator=(const SearchSlot&) = delete;

private:
  TurnTexts& mTexts;
  uint32_t mPartition;
};

// Reads that serve one prompt.
struct TurnTexts::Batch
{
  std::vector<TextReference> mReferences;
  std::vector<TurnTextPtr> mTexts; // Null while not read.
  size_t mNextReference = 0;       // Of mReferences.
  base::TimePoint mDeadline;
  std::optional<base::Error> mError;
};

TurnTexts::TurnTexts(const boost::asio::any_io_executor& aExecutor,
                     LogStore& aStore,
                     uint32_t aPartition,
                     size_t aMaxBytes,
                     WriterQuery aAskWriter)
  : mExecutor(aExecutor)
  , mStore(aStore)
  , mStream(StreamName::Texts, aPartition)
  , mMaxBytes(aMaxBytes)
  , mAskWriter(std::move(aAskWriter))
  , mSearchEnded(aExecutor)
  , mWriter(
      aExecutor,
      aStore,
      mStream,
      [this](uint64_t aOffset, const std::vector<std::string>& aRecords) {
        // Also the end of texts of others, who append to the same partition.
        mNextOffset = std::max(mNextOffset, aOffset + aRecords.size());
        mNextOffsetKnownAt = base::Clock::now();
      },
      nullptr,
      RecordWriter::Limits{ Millis(0), kAppendsInFlight, 1 })
{
}

boost::asio::awaitable<void>
TurnTexts::Run()
{
  bool known = false;
  for (;;) {
    const base::TimePoint now = base::Clock::now();
    if (known && now - mNextOffsetKnownAt < kRefreshInterval) {
      co_await SleepFor(kRefreshInterval);
      continue;
    }
    const ReadRange range{ mNextOffset, Millis(0), 1 };
    const auto page = co_await mStore.Read(mStream, range, kReadTimeout);
    if (base::IsOk(page)) {
      mNextOffset = std::max(mNextOffset, base::ValueOf(page).mEnd);
      mNextOffsetKnownAt = now;
      known = true;
    } else {
      co_await SleepFor(kRetryDelay);
    }
  }
}

boost::asio::awaitable<base::Result<uint64_t>>
TurnTexts::Append(TurnText aText, base::TimePoint aDeadline)
{
  std::string record = programs::EncodeTurnText(aText);
  auto appended = co_await mWriter.Append(std::move(record), aDeadline);
  if (base::IsOk(appended)) {
    AddToCache(std::make_shared<const TurnText>(std::move(aText)));
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
    batch.mTexts.push_back(FindCached(reference.mAttempt));
    missing += batch.mTexts.back() == nullptr ? 1 : 0;
  }
  batch.mReferences = std::move(aReferences);
  TaskGroup readers(mExecutor);
  for (size_t i = 0; i < std::min(missing, kMaxConcurrentReads); ++i) {
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
  while (aBatch.mNextReference < aBatch.mReferences.size() && !aBatch.mError) {
    const size_t index = aBatch.mNextReference++;
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

boost::asio::awaitable<base::Result<StreamPage>>
TurnTexts::ReadPage(StreamId aStream,
                    ReadRange aRange,
                    const std::string& aAttempt,
                    TurnTextPtr& aOut)
{
  auto page = co_await mStore.Read(aStream, aRange, kReadTimeout);
  if (!base::IsOk(page)) {
    co_return base::Error{ ErrorKind::LogUnavailable, base::ErrorOf(page).mMessage, "" };
  }
  const StreamPage& read = base::ValueOf(page);
  for (const StreamRecord& record : read.mRecords) {
    auto text = record.mValue ? programs::DecodeTurnText(*record.mValue) : std::nullopt;
    if (!text) {
      continue;
    }
    mPlaces.Add(aStream.mPartition, text->mAttempt, record.mOffset);
    if (text->mAttempt == aAttempt) {
      aOut = std::make_shared<const TurnText>(std::move(*text));
      AddToCache(aOut);
    }
  }
  mPlaces.AddSearched(aStream.mPartition, aRange.mFrom, read.mNext);
  co_return page;
}

boost::asio::awaitable<void>
TurnTexts::RunSearch(Search& aSearch)
{
  const uint32_t partition = aSearch.mStream.mPartition;
  while (!aSearch.mText && !aSearch.mError && base::Clock::now() < aSearch.mDeadline) {
    uint64_t from = mPlaces.NextUnsearched(partition, aSearch.mNext);
    if (from >= aSearch.mLimit) {
      break;
    }
    const uint64_t end = std::min(from + aSearch.mRecordsPerPart, aSearch.mLimit);
    aSearch.mNext = end;
    while (from < end && !aSearch.mText && base::Clock::now() < aSearch.mDeadline) {
      const ReadRange range{ from, Millis(0), kSearchPageKilobytes };
      const auto page = co_await ReadPage(aSearch.mStream, range, aSearch.mAttempt, aSearch.mText);
      if (!base::IsOk(page)) {
        aSearch.mError = base::ErrorOf(page);
        break;
      }
      aSearch.mLimit = std::min(aSearch.mLimit, base::ValueOf(page).mEnd);
      from = std::max(from + 1, base::ValueOf(page).mNext);
    }
  }
}

std::optional<std::string>
TurnTexts::FindRecord(const std::string& aAttempt)
{
  const TurnTextPtr text = FindCached(aAttempt);
  return text ? std::optional<std::string>(programs::EncodeTurnText(*text)) : std::nullopt;
}

boost::asio::awaitable<TurnTextPtr>
TurnTexts::ReadFromWriter(const TextReference& aReference)
{
  const auto record = co_await mAskWriter(aReference.mLocation.mWriter, aReference.mAttempt);
  auto text = record ? programs::DecodeTurnText(*record) : std::nullopt;
  if (!text || text->mAttempt != aReference.mAttempt) {
    co_return nullptr;
  }
  auto kept = std::make_shared<const TurnText>(std::move(*text));
  AddToCache(kept);
  co_return kept;
}

boost::asio::awaitable<base::Result<TurnTextPtr>>
TurnTexts::ReadOne(TextReference aReference, base::TimePoint aDeadline)
{
  if (aReference.mLocation.mWriter != 0) {
    TurnTextPtr text = co_await ReadFromWriter(aReference);
    if (text) {
      co_return text;
    }
  }
  const programs::TextLocation& location = aReference.mLocation;
  TurnTextPtr text;
  if (const auto place = co_await FindPlace(aReference, aDeadline)) {
    const StreamId stream(StreamName::Texts, location.mPartition);
    const uint32_t kilobytes = (location.mBytes + kRecordOverhead) / kKilobyte + 1;
    const ReadRange range{ *place, Millis(0), kilobytes };
    const auto page = co_await ReadPage(stream, range, aReference.mAttempt, text);
    if (!base::IsOk(page)) {
      co_return base::ErrorOf(page);
    }
  } else {
    auto found = co_await SearchText(aReference, aDeadline);
    if (!base::IsOk(found)) {
      co_return base::ErrorOf(found);
    }
    text = base::TakeValue(std::move(found));
  }
  if (text) {
    co_return text;
  }
  base::Log(base::LogEvent::LogReadFailed,
            "stream=texts partition={} attempt={} from={} exact={}: not found",
            location.mPartition,
            aReference.mAttempt,
            location.mFrom,
            location.mExact);
  co_return base::Error{ ErrorKind::LogUnavailable, "a text of the history was not found", "" };
}

boost::asio::awaitable<std::optional<uint64_t>>
TurnTexts::FindPlace(const TextReference& aReference, base::TimePoint aDeadline)
{
  const programs::TextLocation& location = aReference.mLocation;
  if (location.mExact) {
    co_return location.mFrom;
  }
  auto place = mPlaces.Find(location.mPartition, aReference.mAttempt);
  while (!place && mSearched.contains(location.mPartition) && base::Clock::now() < aDeadline) {
    co_await mSearchEnded.WaitUntil(aDeadline);
    place = mPlaces.Find(location.mPartition, aReference.mAttempt);
  }
  co_return place;
}

boost::asio::awaitable<base::Result<TurnTextPtr>>
TurnTexts::SearchText(const TextReference& aReference, base::TimePoint aDeadline)
{
  const programs::TextLocation& location = aReference.mLocation;
  if (mSearched.contains(location.mPartition)) {
    co_return TurnTextPtr(); // The deadline passed while another search ran.
  }
  const SearchSlot slot(*this, location.mPartition);
  Search search{ StreamId(StreamName::Texts, location.mPartition), aReference.mAttempt, aDeadline };
  const ReadRange range{ mPlaces.NextUnsearched(location.mPartition, location.mFrom),
                         Millis(0),
                         kFirstPageKilobytes };
  const auto first = co_await ReadPage(search.mStream, range, search.mAttempt, search.mText);
  if (!base::IsOk(first)) {
    co_return base::ErrorOf(first);
  }
  const StreamPage& page = base::ValueOf(first);
  if (search.mText || page.mRecords.empty()) {
    co_return search.mText;
  }
  size_t bytes = 1;
  for (const StreamRecord& record : page.mRecords) {
    bytes += record.mValue ? record.mValue->size() : 0;
  }
  search.mNext = page.mNext;
  search.mLimit = std::min(location.mFrom + kMaxSearchedRecords, page.mEnd);
  search.mRecordsPerPart =
    std::max<uint64_t>(page.mRecords.size() * kSearchPageKilobytes * kKilobyte / bytes, 1);
  TaskGroup readers(mExecutor);
  for (size_t i = 0; i < kMaxSearchReads; ++i) {
    readers.Spawn(RunSearch(search));
  }
  co_await readers.Wait();
  if (!search.mText && search.mError) {
    co_return std::move(*search.mError);
  }
  co_return search.mText;
}

TurnTextPtr
TurnTexts::FindCached(const std::string& aAttempt)
{
  const auto entry = mEntries.find(aAttempt);
  if (entry == mEntries.end()) {
    return nullptr;
  }
  mRecentlyUsed.splice(mRecentlyUsed.begin(), mRecentlyUsed, entry->second.mPosition);
  return entry->second.mText;
}

void
TurnTexts::AddToCache(TurnTextPtr aText)
{
  const std::string& attempt = aText->mAttempt;
  if (mEntries.contains(attempt)) {
    return;
  }
  mBytes += aText->Bytes();
  mRecentlyUsed.push_front(attempt);
  mEntries.emplace(attempt, Entry{ std::move(aText), mRecentlyUsed.begin() });
  while (mBytes > mMaxBytes && mRecentlyUsed.size() > 1) {
    const auto oldest = mEntries.find(mRecentlyUsed.back());
    mBytes -= oldest->second.mText->Bytes();
    mEntries.erase(oldest);
    mRecentlyUsed.pop_back();
  }
}

}
