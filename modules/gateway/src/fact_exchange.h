#pragma once

#include "member.h"
#include "relay_client.h"
#include "shared_facts.h"
#include "sycamore/wire/store_relay_generated.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamore::gateway {

// Spreads the facts of all gateways without the store. One gateway of each failure domain is its
// hub: the others tell it what they observe and follow what it knows, and the hubs follow each
// other. A gateway thus has one connection whatever the size of the fleet, a hub one for each
// gateway of its failure domain and each other one. Who is the hub follows from the members alone;
// two gateways that disagree do no harm. Lives on one event loop.
class FactExchange
{
public:
  // aFacts outlives this object. aStopping tells whether this gateway stops: it is no hub any more.
  FactExchange(const boost::asio::any_io_executor& aExecutor,
               SharedFacts& aFacts,
               Member aOwn,
               std::function<bool()> aStopping);

  // Sets the gateways of the deployment.
  void SetMembers(const std::vector<Member>& aMembers);

  // Follows the hubs until the event loop ends.
  boost::asio::awaitable<void> Run();

  // Answers a request with operation Facts of another gateway.
  boost::asio::awaitable<wire::RelayResponseT> Serve(const wire::RelayRequestT& aRequest);

  // The hub of the own failure domain that this gateway follows now; empty if it is the hub itself
  // or knows no other.
  std::string Hub() { return HubOf(mOwn.mDomain); }

  // The hub of aDomain; empty if this gateway is it, or none can be reached.
  std::string HubOf(const std::string& aDomain);

  // For calls to a hub that Hub or HubOf has just named. It outlives a change of the members while
  // it is held.
  std::shared_ptr<RelayClient> ClientOf(const std::string& aHub) const
  {
    return mPeers.at(aHub)->mClient;
  }

private:
  // Another gateway that may be a hub.
  struct Peer
  {
    std::shared_ptr<RelayClient> mClient;
    http::Endpoint mEndpoint;
    uint32_t mFailures = 0; // Consecutive.
    base::TimePoint mNextAttempt;
    uint64_t mEpoch = 0; // Of its facts as last heard; 0 if never.
    uint64_t mNext = 0;  // Number of the first of its facts that is not known here.
    uint64_t mTold = 0;  // Number of the first fact here that it was not told.
    // It is told the facts of others too: it has just been found, or has lost what it knew.
    bool mTellAll = true;
  };

  // The candidates for the hub of aDomain, the preferred one first.
  const std::vector<std::string>& Ranked(const std::string& aDomain);
  // Whether gateways of other failure domains may take this one as the hub of its own.
  bool IsCandidate();
  boost::asio::awaitable<void> FollowOwnDomain();
  boost::asio::awaitable<void> FollowOtherDomains();
  boost::asio::awaitable<void> FollowDomain(std::string aDomain);
  boost::asio::awaitable<void> TellHub();
  // Tells aInstance the own facts from aPeer.mTold on. Whether all were told.
  boost::asio::awaitable<bool> Tell(std::string aInstance, std::shared_ptr<Peer> aPeer);
  // Asks aInstance for its facts and waits for news. Whether it answered.
  boost::asio::awaitable<bool> Follow(std::string aInstance, std::shared_ptr<Peer> aPeer);
  void NoteResult(const std::string& aInstance, Peer& aPeer, bool aAnswered);
  void Enter(const std::vector<std::string>& aRecords);

  boost::asio::any_io_executor mExecutor;
  SharedFacts& mFacts;
  const Member mOwn;
  const std::function<bool()> mStopping;
  std::vector<Member> mMembers;
  std::map<std::string, std::vector<std::string>> mRanked; // By domain; cleared by SetMembers.
  std::map<std::string, std::shared_ptr<Peer>> mPeers;     // By instance.
  std::map<std::string, bool> mFollowed;                   // Other domains with a follower.
  base::TimePoint mLastServed; // When another gateway last asked for facts.
};

}
