#include "sycamore/base/error_kind.h"

#include <array>
#include <cassert>

namespace sycamore::base {

using K = ErrorKind;
using R = RunState;

static constexpr std::array<Answer, kErrorKindCount> kAnswers{ {
  { K::MalformedBody, "malformed_body", 400, R::NotRun, false },
  { K::BodyTooLarge, "body_too_large", 413, R::NotRun, false },
  { K::HeaderTooLarge, "header_too_large", 431, R::NotRun, false },
  { K::RequestTimeout, "request_timeout", 408, R::NotRun, true },
  { K::InvalidField, "invalid_field", 422, R::NotRun, false },
  { K::UnknownRoute, "unknown_route", 404, R::NotACall, false },
  { K::MethodNotAllowed, "method_not_allowed", 405, R::NotACall, false },
  { K::UnknownAccount, "unknown_account", 403, R::NotRun, false },
  { K::UnknownKey, "unknown_key", 401, R::NotRun, false },
  { K::UnknownProgram, "unknown_program", 404, R::NotRun, false },
  { K::UnknownTurn, "unknown_turn", 404, R::NotRun, false },
  { K::UnknownService, "unknown_service", 404, R::NotRun, false },
  { K::UnknownRow, "unknown_row", 404, R::NotACall, false },
  { K::ProgramExpired, "program_expired", 410, R::NotRun, false },
  { K::ProgramEnded, "program_ended", 409, R::NotRun, false },
  { K::CallNotFound, "call_not_found", 404, R::Uncommitted, true },
  { K::TurnOutOfOrder, "turn_out_of_order", 409, R::NotRun, false },
  { K::CallInFlight, "call_in_flight", 409, R::NotRun, true },
  { K::KeyReused, "key_reused", 409, R::NotRun, false },
  { K::KeyMissing, "key_missing", 422, R::NotRun, false },
  { K::BudgetExceeded, "budget_exceeded", 402, R::NotRun, false },
  { K::TurnLimit, "turn_limit", 409, R::NotRun, false },
  { K::RequestLimit, "request_limit", 429, R::NotRun, true },
  { K::TokenLimit, "token_limit", 429, R::NotRun, true },
  { K::ConcurrencyLimit, "concurrency_limit", 429, R::NotRun, true },
  { K::EditConflict, "edit_conflict", 409, R::NotACall, false },
  { K::InvalidEdit, "invalid_edit", 422, R::NotACall, false },
  { K::ConfigStale, "config_stale", 503, R::NotRun, true },
  { K::LogUnavailable, "log_unavailable", 503, R::NotRun, true },
  { K::Uncommitted, "uncommitted", 503, R::Uncommitted, true },
  { K::NotOwner, "not_owner", 503, R::NotRun, true },
  { K::OwnerUnavailable, "owner_unavailable", 503, R::Uncommitted, true },
  { K::Overloaded, "overloaded", 503, R::NotRun, true },
  { K::Stopping, "stopping", 503, R::NotRun, true },
  { K::TargetLeaving, "target_leaving", 503, R::NotRun, true },
  { K::NoTarget, "no_target", 503, R::NotRun, true },
  { K::TargetRefused, "target_refused", 502, R::NotRun, true },
  { K::TargetFailed, "target_failed", 502, R::Uncommitted, true },
  { K::TargetTimeout, "target_timeout", 504, R::Uncommitted, true },
  { K::CrashesTargets, "crashes_targets", 503, R::NotRun, false },
  { K::DeadlineExceeded, "deadline_exceeded", 504, R::Uncommitted, true },
  { K::OutcomeUnknown, "outcome_unknown", 502, R::Unknown, false },
  { K::SealedNotRun, "sealed_not_run", 409, R::NotRun, false },
  { K::Fenced, "fenced", 503, R::NotRun, true },
  { K::ConnectionLost, "connection_lost", 502, R::Uncommitted, true },
  { K::InvalidSettings, "invalid_settings", 500, R::NotACall, false },
  { K::Internal, "internal", 500, R::Uncommitted, false },
} };

const Answer&
AnswerFor(ErrorKind aKind)
{
  const auto index = static_cast<size_t>(aKind);
  assert(index < kAnswers.size());
  assert(kAnswers[index].mKind == aKind);
  return kAnswers[index];
}

std::string_view
RunStateName(RunState aState)
{
  switch (aState) {
    case R::NotRun:
      return "not_run";
    case R::Uncommitted:
      return "uncommitted";
    case R::Unknown:
      return "unknown";
    case R::NotACall:
      break;
  }
  return "";
}

}
