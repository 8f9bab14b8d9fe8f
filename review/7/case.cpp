// A route is added. The first request on it crashes the replicas that begin it; the others on it
// are sound and have other bodies.
#include "../lab-2/replica.h"

using namespace lab;

static constexpr double kConfigTime = 3;
static constexpr double kStableWindow = 4;
static constexpr double kDownSeconds = 3;

static std::string
Configuration(int aVersion, bool aAdded)
{
  const std::string added =
    R"(,{"name":"gift","host":"ficu95.example","path_prefix":"/nusu417/","route_type":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":2,"service":"shop-desk","attempts":1,"retain":false,"retention_s":0,"public":false,"sticky":false,"resumable":false})";
  return Text("{\"version\":%d,\"routes\":[", aVersion) +
         R"({"name":"deposit","host":"ficu95.example","path_prefix":"/puxa403/","route_type":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":2,"service":"shop-desk","attempts":1,"retain":false,"retention_s":0,"public":false,"sticky":false,"resumable":false})" +
         (aAdded ? added : "") +
         R"(],"services":[{"name":"shop-desk","health_check":"/healthz","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

int
main()
{
  Store store;
  store.Put("keyed.op", "config", Configuration(7, false));
  std::mutex mutex;
  std::set<std::string> reached;
  std::vector<double> crashes;
  const Replica::Work work = [&](Replica& aReplica, Connection& aConnection,
                                 const Message& aRequest) {
    const std::string id = aRequest.Field("X-Sycamorelever-Attempt-Id");
    const bool deadly = Trouble() && aRequest.mBody == "gift card with a broken photo";
    {
      const std::lock_guard lock(mutex);
      reached.insert(id);
      if (deadly) {
        crashes.push_back(Now());
      }
    }
    if (deadly) {
      Note("replica %s begins %s and ends", aReplica.Id().c_str(), id.c_str());
      aReplica.Crash(kDownSeconds);
      return false;
    }
    Note("replica %s runs %s, attempt %s", aReplica.Id().c_str(), aRequest.Word(1).c_str(),
         id.c_str());
    Sleep(0.104);
    return aConnection.Write(SignedAnswer(aRequest, "done " + id));
  };
  std::vector<std::unique_ptr<Replica>> replicas;
  const char* const zones[] = { "bagmati-a", "gandaki-a", "koshi-a" };
  for (int i = 0; i < 6; ++i) {
    replicas.push_back(std::make_unique<Replica>(store, "shop-desk", zones[i % 3], work));
  }
  const std::string regions = R"({"bagmati-a":"bagmati","gandaki-a":"gandaki","koshi-a":"koshi"})";
  std::vector<std::unique_ptr<Gateway>> gateways;
  const char* const names[] = { "bagmati", "gandaki", "koshi" };
  for (int i = 0; i < 3; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
      Gateway::Place{ Text("front-%s-1", zones[i]), zones[i], names[i], regions },
      store.Address()));
  }
  for (const auto& gateway : gateways) {
    if (!gateway->WaitReady(10)) {
      Tell("a gateway is not ready");
      return kCannotRun;
    }
  }
  std::atomic<size_t> next{ 0 };
  const auto post = [&](const char* aPath, const std::string& aBody) {
    const std::string id = NextId();
    const auto answer = Ask(
      gateways[next++ % 3]->Front(),
      Text("POST %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Sycamorelever-Attempt-Id: %s\r\n"
           "X-Sycamorelever-Deadline-Ms: 3000\r\nConnection: close\r\n"
           "Content-Length: %zu\r\n\r\n",
           aPath, id.c_str(), aBody.size()) +
        aBody,
      4);
    Note("POST %s %s: %d", aPath, id.c_str(), answer.mStatus);
    return answer.mWhole ? answer.mStatus : 0;
  };
  std::atomic<bool> stop{ false };
  std::atomic<int> old{ 0 };
  std::atomic<int> oldServed{ 0 };
  std::atomic<bool> counting{ false };
  std::thread beside([&] {
    for (int n = 0; !stop; ++n) {
      const int status = post("/puxa403/2f", Text("deposit %d", n));
      old += counting ? 1 : 0;
      oldServed += counting && status == 200 ? 1 : 0;
      Sleep(0.1);
    }
  });
  Sleep(5);
  store.Put("keyed.op", "config", Configuration(9, true));
  Note("the store has accepted version 9, with a new route");
  Sleep(kConfigTime + 0.5);
  for (int i = 0; i < 6; ++i) {
    const int status = post("/nusu417/2f", "gift card with a broken photo");
    if (status == 200 || status == 503) {
      break;
    }
    Sleep(1.5);
  }
  Tell("the first request on the new route has ended %zu replicas", crashes.size());
  Sleep(kDownSeconds + 1.2 + kStableWindow);
  const size_t before = crashes.size();
  counting = true;
  int added = 0;
  int addedServed = 0;
  for (; added < 60; ++added) {
    addedServed += post("/nusu417/2f", Text("gift card %d", added)) == 200 ? 1 : 0;
    Sleep(0.3);
  }
  stop = true;
  beside.join();
  Tell("in steady state: first route %d asked, %d served; added route %d asked, %d served; "
       "replicas ended meanwhile: %zu",
       old.load(), oldServed.load(), added, addedServed, crashes.size() - before);
  if (oldServed < old * 0.9) {
    Tell("too little was served to judge");
    return kCannotRun;
  }
  const double share = static_cast<double>(addedServed) / added;
  const double oldShare = static_cast<double>(oldServed) / old;
  const bool broken = share < oldShare / 4;
  Tell(broken ? "CONFIG broken" : "held");
  return broken ? kBroken : kHeld;
}
