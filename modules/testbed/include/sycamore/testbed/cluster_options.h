#pragma once

#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::testbed {

struct ClusterOptions
{
  size_t mEntries = 2;
  size_t mEngineSidecars = 2; // Each serves mTargetsPerSidecar replicas of mEngineService.
  size_t mToolSidecars = 1;   // Each serves mTargetsPerSidecar replicas of mToolService.
  size_t mTargetsPerSidecar = 1;
  std::string mEngineService = "llm";
  std::string mToolService = "tools";
  std::vector<std::string> mRegions{ "lahore-a" }; // Instances are spread over them in turn.
  uint32_t mPartitions = 4;
  bool mChecksFence = true; // Of all engines.

  // Whether the instance list names relays in place of the peer endpoints. Entries tell each other
  // their own endpoints too, so relays cut entries off from sidecars, not from other entries.
  bool mRelays = false;

  boost::json::object mEntrySettings;   // Added to the settings of each entry.
  boost::json::object mSidecarSettings; // Added to the settings of each sidecar.

  // Further flags of the stand-ins.
  std::vector<std::string> mLogFlags;
  std::vector<std::string> mInstancesFlags;
  std::vector<std::string> mWeightsFlags;
  std::vector<std::string> mEngineFlags{ "--speed_up=20" };
  std::vector<std::string> mToolFlags;
};

}
