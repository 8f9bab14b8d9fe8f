#include "editor.h"

#include "sycamore/base/random.h"

#include <fmt/format.h>
#include <thread>
#include <utility>

namespace sycamore::table {

// An edit is answered within this time, below the 7 s in which an accepted edit takes effect.
static constexpr base::Seconds kEditLimit{ 5 };

// Pause before the log is asked again for an edit whose fate is open.
static constexpr base::Millis kRetryPause{ 50 };

Editor::Editor(StreamReader& aReader, std::function<bool()> aStopping)
  : mReader(aReader)
  , mStopping(std::move(aStopping))
{
}

static base::Error
ConflictError(const Edit& aEdit, uint64_t aCurrent)
{
  std::string message =
    aCurrent == 0
      ? fmt::format("{} does not exist", Describe(aEdit))
      : fmt::format("{} is at version {}; read it and repeat the edit with that base_version",
                    Describe(aEdit),
                    aCurrent);
  return { base::ErrorKind::EditConflict, std::move(message), "base_version" };
}

static base::Error
NotApplied(const base::Error& aCause)
{
  return { base::ErrorKind::LogUnavailable,
           fmt::format(
             "the edit was not applied, since the log cannot be used: {}; repeat it later",
             aCause.mMessage),
           "" };
}

bool
Editor::Ended(base::TimePoint aDeadline) const
{
  return mStopping() || base::Clock::now() >= aDeadline;
}

base::Result<uint64_t>
Editor::Apply(const Edit& aEdit)
{
  const auto valid = ValidateEdit(aEdit);
  if (!base::IsOk(valid)) {
    return base::ErrorOf(valid);
  }
  const base::TimePoint deadline = base::Clock::now() + kEditLimit;
  const auto caughtUp = mReader.CatchUp();
  if (!base::IsOk(caughtUp)) {
    return NotApplied(base::ErrorOf(caughtUp));
  }
  for (;;) {
    const uint64_t current = CurrentVersion(mReader.State().Current(), aEdit);
    if (current != aEdit.mBaseVersion) {
      return ConflictError(aEdit, current);
    }
    const auto folded = AppendAndReadBack(aEdit, deadline);
    if (!base::IsOk(folded)) {
      return base::ErrorOf(folded);
    }
    const FoldedRecord& record = base::ValueOf(folded);
    if (record.mVerdict == Verdict::Accepted) {
      return record.mOffset + 1;
    }
    const uint64_t now = CurrentVersion(mReader.State().Current(), aEdit);
    if (now != aEdit.mBaseVersion || Ended(deadline)) {
      return ConflictError(aEdit, now);
    }
    // Refused only because another row was deleted meanwhile; the refusal is final, so the edit can
    // be tried again under a new id.
  }
}

base::Result<FoldedRecord>
Editor::AppendAndReadBack(const Edit& aEdit, base::TimePoint aDeadline)
{
  const EditRecord record{ fmt::format("{:016x}", base::RandomId()),
                           mReader.State().Next(),
                           aEdit };
  mReader.Await(record.mId);
  bool mayBeInLog = false;
  bool appended = false;
  bool readBack = true;
  do {
    if (readBack && !appended) {
      const auto offset = mReader.Append(record);
      appended = base::IsOk(offset);
      const bool surelyNot =
        !appended && base::ErrorOf(offset).mKind == base::ErrorKind::LogUnavailable;
      mayBeInLog = mayBeInLog || !surelyNot;
      if (!mayBeInLog) {
        return NotApplied(base::ErrorOf(offset));
      }
    }
    // An edit whose answer was lost is appended again only after a read shows that it is absent.
    readBack = base::IsOk(mReader.CatchUp());
    if (mReader.Awaited()) {
      return *mReader.Awaited();
    }
    std::this_thread::sleep_for(kRetryPause);
  } while (!Ended(aDeadline));
  return base::Error{ base::ErrorKind::Uncommitted,
                      fmt::format("the log does not tell whether the edit of {} was applied; read "
                                  "the table before repeating it",
                                  Describe(aEdit)),
                      "" };
}

}
