#pragma once

#include "call_slots.h"
#include "crash_suspects.h"
#include "descriptor_shares.h"
#include "memory_account.h"
#include "memory_shares.h"
#include "metrics.h"
#include "program_budgets.h"
#include "program_logs.h"
#include "refusal_log.h"
#include "replica_limits.h"
#include "replica_pool.h"
#include "shared_facts.h"
#include "shared_prompts.h"
#include "store_paths.h"
#include "sycamore/accounts/account_usage.h"
#include "sycamore/base/random.h"
#include "sycamore/gateway/header_codec.h"
#include "sycamore/gateway/log_store.h"
#include "sycamore/gateway/replica_list.h"
#include "sycamore/gateway/route_table.h"
#include "sycamore/settings/settings.h"
#include "turn_renewals.h"
#include "turn_texts.h"

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace sycamore::gateway {

// The number of partitions of the programs' stream, of the aStorePartitions that the store allows
// for each. Every gateway follows all of them, which costs calls; a partition takes 500 appends a
// second.
uint32_t
ProgramPartitions(uint32_t aStorePartitions);

// The partition of the texts' stream that the gateways of aDomain append to: one of its gateways
// collects their texts.
uint32_t
TextPartition(uint32_t aStorePartitions, const std::string& aDomain);

// State shared by the components of one gateway on its event loop.
struct Context
{
  Context(const boost::asio::any_io_executor& aExecutor,
          StorePaths& aStore,
          const HeaderCodec& aHeaderCodec,
          Metrics& aMetrics,
          const settings::Settings& aSettings)
    : mExecutor(aExecutor)
    , mHeaderCodec(aHeaderCodec)
    , mMetrics(aMetrics)
    , mStore(aStore)
    , mShares(SharesOf(aSettings.mDescriptors > 0 ? aSettings.mDescriptors : DescriptorLimit()))
    , mMemory(MemorySharesOf(aSettings.mMemoryBytes))
    , mBodies(mMemory.mBodies)
    , mRequests(mMemory.mRequests)
    , mStatusRequests(mMemory.mStatus)
    , mFrames(mMemory.mFrames)
    , mCallSlots(std::min(mShares.mCalls, mMemory.mCalls))
    , mPool(aExecutor)
    , mPrograms(aExecutor,
                aStore,
                ProgramPartitions(aSettings.mStorePartitions),
                base::StableHash(aSettings.mInstance))
    , mBudgets(
        aExecutor,
        mPrograms,
        aSettings.mInstance,
        [&aStore] { return aStore.Reachable(); },
        aSettings.mStoreRetention)
    , mTexts(aExecutor,
             aStore,
             TextPartition(aSettings.mStorePartitions, aSettings.mDomain),
             aSettings.mHistoryCacheBytes,
             [&aStore](uint32_t aWriter, std::string aAttempt) {
               return aStore.TextFrom(aWriter, std::move(aAttempt));
             })
    , mRenewals(aExecutor,
                mPrograms,
                mTexts,
                WriterHash(aSettings.mInstance),
                aSettings.mStoreRetention)
    , mFacts(aExecutor)
    , mLimits(mFacts,
              { aSettings.mInstance, aSettings.mPeer, aSettings.mDomain, aSettings.mLinkMbits },
              [this](const std::string& aDomain) { return RegionOf(aDomain); })
    , mSuspects(mFacts)
    , mUsage(aSettings.mQuota, aSettings.mInstance)
    , mRevocation(aSettings.mRevocation)
    , mWriterHash(WriterHash(aSettings.mInstance))
  {
  }

  // The region of a failure domain; empty if unknown, which counts as remote.
  std::string_view RegionOf(const std::string& aDomain) const
  {
    const auto region = mRegionOfDomain.find(aDomain);
    return region == mRegionOfDomain.end() ? std::string_view() : region->second;
  }

  // Readiness for new connections: the configuration and the history are loaded, the store is
  // reachable, and the process is not stopping.
  bool Ready() const;

  boost::asio::any_io_executor mExecutor;
  const HeaderCodec& mHeaderCodec;
  Metrics& mMetrics;
  StorePaths& mStore;
  const DescriptorShares mShares;
  const MemoryShares mMemory;
  MemoryAccount mBodies;
  MemoryAccount mRequests;       // Heads, and what calls take besides their bodies.
  MemoryAccount mStatusRequests; // Of the readiness and metrics addresses, their bodies too.
  MemoryAccount mFrames;         // Of other gateways.
  CallSlots mCallSlots;
  std::string mRegion;
  std::map<std::string, std::string> mRegionOfDomain;
  std::shared_ptr<const RouteTable> mRoutes; // Null until the configuration is known.
  base::TimePoint mRoutesConfirmedAt;        // When the store last confirmed that they are current.
  ReplicaList mReplicas;
  base::TimePoint mReplicasConfirmedAt;
  ReplicaPool mPool;
  SharedPrompts mSharedPrompts;
  ProgramLogs mPrograms;
  ProgramBudgets mBudgets;
  TurnTexts mTexts;
  TurnRenewals mRenewals;
  SharedFacts mFacts;
  ReplicaLimits mLimits;
  CrashSuspects mSuspects;
  accounts::AccountUsage mUsage;
  const settings::RevocationSettings mRevocation;
  mutable RefusalLog mRefusalLog;
  const uint32_t mWriterHash; // Of this instance.
  bool mStopping = false;
  base::TimePoint mStopsAt = base::TimePoint::max(); // While stopping: when the process ends.
  size_t mCallsOpen = 0;
  uint64_t mTieBreak = 0; // Spreads the choices of this process; see ChooseReplica.
};

}
