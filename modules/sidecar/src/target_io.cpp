#include "target_io.h"

#include <memory>

namespace sycamore::sidecar {

using base::Error;
using base::ErrorKind;
using http::SendProgress;

TargetIo::TargetIo(const settings::Settings& aSettings, EventQueue& aQueue)
  : mSettings(aSettings)
  , mQueue(aQueue)
{
}

// Handlers of one request. If a part of the body does not fit into the queue, the answer is
// incomplete and the request is reported as failed.
static http::AsyncHandlers
HandlersFor(uint64_t aRequestId, bool aStream, EventQueue& aQueue)
{
  const auto lost = std::make_shared<bool>(false); // Used on the client's thread only.
  http::AsyncHandlers handlers;
  if (aStream) {
    handlers.mOnData = [aRequestId, lost, &aQueue](std::string aData) {
      *lost = *lost || !aQueue.PushWork(TargetData{ aRequestId, std::move(aData) });
    };
  }
  handlers.mOnDone = [aRequestId, lost, &aQueue](http::ClientResponse aResponse) {
    if (*lost) {
      const Error error{ ErrorKind::TargetFailed,
                         "the queue of the sidecar is full, a part of the stream was dropped",
                         "" };
      aQueue.PushReport(TargetFailed{ aRequestId, error, SendProgress::MaybeSent });
    } else {
      aQueue.PushReport(TargetDone{ aRequestId, std::move(aResponse) });
    }
  };
  handlers.mOnError = [aRequestId, &aQueue](Error aError, SendProgress aProgress) {
    aQueue.PushReport(TargetFailed{ aRequestId, std::move(aError), aProgress });
  };
  return handlers;
}

void
TargetIo::Start(TargetRequest aRequest)
{
  http::ClientRequest request;
  request.mMethod = std::move(aRequest.mMethod);
  request.mTarget = std::move(aRequest.mPath);
  request.mBody = std::move(aRequest.mBody);
  mClientIds[aRequest.mRequestId] =
    mClient.Start(mSettings.mTargets.at(aRequest.mTarget).mEndpoint,
                  std::move(request),
                  aRequest.mDeadline,
                  HandlersFor(aRequest.mRequestId, aRequest.mStream, mQueue));
}

void
TargetIo::Cancel(uint64_t aRequestId)
{
  const auto found = mClientIds.find(aRequestId);
  if (found != mClientIds.end()) {
    mClient.Cancel(found->second);
  }
}

void
TargetIo::Forget(uint64_t aRequestId)
{
  mClientIds.erase(aRequestId);
}

void
TargetIo::Stop()
{
  mClient.Stop();
}

}
