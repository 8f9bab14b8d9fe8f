#include "forwarder.h"

#include "event_buffer.h"
#include "sycamore/http/error_body.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamore::entry {

using base::ErrorKind;

// Limit of requests that wait for an owner, over all partitions. Further requests are rejected.
static constexpr size_t kMaxParked = 1024;

// A request is forwarded at most this many times, so that two entries that disagree about the owner
// do not forward it to each other in a loop.
static constexpr uint32_t kMaxHops = 2;

// Time past the request's deadline after which the owner counts as unresponsive.
static constexpr base::Millis kDeadlineSlack{ 2000 };

Forwarder::Forwarder(Context& aContext, Answers& aAnswers, Peers& aPeers, PartitionMap& aPartitions)
  : mContext(aContext)
  , mAnswers(aAnswers)
  , mPeers(aPeers)
  , mPartitions(aPartitions)
{
}

static wire::ForwardT
ToWire(const Incoming& aIncoming, uint64_t aId, base::TimePoint aNow)
{
  const auto left = std::chrono::duration_cast<base::Millis>(aIncoming.mDeadline - aNow);
  wire::ForwardT forward;
  forward.request = aId;
  forward.method = aIncoming.mMethod;
  forward.path = aIncoming.mPath;
  forward.body = aIncoming.mBody;
  forward.last_event_id = aIncoming.mLastEventId;
  forward.accepts_stream = aIncoming.mAcceptsStream;
  forward.deadline_ms = static_cast<uint64_t>(std::max<int64_t>(0, left.count()));
  forward.hops = aIncoming.mHops + 1;
  return forward;
}

// The error says Uncommitted and never NotRun: only the owner knows whether an earlier request with
// the same seq or key ran.
void
Forwarder::Refuse(const Incoming& aIncoming, const base::Error& aError)
{
  mAnswers.Fail(aIncoming.mReply, aError, base::RunState::Uncommitted);
}

void
Forwarder::Forward(Incoming aIncoming, uint32_t aPartition)
{
  const std::string owner = mPartitions.RemoteOwner(aPartition);
  if (owner.empty()) {
    Park(std::move(aIncoming), aPartition);
    return;
  }
  if (aIncoming.mHops >= kMaxHops) {
    Refuse(aIncoming,
           { ErrorKind::NotOwner, "the owner of the program has changed; try again", "" });
    return;
  }
  const Peer* peer = mPeers.Entry(owner);
  const uint64_t id = mNextId++;
  const bool sent =
    mContext.mEffects.SendFrame(peer->mLink, wire::MakeFrame(ToWire(aIncoming, id, mContext.mNow)));
  if (!sent) {
    Refuse(aIncoming, { ErrorKind::Overloaded, "the owner of the program cannot be reached", "" });
    return;
  }
  ++mContext.mStats.mForwards;
  mSent[id] =
    Sent{ aIncoming.mReply, peer->mLink, false, false, aIncoming.mDeadline + kDeadlineSlack };
}

void
Forwarder::Park(Incoming aIncoming, uint32_t aPartition)
{
  if (ParkedCount() >= kMaxParked) {
    Refuse(aIncoming, { ErrorKind::Overloaded, "too many requests wait for an owner", "" });
    return;
  }
  // A takeover takes one owner timeout, one read of the stream and one append.
  const base::TimePoint until =
    std::min(aIncoming.mDeadline, mContext.mNow + 3 * mContext.mSettings.mOwnerTimeout);
  mParked[aPartition].push_back({ std::move(aIncoming), until });
}

std::deque<Incoming>
Forwarder::TakeParked(uint32_t aPartition)
{
  std::deque<Incoming> taken;
  const auto node = mParked.extract(aPartition);
  if (!node.empty()) {
    for (Parked& parked : node.mapped()) {
      taken.push_back(std::move(parked.mIncoming));
    }
  }
  return taken;
}

void
Forwarder::OnPart(transport::LinkId aLink, const wire::ForwardPartT& aPart)
{
  const auto found = mSent.find(aPart.request);
  if (found == mSent.end() || found->second.mLink != aLink) {
    return;
  }
  Sent& sent = found->second;
  http::ResponsePart part;
  part.mFirst = aPart.first;
  part.mLast = aPart.last;
  part.mStatus = static_cast<int>(aPart.status);
  part.mContentType = aPart.content_type;
  part.mBody = aPart.body;
  part.mRetryAfter = base::Millis{ static_cast<int64_t>(aPart.retry_after_ms) };
  const ReplyTo reply = sent.mReply;
  sent.mStream = sent.mStream || (aPart.first && !aPart.last);
  sent.mStarted = true;
  if (aPart.last) {
    mSent.erase(found);
  }
  mAnswers.Send(reply, std::move(part));
}

void
Forwarder::Fail(const Sent& aSent, const base::Error& aError)
{
  if (!aSent.mStarted) {
    mAnswers.Fail(aSent.mReply, aError);
    return;
  }
  http::ResponsePart part;
  part.mFirst = false;
  part.mBody = RenderEvent("error", http::ErrorBody(aError));
  mAnswers.Send(aSent.mReply, std::move(part));
}

void
Forwarder::OnLinkLost(transport::LinkId aLink)
{
  std::vector<uint64_t> lost;
  for (const auto& [id, sent] : mSent) {
    if (sent.mLink == aLink) {
      lost.push_back(id);
    }
  }
  for (const uint64_t id : lost) {
    const auto node = mSent.extract(id);
    Fail(node.mapped(),
         { ErrorKind::OwnerUnavailable,
           "the connection to the program's owner was lost; send the same request again",
           "" });
  }
}

void
Forwarder::OnClosed(const ReplyTo& aReply)
{
  const auto found = std::find_if(
    mSent.begin(), mSent.end(), [&](const auto& aPair) { return aPair.second.mReply == aReply; });
  if (found == mSent.end()) {
    return;
  }
  wire::ForwardCancelT cancel;
  cancel.request = found->first;
  mContext.mEffects.SendFrame(found->second.mLink, wire::MakeFrame(cancel));
  mSent.erase(found);
}

void
Forwarder::OnTick()
{
  std::vector<uint64_t> late;
  for (const auto& [id, sent] : mSent) {
    if (mContext.mNow >= sent.mDeadline && !sent.mStream) {
      late.push_back(id);
    }
  }
  for (const uint64_t id : late) {
    const auto node = mSent.extract(id);
    Fail(node.mapped(),
         { ErrorKind::OwnerUnavailable, "the program's owner did not answer in time", "" });
  }
  for (auto& [partition, parked] : mParked) {
    for (const Parked& one : parked) {
      if (mContext.mNow >= one.mUntil) {
        Refuse(one.mIncoming,
               { ErrorKind::NotOwner, "the partition of the program has no known owner", "" });
      }
    }
    std::erase_if(parked,
                  [this](const Parked& aParked) { return mContext.mNow >= aParked.mUntil; });
  }
}

size_t
Forwarder::ParkedCount() const
{
  size_t count = 0;
  for (const auto& [partition, parked] : mParked) {
    count += parked.size();
  }
  return count;
}

}
