#include "history.h"

#include <cassert>

namespace sycamore::entry {

// Concurrent log reads per load. More would let one long history delay the reads of others.
static constexpr size_t kReadsPerLoad = 16;

History::History(Context& aContext)
  : mContext(aContext)
{
}

void
History::Load(const base::ProgramId& aProgram,
              const std::vector<ledger::TurnIndex>& aTurns,
              const std::map<std::string, ledger::KeyState>& aKeys,
              Loaded aDone,
              CacheMode aMode)
{
  const uint64_t id = mNextId++;
  Loading& load = mLoads[id];
  load.mProgram = aProgram;
  load.mDone = std::move(aDone);
  load.mMode = aMode;
  load.mTexts.resize(aTurns.size());
  for (size_t i = 0; i < aTurns.size(); ++i) {
    load.mTexts[i] = Find({ aProgram, aTurns[i].mSeq });
    if (load.mTexts[i] == nullptr) {
      MissingTurn& missing = load.mMissing[i];
      missing.mTurn = aTurns[i];
      const auto key = aKeys.find(aTurns[i].mKey);
      if (key != aKeys.end()) {
        missing.mIntentOffset = key->second.mIntentOffset;
      }
    }
  }
  load.mNext = load.mMissing.begin();
  StartReads(id);
}

void
History::StartReads(uint64_t aLoad)
{
  Loading& load = mLoads.at(aLoad);
  if (load.mMissing.empty()) {
    Finish(aLoad, std::nullopt);
    return;
  }
  while (load.mNext != load.mMissing.end() && load.mReading < kReadsPerLoad) {
    const size_t index = load.mNext->first;
    const uint64_t offset = load.mNext->second.mTurn.mOffset;
    ++load.mNext;
    Read(aLoad, index, offset);
  }
}

void
History::Read(uint64_t aLoad, size_t aIndex, uint64_t aOffset)
{
  Loading& load = mLoads.at(aLoad);
  const uint64_t operationId = mNextId++;
  mReads[operationId] = Reading{ aLoad, aIndex };
  ++load.mReading;
  const uint32_t seq = load.mMissing.at(aIndex).mTurn.mSeq;
  mContext.mEffects.ReadTurn(load.mProgram.mPartition, aOffset, load.mProgram, seq, operationId);
}

void
History::OnRead(const ledger::TurnRead& aEvent)
{
  const auto node = mReads.extract(aEvent.mOperationId);
  if (node.empty()) {
    return;
  }
  const Reading reading = node.mapped();
  const auto load = mLoads.find(reading.mLoad);
  if (load == mLoads.end()) {
    return;
  }
  --load->second.mReading;
  if (!base::IsOk(aEvent.mTurn)) {
    Finish(reading.mLoad, base::ErrorOf(aEvent.mTurn));
    return;
  }
  OnText(reading.mLoad, reading.mIndex, base::ValueOf(aEvent.mTurn));
}

void
History::OnText(uint64_t aLoad, size_t aIndex, const wire::LogTurnT& aTurn)
{
  Loading& load = mLoads.at(aLoad);
  MissingTurn& missing = load.mMissing.at(aIndex);
  TurnText& text = missing.mPartial;
  text.mSeq = missing.mTurn.mSeq;
  text.mKind = missing.mTurn.mKind;
  text.mKey = missing.mTurn.mKey;
  text.mRequestDigest = missing.mTurn.mRequestDigest;
  if (!aTurn.answer.empty()) {
    text.mAnswer = aTurn.answer;
    text.mStatus = aTurn.status;
  }
  if (!aTurn.request.empty()) {
    text.mRequest = aTurn.request;
  }
  const bool needsIntent = text.mRequest.empty() && missing.mIntentOffset != ledger::kNoOffset;
  if (needsIntent) {
    Read(aLoad, aIndex, std::exchange(missing.mIntentOffset, ledger::kNoOffset));
    return;
  }
  DeriveText(text);
  auto shared = std::make_shared<const TurnText>(std::move(text));
  load.mTexts[aIndex] = shared;
  const bool last = load.mMissing.size() == 1;
  load.mMissing.erase(aIndex);
  if (load.mMode == CacheMode::Cache) {
    Put(load.mProgram, std::move(shared));
  }
  if (last) {
    Finish(aLoad, std::nullopt);
  } else if (load.mNext != load.mMissing.end()) {
    StartReads(aLoad);
  }
}

void
History::Finish(uint64_t aLoad, std::optional<base::Error> aError)
{
  auto node = mLoads.extract(aLoad);
  assert(!node.empty());
  Loading& load = node.mapped();
  if (aError) {
    load.mDone(std::move(*aError));
  } else {
    load.mDone(std::move(load.mTexts));
  }
}

void
History::Put(const base::ProgramId& aProgram, TextPtr aText)
{
  const Key key{ aProgram, aText->mSeq };
  const auto found = mTexts.find(key);
  if (found != mTexts.end()) {
    return;
  }
  mBytes += aText->Bytes();
  mLru.push_back(key);
  mTexts[key] = Cached{ std::move(aText), std::prev(mLru.end()) };
  Evict();
}

void
History::Evict()
{
  while (mBytes > mContext.mSettings.mHistoryCacheBytes && !mLru.empty()) {
    const auto oldest = mTexts.find(mLru.front());
    mBytes -= oldest->second.mText->Bytes();
    mTexts.erase(oldest);
    mLru.pop_front();
  }
}

History::TextPtr
History::Find(const Key& aKey)
{
  const auto found = mTexts.find(aKey);
  if (found == mTexts.end()) {
    return nullptr;
  }
  mLru.splice(mLru.end(), mLru, found->second.mLruPosition);
  return found->second.mText;
}

void
History::Erase(const base::ProgramId& aProgram)
{
  auto it = mTexts.lower_bound({ aProgram, 0 });
  while (it != mTexts.end() && it->first.first == aProgram) {
    mBytes -= it->second.mText->Bytes();
    mLru.erase(it->second.mLruPosition);
    it = mTexts.erase(it);
  }
}

void
History::OnLost(uint32_t aPartition)
{
  std::vector<uint64_t> lost;
  for (const auto& [id, load] : mLoads) {
    if (load.mProgram.mPartition == aPartition) {
      lost.push_back(id);
    }
  }
  for (const uint64_t id : lost) {
    Finish(
      id, base::Error{ base::ErrorKind::NotOwner, "the partition has a new owner; try again", "" });
  }
  auto it = mTexts.lower_bound({ base::ProgramId{ aPartition, 0, 0 }, 0 });
  while (it != mTexts.end() && it->first.first.mPartition == aPartition) {
    mBytes -= it->second.mText->Bytes();
    mLru.erase(it->second.mLruPosition);
    it = mTexts.erase(it);
  }
}

}
