#include "sycamore/programs/record_codec.h"

#include "sycamore/wire/program_record_generated.h"

#include <flatbuffers/flatbuffers.h>
#include <utility>

namespace sycamore::programs {

static std::vector<uint8_t>
ToBytes(const std::string& aText)
{
  return { aText.begin(), aText.end() };
}

static std::string
ToText(const std::vector<uint8_t>& aBytes)
{
  return { aBytes.begin(), aBytes.end() };
}

static wire::ProgramEventUnion
ToWire(const AttemptReserved& aEvent)
{
  wire::AttemptReservedT table;
  table.attempt = aEvent.mAttempt;
  table.program = aEvent.mProgram;
  table.budget_tokens = aEvent.mBudgetTokens;
  table.max_tokens = aEvent.mMaxTokens;
  wire::ProgramEventUnion event;
  event.Set(std::move(table));
  return event;
}

static wire::ProgramEventUnion
ToWire(const AttemptEnded& aEvent)
{
  wire::AttemptEndedT table;
  table.attempt = aEvent.mAttempt;
  table.program = aEvent.mProgram;
  table.tokens = aEvent.mTokens;
  wire::ProgramEventUnion event;
  event.Set(std::move(table));
  return event;
}

static wire::ProgramEventUnion
ToWire(const TurnCompleted& aEvent)
{
  wire::TurnCompletedT table;
  table.attempt = aEvent.mAttempt;
  table.program = aEvent.mProgram;
  table.previous = aEvent.mPrevious;
  table.input = ToBytes(aEvent.mInput);
  table.output = ToBytes(aEvent.mOutput);
  table.tokens = aEvent.mTokens;
  table.replica = aEvent.mReplica;
  table.retention_ms = static_cast<uint64_t>(aEvent.mRetention.count());
  wire::ProgramEventUnion event;
  event.Set(std::move(table));
  return event;
}

static std::optional<ProgramEvent>
FromWire(const wire::ProgramEventUnion& aEvent)
{
  if (const auto* reserved = aEvent.AsAttemptReserved()) {
    return AttemptReserved{
      reserved->attempt, reserved->program, reserved->budget_tokens, reserved->max_tokens
    };
  }
  if (const auto* ended = aEvent.AsAttemptEnded()) {
    return AttemptEnded{ ended->attempt, ended->program, ended->tokens };
  }
  if (const auto* turn = aEvent.AsTurnCompleted()) {
    return TurnCompleted{ turn->attempt,        turn->program,
                          turn->previous,       ToText(turn->input),
                          ToText(turn->output), turn->tokens,
                          turn->replica,        base::Millis(turn->retention_ms) };
  }
  return std::nullopt;
}

std::string
EncodeRecord(const ProgramRecord& aRecord)
{
  wire::ProgramRecordT table;
  table.unix_ms = static_cast<uint64_t>(aRecord.mWrittenAt.count());
  table.event = std::visit([](const auto& aEvent) { return ToWire(aEvent); }, aRecord.mEvent);
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::ProgramRecord::Pack(builder, &table));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

std::optional<ProgramRecord>
DecodeRecord(std::string_view aBytes)
{
  // The verifier requires aligned data, which a slice of a response does not guarantee.
  const std::vector<uint8_t> aligned(aBytes.begin(), aBytes.end());
  flatbuffers::Verifier verifier(aligned.data(), aligned.size());
  if (!wire::VerifyProgramRecordBuffer(verifier)) {
    return std::nullopt;
  }
  wire::ProgramRecordT table;
  wire::GetProgramRecord(aligned.data())->UnPackTo(&table);
  auto event = FromWire(table.event);
  if (!event) {
    return std::nullopt;
  }
  return ProgramRecord{ base::Millis(table.unix_ms), std::move(*event) };
}

}
