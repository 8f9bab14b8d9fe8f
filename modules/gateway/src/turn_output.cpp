#include "turn_output.h"

#include "sycamore/base/parse_number.h"

#include <algorithm>
#include <utility>

namespace sycamore::gateway {

// Offset after the last empty line of aText, 0 if there is none.
static size_t
EndOfLastEvent(std::string_view aText)
{
  const size_t lf = aText.rfind("\n\n");
  const size_t crlf = aText.rfind("\n\r\n");
  const size_t afterLf = lf == std::string_view::npos ? 0 : lf + 2;
  const size_t afterCrlf = crlf == std::string_view::npos ? 0 : crlf + 3;
  return std::max(afterLf, afterCrlf);
}

TurnOutput::TurnOutput(const HeaderCodec& aHeaderCodec, Keep aKeep)
  : mHeaderCodec(aHeaderCodec)
  , mKeep(aKeep)
{
}

std::string
TurnOutput::Add(std::string_view aBytes)
{
  mRest += aBytes;
  std::string whole = mRest.substr(0, EndOfLastEvent(mRest));
  mRest.erase(0, whole.size());
  NoteVersions(whole);
  mParser.Feed(whole, [this](const client::ServerEvent& aEvent) { NoteEvent(aEvent); });
  return whole;
}

void
TurnOutput::BeginPart(std::optional<uint64_t> aVersion)
{
  ++mParts;
  mRest.clear();
  mVersion = aVersion ? aVersion : mVersion;
}

void
TurnOutput::NoteEvent(const client::ServerEvent& aEvent)
{
  ++mEventCount;
  if (mKeep == Keep::History) {
    mHistory += aEvent.mData;
    mHistory += '\n';
  }
  const std::optional<uint64_t> last = std::exchange(mLastId, base::ParseNumber(aEvent.mId));
  if (!last) {
    return;
  }
  if (mParts <= 1) {
    mIdStep = mLastId && *mLastId > *last ? std::optional(*mLastId - *last) : std::nullopt;
    return;
  }
  const bool grows = mLastId && *mLastId > *last;
  mInSequence = mInSequence && grows && (!mIdStep || *mLastId - *last == *mIdStep);
}

// An event at which the weights change carries the new version as its first line.
void
TurnOutput::NoteVersions(std::string_view aEvents)
{
  bool first = true;
  while (!aEvents.empty()) {
    const size_t end = aEvents.find('\n');
    std::string_view line = aEvents.substr(0, end);
    aEvents.remove_prefix(end == std::string_view::npos ? aEvents.size() : end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (first) {
      if (const auto version = mHeaderCodec.DecodeWeightVersion(line)) {
        mVersion = version;
      }
    }
    first = line.empty();
  }
}

std::optional<ResumePoint>
TurnOutput::Resume() const
{
  return mLastId && mInSequence ? std::optional(ResumePoint{ *mLastId, mVersion }) : std::nullopt;
}

}
