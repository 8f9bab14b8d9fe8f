#pragma once

#include "answers.h"
#include "context.h"
#include "incoming.h"
#include "partition_map.h"
#include "peers.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace sycamore::entry {

// Forwards requests to the owners of their partitions and passes the answers back. Requests for a
// partition without a known owner are parked for a limited time.
class Forwarder
{
public:
  Forwarder(Context& aContext, Answers& aAnswers, Peers& aPeers, PartitionMap& aPartitions);

  // Sends aIncoming to the owner of aPartition, which is not this entry; parks it if the owner is
  // unknown.
  void Forward(Incoming aIncoming, uint32_t aPartition);

  // Removes and returns the requests parked for aPartition, which the caller handles again.
  std::deque<Incoming> TakeParked(uint32_t aPartition);

  void OnPart(transport::LinkId aLink, const wire::ForwardPartT& aPart);
  void OnLinkLost(transport::LinkId aLink);

  // The caller of aReply closed its connection: cancels the forwarded request.
  void OnClosed(const ReplyTo& aReply);

  // Answers requests that have waited too long with an error.
  void OnTick();

  size_t ParkedCount() const;
  size_t SentCount() const { return mSent.size(); }

private:
  struct Sent
  {
    ReplyTo mReply;
    transport::LinkId mLink = 0;
    bool mStarted = false; // The first part was passed on.
    bool mStream = false;
    base::TimePoint mDeadline;
  };

  struct Parked
  {
    Incoming mIncoming;
    base::TimePoint mUntil;
  };

  void Park(Incoming aIncoming, uint32_t aPartition);
  void Refuse(const Incoming& aIncoming, const base::Error& aError);
  void Fail(const Sent& aSent, const base::Error& aError);

  Context& mContext;
  Answers& mAnswers;
  Peers& mPeers;
  PartitionMap& mPartitions;
  uint64_t mNextId = 1;
  std::map<uint64_t, Sent> mSent;
  std::map<uint32_t, std::deque<Parked>> mParked;
};

}
