#pragma once

#include "async.h"
#include "record_writer.h"
#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/gateway/log_store.h"
#include "sycamore/programs/turn.h"
#include "sycamore/programs/turn_text.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <list>
#include <memory>
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

// The texts of the history: appended to their stream, kept in an LRU cache, and read back one by
// one if another gateway or an earlier process has written them. Lives on one event loop.
class TurnTexts
{
public:
  // Appends to aPartition of the stream; texts of other gateways are in others.
  TurnTexts(const boost::asio::any_io_executor& aExecutor,
            LogStore& aStore,
            uint32_t aPartition,
            size_t aMaxBytes);

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

  size_t CachedBytes() const { return mBytes; }

private:
  struct Batch;

  struct Entry
  {
    TurnTextPtr mText;
    std::list<std::string>::iterator mPosition; // In mRecentlyUsed.
  };

  boost::asio::awaitable<void> RunReads(Batch& aBatch);
  boost::asio::awaitable<base::Result<TurnTextPtr>> ReadOne(TextReference aReference,
                                                            base::TimePoint aDeadline);
  TurnTextPtr FindCached(const std::string& aAttempt);
  void AddToCache(TurnTextPtr aText);

  boost::asio::any_io_executor mExecutor;
  LogStore& mStore;
  const StreamId mStream;
  const size_t mMaxBytes;
  size_t mBytes = 0;
  std::list<std::string> mRecentlyUsed; // Attempts, the most recently used one first.
  std::unordered_map<std::string, Entry> mEntries;
  uint64_t mNextOffset = 0;
  base::TimePoint mNextOffsetKnownAt; // When mNextOffset was last updated.
  RecordWriter mWriter;
};

}
