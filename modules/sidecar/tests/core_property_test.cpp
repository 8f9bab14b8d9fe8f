#include "core_fixture.h"
#include "sycamore/base/log.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace sycamore::sidecar {

using base::ErrorKind;
using base::Millis;
using http::SendProgress;
using wire::CallResult;

// Drives a core with random frames of two owners, target results, lost links and restarts. The
// first owner, of epoch 1, dispatches; the second, of epoch 2, seals and acknowledges. Every
// dispatch of a key carries the sidecar incarnation of its intent, however late or often it
// arrives.
class CoreModel : public CoreFixture
{
public:
  CoreModel() { Connect(mSealLink, kEntry + 1); }

  void Step()
  {
    const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
    const auto seq = *rc::gen::inRange<uint32_t>(1, 4);
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
      case 1:
        DispatchKey(key);
        break;
      case 2:
        Receive(kLink, Model(seq, *rc::gen::inRange<uint32_t>(1, 4)));
        break;
      case 3:
        SealKey(key);
        break;
      case 4:
        AckLastOutcome();
        break;
      case 5:
        Pass(Millis(*rc::gen::inRange(100, 3000)));
        break;
      case 6:
        Reconnect();
        break;
      default:
        ReportOne();
        break;
    }
    Check();
  }

  // Reports all running calls; afterwards no call may be queued or running.
  void Finish()
  {
    while (ReportOne()) {
      Check();
    }
    RC_ASSERT(mCore->Counters().mRunning == 0U);
    RC_ASSERT(mCore->Counters().mQueued == 0U);
  }

private:
  struct Key
  {
    uint64_t mIncarnation = 0; // Sidecar incarnation of the intent.
    int mRequests = 0;         // Sent to the target, by all incarnations.
    bool mMaybeSent = false;   // Bytes of a request may have reached the target.
    bool mSealed = false;      // A seal was confirmed: the call was never received.
    bool mAcked = false;
  };

  Key& KeyNamed(const std::string& aName)
  {
    return mKeys.try_emplace(aName, Key{ mIncarnation }).first->second;
  }

  void DispatchKey(const std::string& aName)
  {
    wire::DispatchT dispatch = Tool(aName, 1);
    dispatch.sidecar_incarnation = KeyNamed(aName).mIncarnation;
    dispatch.body = aName;
    Receive(kLink, std::move(dispatch));
  }

  void SealKey(const std::string& aName)
  {
    const Key& key = KeyNamed(aName);
    if (key.mAcked) {
      return; // The second owner has logged the outcome and does not seal.
    }
    wire::SealT seal;
    seal.call = Id(1, aName);
    seal.epoch = 2;
    seal.sidecar_incarnation = key.mIncarnation;
    Receive(mSealLink, std::move(seal));
  }

  void AckLastOutcome()
  {
    if (mLastOutcome) {
      wire::CallAckT ack;
      ack.call = std::make_unique<wire::CallIdT>(*mLastOutcome->call);
      ack.attempt = mLastOutcome->attempt;
      KeyNamed(ack.call->key).mAcked = true;
      Receive(mSealLink, std::move(ack));
    }
  }

  void Reconnect()
  {
    if (*rc::gen::inRange(0, 4) == 0) {
      Restart(++mIncarnation);
      mCalls.clear();
      mLastOutcome.reset();
    } else {
      mCore->OnPeer(transport::PeerLost{ mSealLink, "test" }, mNow);
      ++mSealLink;
    }
    Connect(mSealLink, kEntry + 1);
  }

  // Reports a random result of a random running call; false if none is running.
  bool ReportOne()
  {
    if (mCalls.empty()) {
      return false;
    }
    auto call = mCalls.begin();
    std::advance(call, *rc::gen::inRange<size_t>(0, mCalls.size()));
    const auto [requestId, request] = *call;
    mCalls.erase(call);
    const int kind = *rc::gen::inRange(0, 3);
    if (request.mPath.starts_with("/tools/") && kind != 2) {
      KeyNamed(request.mBody).mMaybeSent = true;
    }
    if (kind == 0) {
      Done(requestId, "{}");
    } else if (kind == 1) {
      Fail(requestId, ErrorKind::ConnectionLost, SendProgress::MaybeSent);
    } else {
      Fail(requestId, ErrorKind::TargetRefused, SendProgress::NothingSent);
    }
    return true;
  }

  // Consumes and checks the effects of one step.
  void Check()
  {
    for (const auto& request : std::exchange(mOutput.mRequests, {})) {
      const bool tool = request.mPath.starts_with("/tools/");
      if (tool) {
        Key& key = KeyNamed(request.mBody);
        RC_ASSERT(++key.mRequests == 1);
        RC_ASSERT(!key.mSealed);
        RC_ASSERT(key.mIncarnation == mIncarnation);
      }
      if (tool || request.mPath == "/v1/chat/completions") {
        mCalls[request.mRequestId] = request;
      }
    }
    for (const auto& [link, frame] : std::exchange(mOutput.mFrames, {})) {
      if (const auto* outcome = frame.body.AsCallOutcome()) {
        CheckOutcome(link, *outcome);
      } else if (const auto* reply = frame.body.AsSealReply()) {
        CheckSeal(*reply);
      }
    }
  }

  void CheckOutcome(transport::LinkId aLink, const wire::CallOutcomeT& aOutcome)
  {
    if (aOutcome.call->key.empty()) {
      return;
    }
    const Key& key = KeyNamed(aOutcome.call->key);
    if (aOutcome.result == CallResult::NotRun && key.mIncarnation == mIncarnation) {
      RC_ASSERT(!key.mMaybeSent);
      RC_ASSERT(key.mRequests == 0 || !Runs(aOutcome.call->key));
    }
    if (aOutcome.result != CallResult::NotRun) {
      RC_ASSERT(key.mRequests == 1);
    }
    if (aLink == mSealLink) {
      mLastOutcome = aOutcome;
    }
  }

  void CheckSeal(const wire::SealReplyT& aReply)
  {
    Key& key = KeyNamed(aReply.call->key);
    if (aReply.incarnation == key.mIncarnation && aReply.state == wire::CallState::Sealed) {
      RC_ASSERT(key.mRequests == 0);
      key.mSealed = true;
    }
  }

  bool Runs(const std::string& aKey) const
  {
    for (const auto& [requestId, request] : mCalls) {
      if (request.mBody == aKey) {
        return true;
      }
    }
    return false;
  }

  uint64_t mIncarnation = kIncarnation;
  transport::LinkId mSealLink = 2;
  std::map<std::string, Key> mKeys;
  std::map<uint64_t, TargetRequest> mCalls; // Sent to a target and not reported yet.
  std::optional<wire::CallOutcomeT> mLastOutcome;
};

// Guards against a non-idempotent call that runs twice or after a seal, against a false "not run",
// and against calls that never finish, in any interleaving of dispatches, seals, acks, lost links,
// target failures and restarts.
BOOST_AUTO_TEST_CASE(CoreInAnyInterleavingRunsEachKeyAtMostOnce)
{
  base::SetLogLevel(base::LogLevel::Error);
  const bool holds = rc::check([] {
    CoreModel model;
    for (int step = 0; step < 150; ++step) {
      model.Step();
    }
    model.Finish();
  });
  BOOST_TEST(holds);
}

}
