#include "relay_session.h"

#include <utility>

namespace sycamore::testbed {

RelaySession::RelaySession(Tcp::socket aClient,
                           std::shared_ptr<RelayLinkState> aLink,
                           std::function<void()> aOnClosed)
  : mClient(std::make_shared<Tcp::socket>(std::move(aClient)))
  , mServer(std::make_shared<Tcp::socket>(mClient->get_executor()))
  , mLink(std::move(aLink))
  , mOnClosed(std::move(aOnClosed))
{
}

void
RelaySession::Start(const Tcp::endpoint& aForward)
{
  mServer->async_connect(aForward,
                         [self = shared_from_this()](const boost::system::error_code& aError) {
                           if (aError) {
                             self->OnEnd(true);
                             return;
                           }
                           self->Forward();
                         });
}

void
RelaySession::Forward()
{
  // Close may have come between the connection and this handler.
  if (!mOnClosed) {
    return;
  }
  boost::system::error_code ignored;
  mClient->set_option(Tcp::no_delay(true), ignored);
  mServer->set_option(Tcp::no_delay(true), ignored);
  const auto onEnd = [weak = weak_from_this()](bool aFailed) {
    if (const auto self = weak.lock()) {
      self->OnEnd(aFailed);
    }
  };
  mToServer = std::make_shared<RelayPump>(mClient, mServer, mLink, onEnd);
  mToClient = std::make_shared<RelayPump>(mServer, mClient, mLink, onEnd);
  if (mDropping) {
    mToServer->Drop();
    mToClient->Drop();
    return;
  }
  mToServer->Start();
  mToClient->Start();
}

void
RelaySession::Drop()
{
  mDropping = true;
  if (mToServer) {
    mToServer->Drop();
    mToClient->Drop();
  }
}

void
RelaySession::Resume()
{
  if (mToServer) {
    mToServer->Resume();
    mToClient->Resume();
  }
}

void
RelaySession::Close()
{
  mOnClosed = {};
  CloseSockets();
}

void
RelaySession::OnEnd(bool aFailed)
{
  mEnded += aFailed ? 2 : 1;
  if (mEnded < 2 || !mOnClosed) {
    return;
  }
  CloseSockets();
  std::exchange(mOnClosed, {})();
}

void
RelaySession::CloseSockets()
{
  if (mToServer) {
    mToServer->Close();
    mToClient->Close();
  }
  boost::system::error_code ignored;
  mClient->close(ignored);
  mServer->close(ignored);
}

}
