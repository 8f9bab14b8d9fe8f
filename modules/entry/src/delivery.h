#pragma once

#include "answers.h"
#include "call.h"

#include <optional>
#include <string>

namespace sycamore::entry {

// Sends events and results of calls to the callers that wait for them.
class Delivery
{
public:
  explicit Delivery(Answers& aAnswers);

  // Adds a waiting caller. A stream is sent the events so far that follow aLastEventId.
  void Attach(Call& aCall, Waiter aWaiter, const std::string& aLastEventId);

  // Sends a token to all streams.
  void Token(Call& aCall, std::string_view aText);

  // Sends all streams a reset event, which discards the text so far.
  void Reset(Call& aCall);

  // Answers all callers with the committed result and removes them.
  void Done(Call& aCall, const TurnText& aResult);

  // Answers all callers with an error and removes them. aRun overrides the error's run state.
  void Fail(Call& aCall, const base::Error& aError, std::optional<base::RunState> aRun = {});

  // Answers the callers whose deadline has passed with an error and removes them.
  void FailExpired(Call& aCall,
                   base::TimePoint aNow,
                   const base::Error& aError,
                   std::optional<base::RunState> aRun);

  // Answers a request for a call that was committed before.
  void Replay(const ReplyTo& aReply, const TurnText& aResult, bool aStream, bool aReset);

private:
  void FlushAll(Call& aCall);
  void Flush(Call& aCall, Waiter& aWaiter, bool aLast);
  void FailOne(Call& aCall,
               Waiter& aWaiter,
               const base::Error& aError,
               std::optional<base::RunState> aRun);

  Answers& mAnswers;
};

}
