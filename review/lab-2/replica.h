// A replica of a plain service, registered in the store, as PROTOCOL tells it.
#pragma once

#include "lab.h"

namespace lab {

inline std::string
SignedAnswer(const Message& aRequest, const std::string& aBody, const char* aMore = "")
{
  return Text("HTTP/1.1 200 OK\r\nX-Sycamorelever-Attempt-Id: %s\r\n"
              "X-Sycamorelever-Server-Signature: lab.%zu\r\nKeep-Alive: timeout=5\r\n%s"
              "Content-Length: %zu\r\n\r\n",
              aRequest.Field("X-Sycamorelever-Attempt-Id").c_str(),
              aBody.size(),
              aMore,
              aBody.size()) +
         aBody;
}

// Each start is a new incarnation with a new id. A beat goes to the store every 1.2 s; the entry
// is removed three beats after the last one.
class Replica
{
public:
  // Serves a request; false closes the connection.
  using Work = std::function<bool(Replica&, Connection&, const Message&)>;

  Replica(Store& aStore, std::string aService, std::string aZone, Work aWork)
    : mStore(aStore)
    , mService(std::move(aService))
    , mZone(std::move(aZone))
    , mWork(std::move(aWork))
    , mServer([this](Connection& aConnection) { Serve(aConnection); })
  {
    Begin();
    mLife = std::thread([this] { Live(); });
  }
  ~Replica()
  {
    mEnd = true;
    mLife.join();
  }
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  std::string Id() const
  {
    const std::lock_guard lock(mMutex);
    return mId;
  }

  // Ends the replica: connections are reset, new ones refused, and it is back after aSeconds.
  void Crash(double aSeconds)
  {
    const std::lock_guard lock(mMutex);
    if (mBackAt == 0) {
      mBackAt = Now() + aSeconds;
      ++mCrashes;
      mDown = true;
    }
  }
  bool Down() const { return mDown; }
  int Crashes() const { return mCrashes; }

  std::string Address() const { return mServer.Address(); }

  std::string Entry(const char* aState, uint64_t aSeq) const
  {
    return Text("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                "\"slots\":6,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":%llu,\"born\":%lld}",
                mService.c_str(),
                mServer.Address().c_str(),
                mZone.c_str(),
                aState,
                static_cast<unsigned long long>(aSeq),
                static_cast<long long>(mBorn));
  }

private:
  void Begin()
  {
    static std::atomic<int> next{ 1 };
    const std::lock_guard lock(mMutex);
    mId = Text("i-%08x", 0x7f3a9000 + next++);
    mBorn = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
    mSeq = 0;
  }

  void Live()
  {
    double nextBeat = 0;
    while (!mEnd) {
      if (mDown && mBackAt > 0) {
        if (!mStopped) {
          mServer.Stop(true);
          mStopped = true;
          mDropAt = Now() + 3.6;
          mDropped = Id();
        }
        if (Now() >= mBackAt) {
          Begin();
          mServer.Restart();
          mStopped = false;
          mDown = false;
          mBackAt = 0;
          nextBeat = 0;
          Note("replica %s is back at %s", Id().c_str(), mServer.Address().c_str());
        }
      }
      if (mDropAt > 0 && Now() >= mDropAt) {
        mStore.Put("keyed.servers", mDropped, "");
        mDropAt = 0;
      }
      if (!mDown && Now() >= nextBeat) {
        mStore.Put("keyed.servers", Id(), Entry("ready", ++mSeq));
        nextBeat = Now() + 1.2;
      }
      Sleep(0.002);
    }
  }

  void Serve(Connection& aConnection)
  {
    Message request;
    while (aConnection.Read(request, Now() + 5)) {
      if (request.Field("X-Sycamorelever-Expect-Instance") != Id()) {
        aConnection.Write("HTTP/1.1 421 Misdirected Request\r\nX-Sycamorelever-Attempt-Id: " +
                          request.Field("X-Sycamorelever-Attempt-Id") +
                          "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (!mWork(*this, aConnection, request)) {
        return;
      }
    }
  }

  Store& mStore;
  const std::string mService;
  const std::string mZone;
  Work mWork;
  mutable std::mutex mMutex;
  std::string mId;
  int64_t mBorn = 0;
  uint64_t mSeq = 0;
  std::atomic<bool> mDown{ false };
  std::atomic<bool> mEnd{ false };
  std::atomic<int> mCrashes{ 0 };
  std::atomic<double> mBackAt{ 0 };
  bool mStopped = false;
  double mDropAt = 0;
  std::string mDropped;
  Server mServer;
  std::thread mLife;
};

}
