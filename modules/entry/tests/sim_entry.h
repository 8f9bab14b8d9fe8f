#pragma once

#include "sim_log.h"
#include "sycamore/entry/entry_core.h"

#include <boost/json/value.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::entry::testing {

// What a caller received.
struct Received
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
  base::Millis mRetryAfter{ 0 };
  int mFirstParts = 0;
  int mLastParts = 0;

  bool Complete() const { return mLastParts > 0; }
  boost::json::value Json() const;
  std::string ErrorCode() const; // Empty if it is no error.
  std::string Run() const;
};

// One entry core with a recorded outside. Time moves only by the test.
class SimEntry : public Effects
{
public:
  SimEntry(SimLog& aLog, const std::string& aName, uint64_t aIncarnation, base::TimePoint aNow);

  // Handles an event and then everything that follows from it without time passing.
  void Do(CoreEvent aEvent);
  void Settle();

  // Lets time pass in ticks of 50 ms.
  void Pass(base::Millis aTime);

  // A jump without ticks, as after a pause of the process.
  void Jump(base::Millis aTime) { mNow += aTime; }

  // Sends a request and returns its id.
  uint64_t Request(const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aBody = "");
  uint64_t Resume(const std::string& aPath, const std::string& aLastEventId);
  Received& Answer(uint64_t aRequest) { return mAnswers[aRequest]; }

  // Request, and its answer so far.
  Received& Ask(const std::string& aMethod,
                const std::string& aPath,
                const std::string& aBody = "");

  // Confirms a table with one wide row for account "acme".
  void GiveTable();
  void GiveTable(const table::Table& aTable);

  // Connects a sidecar with one target named `<instance>-target`.
  transport::LinkId ConnectSidecar(const std::string& aInstance,
                                   uint64_t aIncarnation,
                                   const std::string& aService,
                                   const std::string& aKind);
  void Disconnect(transport::LinkId aLink);
  void Frame(transport::LinkId aLink, wire::FrameT aFrame);

  // The first frame of type T sent on aLink that was not taken yet; nothing if there is none.
  template<typename T>
  std::optional<T> Take(transport::LinkId aLink)
  {
    for (auto it = mFrames.begin(); it != mFrames.end(); ++it) {
      if (it->first == aLink && it->second.body.type == wire::BodyUnionTraits<T>::enum_value) {
        T taken(std::move(*static_cast<T*>(it->second.body.value)));
        mFrames.erase(it);
        return taken;
      }
    }
    return std::nullopt;
  }

  // Answers a dispatch of a model call.
  void AnswerModel(transport::LinkId aLink,
                   const wire::DispatchT& aDispatch,
                   const std::string& aText);
  void AnswerTool(transport::LinkId aLink,
                  const wire::DispatchT& aDispatch,
                  const std::string& aBody);
  void Outcome(transport::LinkId aLink,
               const wire::DispatchT& aDispatch,
               wire::CallResult aResult,
               const std::string& aError);

  // Creates a program of account "acme" and returns its id.
  std::string Create(uint64_t aBudget = 1000000);

  bool Owns(uint32_t aPartition) const;

  // Effects.
  void SendPart(http::ResponsePart aPart) override;
  bool SendFrame(transport::LinkId aLink, const wire::FrameT& aFrame) override;
  void Dial(const http::Endpoint& aEndpoint) override { mDialled.push_back(aEndpoint); }
  void Forget(const http::Endpoint&) override {}
  void Publish(wire::HelloT aHello, wire::HeartbeatT aHeartbeat) override;
  void OpenPartition(uint32_t aPartition) override { mLedger.Open(aPartition); }
  bool Claim(uint32_t aPartition, wire::LogClaimT aClaim, uint64_t aTicket) override;
  bool Append(uint32_t aPartition, wire::LogEntryT aEntry, uint64_t aTicket) override;
  void Abandon(uint32_t aPartition) override { mLedger.Abandon(aPartition); }
  void ReadTurn(uint32_t aPartition,
                uint64_t aOffset,
                const base::ProgramId& aProgram,
                uint32_t aSeq,
                uint64_t aTicket) override;
  void SetLivePartitions(uint32_t) override {}
  void SetCheckpoint(uint32_t aPartition, uint64_t aOffset) override;
  size_t PendingBytes() const override { return mLedger.mPendingBytes; }
  bool SubmitEdit(table::Edit aEdit, uint64_t aTicket) override;

  settings::Settings mSettings;
  base::TimePoint mNow;
  SimLedger mLedger;
  std::unique_ptr<EntryCore> mCore;
  std::deque<std::pair<transport::LinkId, wire::FrameT>> mFrames;
  std::vector<http::Endpoint> mDialled;
  std::vector<std::pair<table::Edit, uint64_t>> mEdits;
  wire::HelloT mHello;
  wire::HeartbeatT mHeartbeat;
  std::map<uint32_t, uint64_t> mCheckpoints;
  std::set<transport::LinkId> mLinks;
  bool mHoldLog = false; // Nothing reaches the log while set.

private:
  std::map<uint64_t, Received> mAnswers;
  uint64_t mNextRequest = 1;
  transport::LinkId mNextLink = 1;
};

// Carries frames between two entries that know each other.
class SimPair
{
public:
  SimPair(SimEntry& aLeft, SimEntry& aRight);

  // Delivers hellos; returns after both sides know each other.
  void Connect();
  void Disconnect();

  // Delivers frames and heartbeats until nothing is left.
  void Deliver();

  // Time passes for both, with frames delivered between.
  void Pass(base::Millis aTime);

private:
  bool Move(SimEntry& aFrom, transport::LinkId aFromLink, SimEntry& aTo, transport::LinkId aToLink);

  SimEntry& mLeft;
  SimEntry& mRight;
  transport::LinkId mLeftLink = 0;
  transport::LinkId mRightLink = 0;
};

}
