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

// A turn whose texts are wanted.
struct TextReference
{
  std::string mAttempt;
  programs::TextLocation mLocation;
};

using TurnTextPtr = std::shared_ptr<const programs::TurnText>;

// The texts of the history: appended to their stream, kept in memory while there is room, and read
// back one by one when another gateway or an earlier process has written them. Lives on one event
// loop.
class TurnTexts
{
public:
  TurnTexts(const boost::asio::any_io_executor& aExecutor, LogStore& aStore, size_t aMostBytes);

  // Keeps Next up to date while this process appends nothing.
  boost::asio::awaitable<void> Run();

  // An offset at or before the one that the next text appended here will get.
  uint64_t Next() const { return mNext; }

  // Appends aText; returns its offset once the store has it. Errors as RecordWriter::Append.
  boost::asio::awaitable<base::Result<uint64_t>> Append(programs::TurnText aText,
                                                        base::TimePoint aDeadline);

  // The texts of aReferences, in their order. LogUnavailable if one cannot be read before
  // aDeadline.
  boost::asio::awaitable<base::Result<std::vector<TurnTextPtr>>> Load(
    std::vector<TextReference> aReferences,
    base::TimePoint aDeadline);

  size_t BytesKept() const { return mBytes; }

private:
  struct Batch;

  struct Entry
  {
    TurnTextPtr mText;
    std::list<std::string>::iterator mUse; // In mUses.
  };

  boost::asio::awaitable<void> RunReads(Batch& aBatch);
  boost::asio::awaitable<base::Result<TurnTextPtr>> ReadOne(TextReference aReference,
                                                            base::TimePoint aDeadline);
  TurnTextPtr Find(const std::string& aAttempt);
  void Keep(TurnTextPtr aText);

  boost::asio::any_io_executor mExecutor;
  LogStore& mStore;
  const size_t mMostBytes;
  size_t mBytes = 0;
  std::list<std::string> mUses; // Attempts, the most recently used one first.
  std::unordered_map<std::string, Entry> mEntries;
  uint64_t mNext = 0;
  base::TimePoint mNextKnownAt; // When mNext was last learned.
  RecordWriter mWriter;
};

}
