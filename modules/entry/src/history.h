#pragma once

#include "context.h"
#include "sycamore/base/program_id.h"
#include "sycamore/ledger/ledger_event.h"
#include "sycamore/ledger/program_state.h"
#include "turn_text.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace sycamore::entry {

enum class CacheMode : uint8_t
{
  Cache,  // Texts read from the log are cached.
  Bypass, // Texts read from the log are needed only once and not cached.
};

// The texts of committed calls: a byte-bounded cache, with misses read from the log.
class History
{
public:
  using TextPtr = std::shared_ptr<const TurnText>;
  using Loaded = std::function<void(const base::Result<std::vector<TextPtr>>&)>;

  explicit History(Context& aContext);

  // Passes the texts of aTurns, in their order, to aDone; before returning if all are cached. aKeys
  // are the program's keys. Errors: LogUnavailable, CallNotFound, NotOwner.
  void Load(const base::ProgramId& aProgram,
            const std::vector<ledger::TurnIndex>& aTurns,
            const std::map<std::string, ledger::KeyState>& aKeys,
            Loaded aDone,
            CacheMode aMode = CacheMode::Cache);

  // Caches the text of a call that was committed here.
  void Put(const base::ProgramId& aProgram, TextPtr aText);

  // Drops the texts of a program.
  void Erase(const base::ProgramId& aProgram);

  void OnRead(const ledger::TurnRead& aEvent);

  // Fails the loads of a partition and drops its texts.
  void OnLost(uint32_t aPartition);

  size_t Bytes() const { return mBytes; }
  size_t Turns() const { return mTexts.size(); }

private:
  using Key = std::pair<base::ProgramId, uint32_t>;

  struct Cached
  {
    TextPtr mText;
    std::list<Key>::iterator mLruPosition;
  };

  struct MissingTurn
  {
    ledger::TurnIndex mTurn;
    uint64_t mIntentOffset = ledger::kNoOffset; // Of a non-idempotent call.
    TurnText mPartial;
  };

  struct Loading
  {
    base::ProgramId mProgram;
    std::vector<TextPtr> mTexts;
    std::map<size_t, MissingTurn> mMissing; // By index in mTexts.
    std::map<size_t, MissingTurn>::iterator mNext;
    size_t mReading = 0;
    CacheMode mMode = CacheMode::Cache;
    Loaded mDone;
  };

  struct Reading
  {
    uint64_t mLoad = 0;
    size_t mIndex = 0;
  };

  TextPtr Find(const Key& aKey);
  void Evict();
  void StartReads(uint64_t aLoad);
  void Read(uint64_t aLoad, size_t aIndex, uint64_t aOffset);
  void OnText(uint64_t aLoad, size_t aIndex, const wire::LogTurnT& aTurn);
  void Finish(uint64_t aLoad, std::optional<base::Error> aError);

  Context& mContext;
  std::map<Key, Cached> mTexts;
  std::list<Key> mLru; // Least recently used first.
  size_t mBytes = 0;
  uint64_t mNextId = 1;
  std::map<uint64_t, Loading> mLoads;
  std::map<uint64_t, Reading> mReads;
};

}
