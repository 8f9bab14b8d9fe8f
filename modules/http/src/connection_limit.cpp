#include "sycamore/http/connection_limit.h"

#include "sycamore/base/log.h"

#include <utility>

namespace sycamore::http {

static constexpr base::Seconds kLogInterval{ 1 };
// A client that has read nothing of its answer for this long reads none: the kernel's buffers took
// all but the longest answers at once.
static constexpr base::Seconds kStalledWriteAfter{ 1 };

ConnectionLimit::Member::Member(ConnectionLimit& aLimit, std::function<void()> aClose)
  : mLimit(aLimit)
  , mAlive(aLimit.mAlive)
  , mClose(std::move(aClose))
{
  auto& idle = mLimit.Members(mPhase);
  mPosition = idle.insert(idle.end(), this);
}

ConnectionLimit::Member::~Member()
{
  if (mListed && !mAlive.expired()) {
    mLimit.Members(mPhase).erase(mPosition);
  }
}

void
ConnectionLimit::Member::Enter(ConnectionPhase aPhase)
{
  if (!mListed || aPhase == mPhase) {
    return;
  }
  auto& members = mLimit.Members(aPhase);
  members.splice(members.end(), mLimit.Members(mPhase), mPosition);
  mPhase = aPhase;
  if (aPhase == ConnectionPhase::Writing) {
    mWritingSince = base::Clock::now();
  }
}

ConnectionLimit::ConnectionLimit(std::string aName, size_t aMax, Yields aYields)
  : mName(std::move(aName))
  , mMax(aMax)
  , mYields(aYields)
{
}

std::list<ConnectionLimit::Member*>&
ConnectionLimit::Members(ConnectionPhase aPhase)
{
  return mMembers[static_cast<size_t>(aPhase)];
}

size_t
ConnectionLimit::Open() const
{
  size_t open = 0;
  for (const auto& members : mMembers) {
    open += members.size();
  }
  return open;
}

bool
ConnectionLimit::MakeRoom()
{
  if (Open() < mMax) {
    return true;
  }
  if (CloseFirst(ConnectionPhase::Idle, nullptr) || CloseFirst(ConnectionPhase::Reading, nullptr) ||
      (HasStalledWriter() && CloseFirst(ConnectionPhase::Writing, nullptr)) ||
      (mYields == Yields::All && CloseFirst(ConnectionPhase::Writing, nullptr)) ||
      (mYields == Yields::All && CloseFirst(ConnectionPhase::Serving, nullptr))) {
    return true;
  }
  NoteYield("refused");
  return false;
}

bool
ConnectionLimit::HasStalledWriter()
{
  const auto& writers = Members(ConnectionPhase::Writing);
  return !writers.empty() &&
         base::Clock::now() - writers.front()->mWritingSince > kStalledWriteAfter;
}

bool
ConnectionLimit::CloseReading(const Member& aExcept)
{
  return CloseFirst(ConnectionPhase::Reading, &aExcept);
}

bool
ConnectionLimit::CloseFirst(ConnectionPhase aPhase, const Member* aExcept)
{
  auto& members = Members(aPhase);
  auto first = members.begin();
  if (first != members.end() && *first == aExcept) {
    ++first;
  }
  if (first == members.end()) {
    return false;
  }
  Member& member = **first;
  members.erase(first);
  member.mListed = false;
  static constexpr const char* kNames[] = {
    "closed_idle", "closed_reading", "closed_writing", "closed_serving"
  };
  NoteYield(kNames[static_cast<size_t>(aPhase)]);
  member.mClose();
  return true;
}

void
ConnectionLimit::NoteYield(const char* aWhat)
{
  ++mYielded;
  ++mYieldedSinceLog;
  const base::TimePoint now = base::Clock::now();
  if (now < mNextLog) {
    return;
  }
  mNextLog = now + kLogInterval;
  base::Log(base::LogEvent::ConnectionsYielded,
            "address={} last={} open={} max={} yielded={}",
            mName,
            aWhat,
            Open(),
            mMax,
            std::exchange(mYieldedSinceLog, 0));
}

}
