#pragma once

#include "async.h"
#include "record_writer.h"
#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/gateway/log_store.h"
#include "sycamore/programs/turn.h"
#include "sycamore/programs/turn_text.h"
#include "text_places.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sycamore::gateway {

// Identifies the texts of a turn.
struct TextReference
{
  std::string mAttempt;
  programs::TextLocation mLocation;
};

using TurnTextPtr = std::shared_ptr<const programs::TurnText>;

// The texts of the history: appended to their stream, and kept in an LRU cache. A text of another
// gateway comes from its memory, which is near and knows its place, or else from the store. Lives
// on one event loop.
class TurnTexts
{
public:
  // Asks the gateway whose instance has the given hash for the record of an attempt's text; nothing
  // if it does not answer or does not have it in memory.
  using WriterQuery =
    std::function<boost::asio::awaitable<std::optional<std::string>>(uint32_t, std::string)>;

  // Appends to aPartition of the stream.
  TurnTexts(const boost::asio::any_io_executor& aExecutor,
            LogStore& aStore,
            uint32_t aPartition,
            size_t aMaxBytes,
            WriterQuery aAskWriter);

  uint32_t Partition() const { return mStream.mPartition; }

  // Keeps Next up to date while this process appends nothing.
  boost::asio::awaitable<void> Run();

  // An offset at or before the one that the next text appended here will get.
  uint64_t Next() const { return mNextOffset; }

  // Appends aText; returns its offset once the store has it. Errors as RecordWriter::Append.
  boost::asio::awaitable<base::Result<uint64_t>> Append(programs::TurnText aText,
                                                        base::TimePoint aDeadline);

  // The texts of aReferences, in their order. LogUnavailable if one cannot be read before
  // aDeadline.
  boost::asio::awaitable<base::Result<std::vector<TurnTextPtr>>> Load(
    std::vector<TextReference> aReferences,
    base::TimePoint aDeadline);

  // The record of a text, for another gateway; nothing if it is not in memory.
  std::optional<std::string> FindRecord(const std::string& aAttempt);

  size_t CachedBytes() const { return mBytes; }

private:
  struct Batch;
  struct Search;
  class SearchSlot;

  struct Entry
  {
    TurnTextPtr mText;
    std::list<std::string>::iterator mPosition; // In mRecentlyUsed.
  };

  boost::asio::awaitable<void> RunReads(Batch& aBatch);
  boost::asio::awaitable<base::Result<TurnTextPtr>> ReadOne(TextReference aReference,
                                                            base::TimePoint aDeadline);
  boost::asio::awaitable<TurnTextPtr> ReadFromWriter(const TextReference& aReference);
  // Reads a page of the stream and notes the places of its texts. Adds the text of aAttempt to the
  // cache and returns it as aOut, if the page has it.
  boost::asio::awaitable<base::Result<StreamPage>> ReadPage(StreamId aStream,
                                                            ReadRange aRange,
                                                            const std::string& aAttempt,
                                                            TurnTextPtr& aOut);
  // The place of a text, exact or met by a search. Waits, until aDeadline, while another search of
  // the partition runs, which may meet it.
  boost::asio::awaitable<std::optional<uint64_t>> FindPlace(const TextReference& aReference,
                                                            base::TimePoint aDeadline);
  // Searches the stream for a text whose place is not known; null if it is not found.
  boost::asio::awaitable<base::Result<TurnTextPtr>> SearchText(const TextReference& aReference,
                                                               base::TimePoint aDeadline);
  // Reads parts of the stream, one after the other, until the text is found.
  boost::asio::awaitable<void> RunSearch(Search& aSearch);
  TurnTextPtr FindCached(const std::string& aAttempt);
  void AddToCache(TurnTextPtr aText);

  boost::asio::any_io_executor mExecutor;
  LogStore& mStore;
  const StreamId mStream;
  const size_t mMaxBytes;
  const WriterQuery mAskWriter;
  size_t mBytes = 0;
  std::list<std::string> mRecentlyUsed; // Attempts, the most recently used one first.
  std::unordered_map<std::string, Entry> mEntries;
  TextPlaces mPlaces;
  std::set<uint32_t> mSearched; // Partitions with a search under way.
  Signal mSearchEnded;
  uint64_t mNextOffset = 0;
  base::TimePoint mNextOffsetKnownAt; // When mNextOffset was last updated.
  RecordWriter mWriter;
};

}
