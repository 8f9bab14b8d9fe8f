#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::gateway {

// A stream of the platform's log.
enum class StreamName : uint8_t
{
  Configuration, // Keyed; written by operators.
  Replicas,      // Keyed by replica id; written by the replicas.
  Programs,      // Budgets and the index of the history; written by the gateways.
  Members,       // Keyed by instance; written by the gateways.
  Texts,         // Texts of the history; written by the gateways, read one by one.
};

constexpr size_t kStreamCount = static_cast<size_t>(StreamName::Texts) + 1;

// A partition of a stream, which has offsets of its own and takes one append at a time. Keyed
// streams have one partition.
struct StreamId
{
  // Implicit: a name alone stands for its first partition. NOLINTNEXTLINE
  constexpr StreamId(StreamName aName, uint32_t aPartition = 0)
    : mName(aName)
    , mPartition(aPartition)
  {
  }

  auto operator<=>(const StreamId&) const = default;

  StreamName mName;
  uint32_t mPartition;
};

// A record of a stream.
struct StreamRecord
{
  uint64_t mOffset = 0;
  std::string mKey;                  // Of keyed streams.
  std::optional<std::string> mValue; // Nothing: the key was deleted.
};

// Where records were appended.
struct Appended
{
  uint64_t mOffset = 0; // Of the first record.
  bool mJoined = false; // The record at mOffset holds records of other writers too.
};

// Parameters of a read.
struct ReadRange
{
  uint64_t mFrom = 0;
  base::Millis mWait{ 0 };      // Long poll: time to wait for a record if there is none.
  uint32_t mMaxKilobytes = 512; // Of one answer.
  bool mFresh = false;          // The answer tells the end of the stream after the call began.
  bool mStoreOnly = false;      // Not from another gateway's copy.
};

// Consecutive records of a stream.
struct StreamPage
{
  uint64_t mEnd = 0;     // Offset that the next record of the stream will get.
  uint64_t mNext = 0;    // Offset after the last record read; where the next read starts.
  bool mExpired = false; // Records between the start of the read and mNext are no longer kept.
  bool mShared = false;  // From another gateway's copy, which may be behind the store.
  std::vector<StreamRecord> mRecords;
  // Of a copy: time since it last had all records of the store.
  base::Millis mAge{ 0 };
};

// The newest record of each key of a keyed stream.
struct StreamSnapshot
{
  uint64_t mEnd = 0; // Where a read for later changes starts.
  std::vector<StreamRecord> mRecords;
};

// Client interface of the platform's log. Calls may run concurrently on one event loop. Errors:
// LogUnavailable if the call certainly had no effect, OutcomeUnknown if it may have one, now or
// later.
class LogStore
{
public:
  template<typename T>
  using Async = boost::asio::awaitable<base::Result<T>>;

  virtual ~LogStore() = default;

  // Appends aRecords to a stream without keys, all or none.
  virtual Async<Appended> Append(StreamId aStream,
                                 std::vector<std::string> aRecords,
                                 base::Millis aTimeout) = 0;

  // Sets the value of a key of a keyed stream.
  virtual Async<Appended> Put(StreamId aStream,
                              std::string aKey,
                              std::string aValue,
                              base::Millis aTimeout) = 0;

  virtual Async<StreamPage> Read(StreamId aStream, ReadRange aRange, base::Millis aTimeout) = 0;

  // Reads the newest record of each key.
  virtual Async<StreamSnapshot> Newest(StreamId aStream, base::Millis aTimeout) = 0;
};

}
