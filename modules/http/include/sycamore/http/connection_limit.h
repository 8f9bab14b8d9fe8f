#pragma once

#include "sycamore/base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace sycamore::http {

// What a connection is doing, in the order in which connections are closed when they run short.
enum class ConnectionPhase : uint8_t
{
  Idle,    // Waits for a request.
  Reading, // A request has arrived in part.
  Writing, // The answer of a request, which needs nothing else any more, is being sent.
  Serving, // A request is being answered.
};

// Limits the connections of one listening address, so that its clients leave descriptors and memory
// to the rest of the process. Lives on one event loop.
class ConnectionLimit
{
public:
  // What may be closed for the sake of a new connection.
  enum class Yields : uint8_t
  {
    // Connections that wait for their client: idle ones, those whose request has not arrived whole,
    // and those whose answer has not been read for a second.
    Waiting,
    All, // Requests whose answers nobody reads too; none of them has been passed on.
  };

  // One connection, for as long as it is open.
  class Member
  {
  public:
    // Starts idle. aClose closes the connection at once; it is called at most once.
    Member(ConnectionLimit& aLimit, std::function<void()> aClose);
    ~Member();
    Member(const Member&) = delete;
    Member& operator=(const Member&) = delete;

    void Enter(ConnectionPhase aPhase);

  private:
    friend class ConnectionLimit;

    ConnectionLimit& mLimit;
    // Expired once the limit has gone: connections end later, with their event loop.
    std::weak_ptr<bool> mAlive;
    std::function<void()> mClose;
    ConnectionPhase mPhase = ConnectionPhase::Idle;
    base::TimePoint mWritingSince; // Set in that phase.
    bool mListed = true;           // False once the limit has closed it.
    std::list<Member*>::iterator mPosition;
  };

  // aName is for the log.
  ConnectionLimit(std::string aName, size_t aMax, Yields aYields);

  // Makes room for a new connection: at the limit closes the connection that has been idle for
  // longest, else the one whose request has been arriving for longest, else the one whose answer
  // has not been read for longest. False if no connection may be closed.
  bool MakeRoom();

  // Closes the connection, other than aExcept, whose request has been arriving for longest. False
  // if there is none.
  bool CloseReading(const Member& aExcept);

  size_t Open() const;

  // Connections closed or refused because of the limit so far.
  uint64_t Yielded() const { return mYielded; }

private:
  std::list<Member*>& Members(ConnectionPhase aPhase);
  // Closes the first member of aPhase other than aExcept.
  bool CloseFirst(ConnectionPhase aPhase, const Member* aExcept);
  // Whether the client of a member has not read its answer for a while.
  bool HasStalledWriter();
  // Logs at most one line a second.
  void NoteYield(const char* aWhat);

  const std::string mName;
  const size_t mMax;
  const Yields mYields;
  std::array<std::list<Member*>, 4> mMembers; // By phase, the longest in it first.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  uint64_t mYielded = 0;
  uint64_t mYieldedSinceLog = 0;
  base::TimePoint mNextLog;
};

}
