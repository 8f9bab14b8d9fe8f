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

// The response that a caller has received so far.
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
  // The field "run" of the error; empty if it is no error.
  std::string Run() const;
};

// An EntryCore whose effects are recorded or simulated. Only the test advances the time.
class SimEntry : public Effects
{
public:
  SimEntry(SimLog& aLog, const std::string& aName, uint64_t aIncarnation, base::TimePoint aNow);

  // Handles an event, then calls Settle.
  void Do(CoreEvent aEvent);

  // Flushes the ledger and handles its events until there are none. The time does not change.
  void Settle();

  // Advances the time in ticks of 50 ms.
  void AdvanceTime(base::Millis aTime);

  // Advances the time without ticks, as during a pause of the process.
  void AdvanceTimeWithoutTicks(base::Millis aTime) { mNow += aTime; }

  // Sends a request and returns its ID.
  uint64_t Request(const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aBody = "");
  // Requests the event stream at aPath from the event after aLastEventId on; returns the request
  // ID.
  uint64_t Resume(const std::string& aPath, const std::string& aLastEventId);
  Received& Answer(uint64_t aRequest) { return mAnswers[aRequest]; }

  // Sends a request and returns its response so far.
  Received& Ask(const std::string& aMethod,
                const std::string& aPath,
                const std::string& aBody = "");

  // Confirms a table with one row with high limits for account "acme".
  void ConfirmTable();
  void ConfirmTable(const table::Table& aTable);

  // Connects a sidecar with one target named `<instance>-target`.
  transport::LinkId ConnectSidecar(const std::string& aInstance,
                                   uint64_t aIncarnation,
                                   const std::string& aService,
                                   const std::string& aKind);
  void Disconnect(transport::LinkId aLink);
  void Frame(transport::LinkId aLink, wire::FrameT aFrame);

  // Removes and returns the first remaining frame of type T sent on aLink; nullopt if there is
  // none.
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

  // Sends the successful outcome of a model call.
  void AnswerModel(transport::LinkId aLink,
                   const wire::DispatchT& aDispatch,
                   const std::string& aText);

  // Sends the successful outcome of a tool call.
  void AnswerTool(transport::LinkId aLink,
                  const wire::DispatchT& aDispatch,
                  const std::string& aBody);

  // Sends an outcome with the given result and error.
  void Outcome(transport::LinkId aLink,
               const wire::DispatchT& aDispatch,
               wire::CallResult aResult,
               const std::string& aError);

  // Creates a program of account "acme" and returns its ID.
  std::string Create(uint64_t aBudget = 1000000);

  bool Owns(uint32_t aPartition) const;

  // Effects:
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
  bool mHoldLog = false; // While set, Settle does not flush the ledger.

private:
  std::map<uint64_t, Received> mAnswers;
  uint64_t mNextRequest = 1;
  transport::LinkId mNextLink = 1;
};

// Carries frames between two entries that are connected as peers.
class SimPair
{
public:
  SimPair(SimEntry& aLeft, SimEntry& aRight);

  // Connects the entries as peers and delivers their first frames.
  void Connect();
  void Disconnect();

  // Delivers frames in both directions until none is left.
  void Deliver();

  // Advances the time of both in steps of 500 ms; after each step, delivers heartbeats and frames.
  void AdvanceTime(base::Millis aTime);

private:
  // Delivers one frame; false if there is none.
  bool Move(SimEntry& aFrom, transport::LinkId aFromLink, SimEntry& aTo, transport::LinkId aToLink);

  SimEntry& mLeft;
  SimEntry& mRight;
  transport::LinkId mLeftLink = 0;
  transport::LinkId mRightLink = 0;
};

}
