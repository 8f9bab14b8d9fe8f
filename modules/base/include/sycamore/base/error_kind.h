#pragma once

#include <cstdint>
#include <string_view>

namespace sycamore::base {

// The closed list of errors that a caller or operator can see. Each has one row in the answer table
// (see AnswerFor).
enum class ErrorKind : uint8_t
{
  MalformedBody,
  BodyTooLarge,
  HeaderTooLarge,
  RequestTimeout,
  InvalidField,
  UnknownRoute,
  MethodNotAllowed,
  UnknownAccount,
  UnknownKey,
  UnknownProgram,
  UnknownTurn,
  UnknownService,
  UnknownRow,
  ProgramExpired,
  ProgramEnded,
  CallNotFound,
  TurnOutOfOrder,
  CallInFlight,
  KeyReused,
  KeyMissing,
  BudgetExceeded,
  TurnLimit,
  RequestLimit,
  TokenLimit,
  ConcurrencyLimit,
  EditConflict,
  InvalidEdit,
  ConfigStale,
  LogUnavailable,
  Uncommitted,
  NotOwner,
  OwnerUnavailable,
  Overloaded,
  Stopping,
  TargetLeaving,
  NoTarget,
  TargetRefused,
  TargetFailed,
  TargetTimeout,
  CrashesTargets,
  DeadlineExceeded,
  OutcomeUnknown,
  SealedNotRun,
  Fenced,
  ConnectionLost,
  InvalidSettings,
  Internal,
};

// What an error says about the execution of the call it answers.
enum class RunState : uint8_t
{
  NotRun,      // The call did not run and will not run.
  Uncommitted, // The call ran or may have run, now or by an earlier request; the caller may send
               // the same request again, and receives the recorded outcome if there is one.
  Unknown,     // A non-idempotent call may have run; it will not be repeated.
  NotACall,    // The request was not a call.
};

// One row of the table from error kind to answer.
struct Answer
{
  ErrorKind mKind;
  std::string_view mCode; // Stable identifier in the JSON body.
  int mHttpStatus;
  RunState mRun;
  bool mRetryable; // Whether the same request may succeed later.
};

// Returns the row of aKind. The table is complete; each kind has exactly one row.
const Answer&
AnswerFor(ErrorKind aKind);

// Returns "not_run", "uncommitted", "unknown" or an empty string for NotACall.
std::string_view
RunStateName(RunState aState);

// Number of error kinds; the table has as many rows.
constexpr size_t kErrorKindCount = static_cast<size_t>(ErrorKind::Internal) + 1;

}
