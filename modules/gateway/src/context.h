#pragma once

#include "program_log.h"
#include "replica_pool.h"
#include "store_paths.h"
#include "sycamore/gateway/edge.h"
#include "sycamore/gateway/log_store.h"
#include "sycamore/gateway/replica_list.h"
#include "sycamore/gateway/route_table.h"

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <string>

namespace sycamore::gateway {

// What the parts of one gateway share on its event loop.
struct Context
{
  Context(const boost::asio::any_io_executor& aExecutor, StorePaths& aStore, const Edge& aEdge)
    : mExecutor(aExecutor)
    , mEdge(aEdge)
    , mStore(aStore)
    , mPool(aExecutor)
    , mPrograms(aExecutor, aStore)
  {
  }

  // Whether a failure domain lies in this process's region. Unknown domains count as far.
  bool IsNear(const std::string& aDomain) const
  {
    const auto region = mRegionOfDomain.find(aDomain);
    return region != mRegionOfDomain.end() && region->second == mRegion;
  }

  boost::asio::any_io_executor mExecutor;
  const Edge& mEdge;
  StorePaths& mStore;
  std::string mRegion;
  std::map<std::string, std::string> mRegionOfDomain;
  std::shared_ptr<const RouteTable> mRoutes; // Null until the configuration is known.
  ReplicaList mReplicas;
  ReplicaPool mPool;
  ProgramLog mPrograms;
  bool mStopping = false;
  uint64_t mTieBreak = 0; // Spreads the choices of this process; see ChooseReplica.
};

}
