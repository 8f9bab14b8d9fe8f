#pragma once

#include "metrics.h"
#include "program_log.h"
#include "replica_pool.h"
#include "store_paths.h"
#include "sycamore/gateway/header_codec.h"
#include "sycamore/gateway/log_store.h"
#include "sycamore/gateway/replica_list.h"
#include "sycamore/gateway/route_table.h"
#include "turn_texts.h"

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <string>

namespace sycamore::gateway {

// What the parts of one gateway share on its event loop.
struct Context
{
  // Texts of the history are kept in memory up to aTextBytes.
  Context(const boost::asio::any_io_executor& aExecutor,
          StorePaths& aStore,
          const HeaderCodec& aHeaderCodec,
          Metrics& aMetrics,
          size_t aTextBytes)
    : mExecutor(aExecutor)
    , mHeaderCodec(aHeaderCodec)
    , mMetrics(aMetrics)
    , mStore(aStore)
    , mPool(aExecutor)
    , mPrograms(aExecutor, aStore)
    , mTexts(aExecutor, aStore, aTextBytes)
  {
  }

  // Whether a failure domain lies in this process's region. Unknown domains count as far.
  bool IsNear(const std::string& aDomain) const
  {
    const auto region = mRegionOfDomain.find(aDomain);
    return region != mRegionOfDomain.end() && region->second == mRegion;
  }

  // Whether new connections are wanted: the process knows what it needs and can record turns.
  bool Ready() const;

  boost::asio::any_io_executor mExecutor;
  const HeaderCodec& mHeaderCodec;
  Metrics& mMetrics;
  StorePaths& mStore;
  std::string mRegion;
  std::map<std::string, std::string> mRegionOfDomain;
  std::shared_ptr<const RouteTable> mRoutes; // Null until the configuration is known.
  base::TimePoint mRoutesConfirmedAt;        // When the store last told that they are current.
  ReplicaList mReplicas;
  base::TimePoint mReplicasConfirmedAt;
  ReplicaPool mPool;
  ProgramLog mPrograms;
  TurnTexts mTexts;
  bool mStopping = false;
  size_t mCallsOpen = 0;
  uint64_t mTieBreak = 0; // Spreads the choices of this process; see ChooseReplica.
};

}
