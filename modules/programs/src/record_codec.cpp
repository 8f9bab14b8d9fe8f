#include "sycamore/programs/record_codec.h"

#include "sycamore/base/parse_number.h"
#include "sycamore/wire/program_record_generated.h"
#include "sycamore/wire/table_codec.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <fmt/format.h>
#include <iterator>
#include <limits>
#include <utility>

namespace sycamore::programs {

// Length of an id that is stored as a number: 64 bits in hexadecimal.
static constexpr size_t kPackedDigits = 16;
static constexpr int kHexadecimal = 16;

// Stores an id as a number if it is 16 lower-case hexadecimal digits, and as text otherwise.
static void
PackId(const std::string& aId, uint64_t& aOutPacked, std::string& aOutText)
{
  const bool isPlain =
    aId.size() == kPackedDigits && std::all_of(aId.begin(), aId.end(), [](char aDigit) {
      return (aDigit >= '0' && aDigit <= '9') || (aDigit >= 'a' && aDigit <= 'f');
    });
  if (isPlain) {
    std::from_chars(aId.data(), aId.data() + aId.size(), aOutPacked, kHexadecimal);
  }
  // Zero means that the id is stored as text.
  if (aOutPacked == 0) {
    aOutText = aId;
  }
}

// Stores the id of a program as a number if that gives the same text back.
static void
PackProgram(const std::string& aId, uint64_t& aOutPacked, std::string& aOutText)
{
  const uint64_t number = base::ParseNumber(aId, kHexadecimal).value_or(0);
  if (number != 0 && fmt::format("{:x}", number) == aId) {
    aOutPacked = number;
  } else {
    aOutText = aId;
  }
}

static std::string
UnpackProgram(uint64_t aPacked, const std::string& aText)
{
  return aPacked == 0 ? aText : fmt::format("{:x}", aPacked);
}

static std::string
UnpackId(uint64_t aPacked, const std::string& aText)
{
  return aPacked == 0 ? aText : fmt::format("{:016x}", aPacked);
}

template<typename Table>
static wire::ProgramEventUnion
EventOf(Table aTable)
{
  wire::ProgramEventUnion event;
  event.Set(std::move(aTable));
  return event;
}

static wire::ProgramEventUnion
ToWire(const AttemptReserved& aEvent)
{
  wire::AttemptReservedT table;
  PackId(aEvent.mAttempt, table.attempt, table.attempt_text);
  PackProgram(aEvent.mProgram, table.program_number, table.program);
  table.budget_tokens = aEvent.mBudgetTokens;
  table.max_tokens = aEvent.mMaxTokens;
  return EventOf(std::move(table));
}

static wire::ProgramEventUnion
ToWire(const AttemptEnded& aEvent)
{
  wire::AttemptEndedT table;
  PackId(aEvent.mAttempt, table.attempt, table.attempt_text);
  PackProgram(aEvent.mProgram, table.program_number, table.program);
  table.tokens = aEvent.mTokens;
  return EventOf(std::move(table));
}

static wire::ProgramEventUnion
ToWire(const TurnCompleted& aEvent)
{
  wire::TurnCompletedT table;
  PackId(aEvent.mAttempt, table.attempt, table.attempt_text);
  PackProgram(aEvent.mProgram, table.program_number, table.program);
  PackId(aEvent.mPrevious, table.previous, table.previous_text);
  table.tokens = aEvent.mTokens;
  table.replica = aEvent.mReplica;
  table.retention_ms = static_cast<uint64_t>(aEvent.mRetention.count());
  table.text_from = aEvent.mTextSearchStart;
  table.text_bytes = aEvent.mTextBytes;
  table.text_partition = aEvent.mTextPartition;
  table.writer = aEvent.mWriter;
  table.copy = aEvent.mCopy;
  table.account = aEvent.mAccount;
  return EventOf(std::move(table));
}

static wire::ProgramEventUnion
ToWire(const TextPlaced& aEvent)
{
  wire::TextPlacedT table;
  PackId(aEvent.mAttempt, table.attempt, table.attempt_text);
  table.offset = aEvent.mOffset;
  return EventOf(std::move(table));
}

// Adds aNext to aLast, which is the event before it, if both are ends of attempts of one program
// and their ids are numbers. Returns whether it did.
static bool
MergeEnd(const wire::ProgramEventUnion& aNext, wire::ProgramEventUnion& aLast)
{
  const auto* next = aNext.AsAttemptEnded();
  auto* last = aLast.AsAttemptEnded();
  if (next == nullptr || last == nullptr || next->attempt == 0 || last->attempt == 0 ||
      next->tokens > std::numeric_limits<uint32_t>::max() ||
      next->program_number != last->program_number || next->program != last->program) {
    return false;
  }
  last->more_attempts.push_back(next->attempt);
  last->more_tokens.push_back(static_cast<uint32_t>(next->tokens));
  return true;
}

// Appends the further ends that aEvent holds to aOut. False if they are malformed.
static bool
SplitEnds(const wire::ProgramEventUnion& aEvent, std::vector<ProgramEvent>& aOut)
{
  const auto* ended = aEvent.AsAttemptEnded();
  if (ended == nullptr) {
    return true;
  }
  if (ended->more_attempts.size() != ended->more_tokens.size()) {
    return false;
  }
  for (size_t i = 0; i < ended->more_attempts.size(); ++i) {
    aOut.emplace_back(AttemptEnded{ UnpackId(ended->more_attempts[i], ""),
                                    UnpackProgram(ended->program_number, ended->program),
                                    ended->more_tokens[i] });
  }
  return true;
}

static std::optional<ProgramEvent>
FromWire(const wire::ProgramEventUnion& aEvent)
{
  if (const auto* reserved = aEvent.AsAttemptReserved()) {
    return AttemptReserved{ UnpackId(reserved->attempt, reserved->attempt_text),
                            UnpackProgram(reserved->program_number, reserved->program),
                            reserved->budget_tokens,
                            reserved->max_tokens };
  }
  if (const auto* ended = aEvent.AsAttemptEnded()) {
    return AttemptEnded{ UnpackId(ended->attempt, ended->attempt_text),
                         UnpackProgram(ended->program_number, ended->program),
                         ended->tokens };
  }
  if (const auto* turn = aEvent.AsTurnCompleted()) {
    return TurnCompleted{ UnpackId(turn->attempt, turn->attempt_text),
                          UnpackProgram(turn->program_number, turn->program),
                          UnpackId(turn->previous, turn->previous_text),
                          turn->tokens,
                          turn->replica,
                          base::Millis(turn->retention_ms),
                          turn->text_from,
                          turn->text_bytes,
                          turn->text_partition,
                          turn->writer,
                          turn->copy,
                          turn->account };
  }
  if (const auto* placed = aEvent.AsTextPlaced()) {
    return TextPlaced{ UnpackId(placed->attempt, placed->attempt_text), placed->offset };
  }
  return std::nullopt;
}

std::string
EncodeRecord(const ProgramRecord& aRecord)
{
  wire::ProgramRecordT table;
  table.unix_ms = static_cast<uint64_t>(aRecord.mWrittenAt.count());
  for (const ProgramEvent& event : aRecord.mEvents) {
    auto next = std::visit([](const auto& aEvent) { return ToWire(aEvent); }, event);
    if (table.events.empty() || !MergeEnd(next, table.events.back())) {
      table.events.push_back(std::move(next));
    }
  }
  return wire::EncodeTable<wire::ProgramRecord>(table);
}

std::optional<ProgramRecord>
DecodeRecord(std::string_view aBytes)
{
  const auto table = wire::DecodeTable<wire::ProgramRecord>(aBytes);
  if (!table) {
    return std::nullopt;
  }
  ProgramRecord record{ base::Millis(table->unix_ms), {} };
  for (const wire::ProgramEventUnion& entry : table->events) {
    auto event = FromWire(entry);
    if (!event) {
      return std::nullopt;
    }
    record.mEvents.push_back(std::move(*event));
    if (!SplitEnds(entry, record.mEvents)) {
      return std::nullopt;
    }
  }
  return record.mEvents.empty() ? std::nullopt : std::optional<ProgramRecord>(std::move(record));
}

std::string
JoinRecords(const std::vector<std::string>& aRecords)
{
  ProgramRecord joined;
  for (const std::string& bytes : aRecords) {
    auto record = DecodeRecord(bytes);
    assert(record);
    joined.mWrittenAt = std::max(joined.mWrittenAt, record->mWrittenAt);
    std::move(record->mEvents.begin(), record->mEvents.end(), std::back_inserter(joined.mEvents));
  }
  return EncodeRecord(joined);
}

}
