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

// Handlers of one request. A piece that does not fit into the queue makes the whole answer useless,
// so the request is then reported as failed.
static http::AsyncHandlers
HandlersFor(uint64_t aTicket, bool aStream, EventQueue& aQueue)
{
  const auto lost = std::make_shared<bool>(false); // Used on the client's thread only.
  http::AsyncHandlers handlers;
  if (aStream) {
    handlers.mOnData = [aTicket, lost, &aQueue](std::string aData) {
      *lost = *lost || !aQueue.PushWork(TargetData{ aTicket, std::move(aData) });
    };
  }
  handlers.mOnDone = [aTicket, lost, &aQueue](http::ClientResponse aResponse) {
    if (*lost) {
      const Error error{ ErrorKind::Overloaded, "the sidecar could not take the stream", "" };
      aQueue.PushReport(TargetFailed{ aTicket, error, SendProgress::MaybeSent });
    } else {
      aQueue.PushReport(TargetDone{ aTicket, std::move(aResponse) });
    }
  };
  handlers.mOnError = [aTicket, &aQueue](Error aError, SendProgress aProgress) {
    aQueue.PushReport(TargetFailed{ aTicket, std::move(aError), aProgress });
  };
  return handlers;
}

void
TargetIo::Start(const TargetRequest& aRequest)
{
  http::ClientRequest request;
  request.mMethod = aRequest.mMethod;
  request.mTarget = aRequest.mPath;
  request.mBody = aRequest.mBody;
  mIds[aRequest.mTicket] = mClient.Start(mSettings.mTargets.at(aRequest.mTarget).mEndpoint,
                                         std::move(request),
                                         aRequest.mDeadline,
                                         HandlersFor(aRequest.mTicket, aRequest.mStream, mQueue));
}

void
TargetIo::Cancel(uint64_t aTicket)
{
  const auto found = mIds.find(aTicket);
  if (found != mIds.end()) {
    mClient.Cancel(found->second);
  }
}

void
TargetIo::Reported(uint64_t aTicket)
{
  mIds.erase(aTicket);
}

void
TargetIo::Stop()
{
  mClient.Stop();
}

}
