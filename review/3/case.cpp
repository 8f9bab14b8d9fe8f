// A program that lives longer than the store keeps records cannot go on after a restart of the
// gateways: its last turn, answered whole a moment ago, is said not to exist.
#include "long_program.h"

using namespace review;

int
main(int, char** aArguments)
{
  Record::Get().Open(aArguments[2]);
  StartTime();
  Deployment deployment(aArguments[1]);
  Gateway* const gateways[] = { &deployment.mLeft, &deployment.mRight };

  // A turn each 9 s, for longer than the store keeps records.
  const double began = Now();
  Outcome last;
  std::string text;
  for (int i = 0; i < 10; ++i) {
    SleepUntil(began + 9 * i);
    Turn turn;
    turn.mProgram = "long";
    turn.mPrevious = last.mAttempt;
    turn.mInput = "input " + std::to_string(i) + "\n";
    turn.mProgramDeadlineMs = 110000;
    last = SendTurn(*gateways[i % 2], turn);
    if (!last.Whole()) {
      CannotRun("a turn was not served before the disruption");
    }
    text += turn.mInput;
    for (int j = 1; j <= last.mEvents; ++j) {
      text += EventText(last.mAttempt, j) + "\n";
    }
  }
  Sleep(0.5);
  if (Trouble()) {
    deployment.Roll();
  }
  int denied = 0;
  int served = 0;
  int wrong = 0;
  for (const Gateway* gateway : gateways) {
    Turn turn;
    turn.mProgram = "long";
    turn.mPrevious = last.mAttempt;
    turn.mInput = "input after it\n";
    turn.mProgramDeadlineMs = 20000;
    const Outcome outcome = SendTurn(*gateway, turn);
    const double age = outcome.mEndedAt - last.mSentAt;
    RECORD("turn %s of %.1f s ago (kept for %.0f s): status %d",
           last.mAttempt.c_str(),
           age,
           kTurnRetention,
           outcome.mStatus);
    if (age >= kTurnRetention) {
      CannotRun("too late");
    }
    denied += outcome.mStatus == 404 || outcome.mStatus == 410 ? 1 : 0;
    served += outcome.Whole() ? 1 : 0;
    for (const ReplicaRun& run : RunsOf(outcome.mAttempt)) {
      wrong += run.mBody != text + turn.mInput ? 1 : 0;
    }
  }
  if (denied + served + wrong == 0) {
    CannotRun("neither served nor denied");
  }
  Finish(denied > 0 || wrong > 0,
         std::to_string(denied) +
           " of 2 turns that name a turn answered whole less than retention_s ago got 404, " +
           std::to_string(served) + " were served, " + std::to_string(wrong) + " had a wrong prompt");
}
