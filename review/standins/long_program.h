// What the cases 3 and 4 share: two gateways before a store whose records expire while a program
// lives, and the turns of that program. All times of the sites are divided by four: the store keeps
// its records for 75 s instead of 300 s, and routes their turns for 15 s instead of 60 s.
#pragma once

#include "common.h"

namespace review {

constexpr double kStoreRetention = 75;
constexpr double kTurnRetention = 15;

struct Deployment
{
  explicit Deployment(const std::string& aFolder)
    : mStore(kStoreRetention)
    , mAddress(OwnIp() + ":" + std::to_string(mStore.Open(OwnIp(), 0.004, "store")))
    , mLeft(aFolder, "front-a-1", OwnIp(), "a", "r", mZones, mAddress, kStoreRetention)
    , mRight(aFolder, "front-a-2", OwnIp(), "a", "r", mZones, mAddress, kStoreRetention)
  {
    PutConfiguration(mStore, kTurnRetention);
    mFirst = std::make_unique<Replica>(mStore, OwnIp(), "i-1", "models", "a", true);
    mSecond = std::make_unique<Replica>(mStore, OwnIp(), "i-2", "models", "a", true);
    mLeft.Start();
    mRight.Start();
    mLeft.AwaitReady();
    mRight.AwaitReady();
  }

  // Stops and starts all gateways in turn.
  void Roll()
  {
    for (Gateway* gateway : { &mLeft, &mRight }) {
      gateway->Stop();
      gateway->Start();
      gateway->AwaitReady();
    }
  }

  const std::string mZones = R"({"a":"r"})";
  Store mStore;
  std::string mAddress;
  Gateway mLeft;
  Gateway mRight;
  std::unique_ptr<Replica> mFirst;
  std::unique_ptr<Replica> mSecond;
};

}
