#pragma once

#include "async.h"
#include "call.h"
#include "call_outcome.h"
#include "caller_link.h"
#include "context.h"
#include "dispatcher.h"
#include "program_budgets.h"
#include "turn_output.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::gateway {

// Runs a call that is answered by a stream, which may be a turn of a program. On a route that keeps
// the history it completes the prompt, and records the turn before the caller sees the end of it. A
// stream that may be resumed and breaks is continued by another answer, within the one to the
// caller.
//
// The reservation is appended while the replica already works if the budget, as known to this
// process, has enough headroom. No event reaches the caller before the reservation is granted, so
// that concurrent turns at several gateways never exceed the budget together.
class TurnRunner : public StreamSink
{
public:
  TurnRunner(Context& aContext, CallerLink& aLink, Call& aCall);

  // Answers the call.
  boost::asio::awaitable<CallOutcome> Run();

  boost::asio::awaitable<bool> OnHeader(boost::beast::http::response_header<> aHeader,
                                        const AnswerHead& aHead) override;
  boost::asio::awaitable<SinkResult> OnBytes(std::string_view aBytes) override;
  bool EndsWhole() const override { return !mOutput.InsideEvent(); }
  StreamProgress Progress() const override;

private:
  // Progress of the reservation; shared with the coroutine that makes it.
  struct ReservationState
  {
    explicit ReservationState(const boost::asio::any_io_executor& aExecutor)
      : mChanged(aExecutor)
    {
    }

    bool mDone = false;
    bool mAbandoned = false; // The call has ended; a grant that comes later is settled at once.
    std::optional<ProgramBudgets::Draw> mDraw; // Set if it was granted.
    std::optional<base::Millis> mTook;         // Set if it was granted or refused.
    std::optional<base::Error> mError;         // Why it is neither granted nor refused.
    Signal mChanged;
  };

  // An error if the caller resumes a stream that cannot be resumed.
  std::optional<base::Error> CheckResume() const;
  // An error if the log cannot be read or written now.
  std::optional<base::Error> CheckLog() const;
  // Finds the turns that the prompt is made of.
  boost::asio::awaitable<std::optional<base::Error>> FindChain();
  // Whether the account of the call ran aTurn. Records of gateways that knew no accounts tell none.
  bool MayContinue(const programs::Turn& aTurn) const;
  boost::asio::awaitable<std::optional<base::Error>> MakePrompt();
  std::vector<TextReference> ReferencesTo(const std::vector<std::string>& aChain) const;
  boost::asio::awaitable<std::optional<base::Error>> CheckBudget();
  boost::asio::awaitable<bool> ReservationGranted();
  boost::asio::awaitable<bool> SendHeader();
  boost::asio::awaitable<CallOutcome> Refuse(base::Error aError);
  // Retry-After time of a refused turn.
  base::Millis RetryAfter() const;
  boost::asio::awaitable<CallOutcome> Finish(DispatchResult aResult);
  boost::asio::awaitable<CallOutcome> Complete(const std::string& aReplica);
  boost::asio::awaitable<bool> Commit(const std::string& aReplica);
  static boost::asio::awaitable<void> Reserve(Context& aContext,
                                              BudgetRequest aRequest,
                                              base::TimePoint aDeadline,
                                              std::shared_ptr<ReservationState> aState);
  // Appends aText until the caller's deadline; sets aOutOffset once the store has it.
  boost::asio::awaitable<void> StoreText(programs::TurnText aText,
                                         std::optional<uint64_t>& aOutOffset);
  std::optional<base::Error> StartReservation();
  // Returns what is left of the reservation, once it is made.
  void SettleBudget();
  uint64_t TokensSent() const;
  // Whether input and output so far do not fit into one record of the store.
  bool IsTooLong() const;
  bool KeepsHistory() const { return mCall.mRoute->mKeepsHistory; }
  bool HasBudget() const { return mCall.mHead.mBudgetTokens.has_value(); }

  Context& mContext;
  CallerLink& mLink;
  Call& mCall;
  std::vector<std::string> mChain;     // The turns that this one continues, the oldest first.
  std::vector<TextReference> mHistory; // Their texts; moved away when these are read.
  std::string mPrompt;
  MemoryAccount::Hold mPromptBody; // Of the turns before, which the request does not carry.
  MemoryAccount::Hold mOutputBody;
  std::string mPrefixReplica;
  std::shared_ptr<ReservationState> mReservation; // Null before it is started.
  bool mHasHeadroom = false; // The budget had headroom for more turns at the start.
  boost::beast::http::response_header<> mHeader; // Moved away when it is sent.
  TurnOutput mOutput;
  bool mHeaderSent = false;
};

}
