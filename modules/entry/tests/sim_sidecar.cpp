#include "sim_sidecar.h"

#include "wire_ids.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace sycamore::entry::testing {

SimSidecar::SimSidecar(std::string aName, uint64_t aIncarnation, ExecutionCounts& aExecutions)
  : mName(std::move(aName))
  , mIncarnation(aIncarnation)
  , mExecutions(aExecutions)
{
}

SimSidecar::Id
SimSidecar::IdOf(const wire::CallIdT& aCall)
{
  const std::string name = aCall.key.empty() ? fmt::format("#{}", aCall.seq) : aCall.key;
  return { ProgramOf(aCall), name };
}

void
SimSidecar::OnFrame(size_t aEntry, const wire::FrameT& aFrame)
{
  if (const auto* dispatch = aFrame.body.AsDispatch()) {
    OnDispatch(aEntry, *dispatch);
  } else if (const auto* lookup = aFrame.body.AsLookup()) {
    OnLookup(aEntry, *lookup);
  } else if (const auto* seal = aFrame.body.AsSeal()) {
    OnSeal(aEntry, *seal);
  } else if (const auto* ack = aFrame.body.AsCallAck()) {
    const Id id = IdOf(*ack->call);
    const auto found = mRecords.find(id);
    if (found != mRecords.end() && found->second.mState != wire::CallState::Running) {
      mRecords.erase(found);
      mAcked.insert(id);
    }
  }
}

void
SimSidecar::Refuse(size_t aEntry, const wire::DispatchT& aDispatch)
{
  wire::CallOutcomeT outcome;
  outcome.call = std::make_unique<wire::CallIdT>(*aDispatch.call);
  outcome.attempt = aDispatch.attempt;
  outcome.result = wire::CallResult::NotRun;
  outcome.error = "fenced";
  Reply(aEntry, wire::MakeFrame(std::move(outcome)));
}

void
SimSidecar::OnDispatch(size_t aEntry, const wire::DispatchT& aDispatch)
{
  const Id id = IdOf(*aDispatch.call);
  const auto found = mRecords.find(id);
  const bool known = found != mRecords.end() || mAcked.contains(id);
  uint64_t& highestEpoch = mHighestEpochs[aDispatch.call->partition];
  if (aDispatch.epoch < highestEpoch) {
    if (!known) {
      Refuse(aEntry, aDispatch);
    }
    return;
  }
  highestEpoch = aDispatch.epoch;
  if (aDispatch.repeatable) {
    const bool old =
      found != mRecords.end() && std::pair(found->second.mEpoch, found->second.mDispatch.attempt) >=
                                   std::pair(aDispatch.epoch, aDispatch.attempt);
    if (!old) {
      mRecords.erase(id);
      Start(aEntry, aDispatch);
    }
    return;
  }
  const bool fenced = !known && aDispatch.sidecar_incarnation != mIncarnation;
  const bool sealed = found != mRecords.end() && found->second.mState == wire::CallState::Sealed;
  if (fenced || sealed) {
    Refuse(aEntry, aDispatch);
  } else if (!known) {
    Start(aEntry, aDispatch);
  }
}

void
SimSidecar::Start(size_t aEntry, const wire::DispatchT& aDispatch)
{
  const Id id = IdOf(*aDispatch.call);
  Record& record = mRecords[id];
  record.mDispatch = aDispatch;
  record.mEpoch = aDispatch.epoch;
  record.mEntry = aEntry;
  if (!aDispatch.repeatable) {
    ++mExecutions.mKeyed[id];
  }
  if (aDispatch.kind == wire::CallKind::Model) {
    mExecutions.mTokens[id.first] += aDispatch.prompt_tokens + aDispatch.max_tokens;
  }
}

bool
SimSidecar::AnyRunning() const
{
  return std::any_of(mRecords.begin(), mRecords.end(), [](const auto& aPair) {
    return aPair.second.mState == wire::CallState::Running;
  });
}

void
SimSidecar::FinishCall(size_t aIndex)
{
  std::vector<Record*> running;
  for (auto& [id, record] : mRecords) {
    if (record.mState == wire::CallState::Running) {
      running.push_back(&record);
    }
  }
  if (running.empty()) {
    return;
  }
  Record& record = *running[aIndex % running.size()];
  const wire::DispatchT& dispatch = record.mDispatch;
  record.mState = wire::CallState::Finished;
  wire::CallOutcomeT& outcome = record.mOutcome;
  outcome.call = std::make_unique<wire::CallIdT>(*dispatch.call);
  outcome.attempt = dispatch.attempt;
  outcome.status = 200;
  if (dispatch.kind == wire::CallKind::Model) {
    outcome.body =
      fmt::format(R"({{"choices":[{{"message":{{"role":"assistant","content":"a{}-{}"}}}}]}})",
                  dispatch.call->seq,
                  dispatch.attempt);
    outcome.prompt_tokens = dispatch.prompt_tokens;
    outcome.generated_tokens = dispatch.max_tokens;
  } else {
    outcome.body = fmt::format(R"({{"done":"{}"}})", dispatch.call->key);
  }
  Reply(record.mEntry, wire::MakeFrame(wire::CallOutcomeT(outcome)));
}

void
SimSidecar::OnLookup(size_t aEntry, const wire::LookupT& aLookup)
{
  const auto found = mRecords.find(IdOf(*aLookup.call));
  const bool same = found != mRecords.end() && (!found->second.mDispatch.repeatable ||
                                                found->second.mDispatch.attempt == aLookup.attempt);
  wire::LookupReplyT reply;
  reply.call = std::make_unique<wire::CallIdT>(*aLookup.call);
  reply.attempt = aLookup.attempt;
  reply.state = same ? found->second.mState : wire::CallState::Unseen;
  reply.incarnation = mIncarnation;
  Reply(aEntry, wire::MakeFrame(std::move(reply)));
  if (same) {
    found->second.mEntry = aEntry;
    if (found->second.mState == wire::CallState::Finished) {
      Reply(aEntry, wire::MakeFrame(wire::CallOutcomeT(found->second.mOutcome)));
    }
  }
}

void
SimSidecar::OnSeal(size_t aEntry, const wire::SealT& aSeal)
{
  uint64_t& highestEpoch = mHighestEpochs[aSeal.call->partition];
  if (aSeal.epoch < highestEpoch) {
    return;
  }
  highestEpoch = aSeal.epoch;
  const Id id = IdOf(*aSeal.call);
  wire::SealReplyT reply;
  reply.call = std::make_unique<wire::CallIdT>(*aSeal.call);
  reply.epoch = aSeal.epoch;
  reply.incarnation = mIncarnation;
  auto found = mRecords.find(id);
  if (found == mRecords.end() &&
      (mAcked.contains(id) || aSeal.sidecar_incarnation != mIncarnation)) {
    reply.incarnation = aSeal.sidecar_incarnation == mIncarnation ? 0 : mIncarnation;
    reply.state = wire::CallState::Unseen;
    Reply(aEntry, wire::MakeFrame(std::move(reply)));
    return;
  }
  if (found == mRecords.end()) {
    found = mRecords.emplace(id, Record{}).first;
    found->second.mState = wire::CallState::Sealed;
  }
  found->second.mEntry = aEntry;
  reply.state = found->second.mState;
  Reply(aEntry, wire::MakeFrame(std::move(reply)));
  if (found->second.mState == wire::CallState::Finished) {
    Reply(aEntry, wire::MakeFrame(wire::CallOutcomeT(found->second.mOutcome)));
  }
}

}
