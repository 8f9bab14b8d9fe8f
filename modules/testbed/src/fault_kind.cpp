#include "sycamore/testbed/fault_kind.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamore::testbed {

static constexpr std::pair<FaultKind, std::string_view> kNames[] = {
  { FaultKind::Refuse, "refuse" },
  { FaultKind::Hang, "hang" },
  { FaultKind::Slow, "slow" },
  { FaultKind::LoseAnswer, "lose_answer" },
  { FaultKind::FailAfterRun, "fail_after_run" },
  { FaultKind::StallStream, "stall_stream" },
  { FaultKind::TruncateStream, "truncate_stream" },
};

std::string_view
FaultKindName(FaultKind aKind)
{
  const auto* row = std::find_if(std::begin(kNames), std::end(kNames), [aKind](const auto& aRow) {
    return aRow.first == aKind;
  });
  return row == std::end(kNames) ? std::string_view() : row->second;
}

std::optional<FaultKind>
ParseFaultKind(std::string_view aName)
{
  const auto* row = std::find_if(std::begin(kNames), std::end(kNames), [aName](const auto& aRow) {
    return aRow.second == aName;
  });
  return row == std::end(kNames) ? std::nullopt : std::optional<FaultKind>(row->first);
}

}
