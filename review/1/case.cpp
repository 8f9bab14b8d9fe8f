// A turn that continues a turn of another program cannot be continued after a restart, although its
// retention has not passed.
#include "common.h"

using namespace review;

// Retention of turns: that of the sites.
static constexpr double kRetention = 60;

struct Told
{
  std::string mProgram;
  Turn mTurn;
  Outcome mOutcome;
  std::string mText;  // What later prompts contain.
};

static Told
Tell(const Gateway& aGateway, const std::string& aProgram, const Told* aBefore)
{
  Told told;
  told.mProgram = aProgram;
  told.mTurn.mProgram = aProgram;
  told.mTurn.mPrevious = aBefore != nullptr ? aBefore->mOutcome.mAttempt : "";
  told.mTurn.mInput = "input of " + aProgram + "\n";
  told.mOutcome = SendTurn(aGateway, told.mTurn);
  if (!told.mOutcome.Whole()) {
    CannotRun("a first turn was not served");
  }
  told.mText = (aBefore != nullptr ? aBefore->mText : "") + told.mTurn.mInput;
  for (int i = 1; i <= told.mOutcome.mEvents; ++i) {
    told.mText += EventText(told.mOutcome.mAttempt, i) + "\n";
  }
  return told;
}

int
main(int, char** aArguments)
{
  const std::string folder = aArguments[1];
  Record::Get().Open(aArguments[2]);
  StartTime();
  const std::string zones = R"({"a":"r"})";
  Store store(300);
  const uint16_t port = store.Open(OwnIp(), 0.004, "store");
  const std::string address = OwnIp() + ":" + std::to_string(port);
  PutConfiguration(store, kRetention);
  Replica first(store, OwnIp(), "i-1", "models", "a", true);
  Replica second(store, OwnIp(), "i-2", "models", "a", true);
  Gateway left(folder, "front-a-1", OwnIp(), "a", "r", zones, address, 300);
  Gateway right(folder, "front-a-2", OwnIp(), "a", "r", zones, address, 300);
  left.Start();
  right.Start();
  left.AwaitReady();
  right.AwaitReady();

  // Programs of one turn; within its retention, a new program continues from each.
  constexpr int kPairs = 10;
  std::vector<Told> parents;
  std::vector<Told> children;
  const double began = Now();
  for (int i = 0; i < kPairs; ++i) {
    parents.push_back(Tell(left, "parent-" + std::to_string(i), nullptr));
  }
  const double parentsEnd = Now();
  SleepUntil(began + 47);
  for (int i = 0; i < kPairs; ++i) {
    children.push_back(Tell(right, "child-" + std::to_string(i), &parents[i]));
  }
  Sleep(1); // The records are in the store.
  int across = 0;
  for (int i = 0; i < kPairs; ++i) {
    const auto part = [&](const std::string& aProgram) {
      return store.Holds("programs", 0, aProgram) ? 0 : 1;
    };
    const int parent = part(parents[i].mProgram);
    const int child = part(children[i].mProgram);
    RECORD("records of parent-%d in partition %d, of child-%d in partition %d", i, parent, i, child);
    across += parent != child ? 1 : 0;
  }
  if (across == 0) {
    CannotRun("no program lies in another partition than the one that it continues");
  }

  if (Trouble()) {
    for (Gateway* gateway : { &left, &right }) {
      gateway->Stop();
      gateway->Start();
      gateway->AwaitReady();
      Sleep(1);
    }
  }

  // The retention of the children has not passed.
  SleepUntil(parentsEnd + 96.5);
  int denied = 0;
  int served = 0;
  int wrong = 0;
  for (size_t i = 0; i < children.size(); ++i) {
    const Told& child = children[i];
    int number = 0;
    for (const Gateway* gateway : { &left, &right }) {
      Turn turn;
      turn.mProgram = "grandchild-" + std::to_string(i) + "-" + std::to_string(number++);
      turn.mPrevious = child.mOutcome.mAttempt;
      turn.mInput = "input of " + turn.mProgram + "\n";
      const Outcome outcome = SendTurn(*gateway, turn);
      const double age = outcome.mEndedAt - child.mOutcome.mSentAt;
      if (age >= kRetention) {
        CannotRun("too late");
      }
      RECORD("turn %s of %.1f s ago (kept for %.0f s): status %d",
             child.mOutcome.mAttempt.c_str(),
             age,
             kRetention,
             outcome.mStatus);
      denied += outcome.mStatus == 404 || outcome.mStatus == 410 ? 1 : 0;
      served += outcome.Whole() ? 1 : 0;
      for (const ReplicaRun& run : RunsOf(outcome.mAttempt)) {
        wrong += run.mBody != child.mText + turn.mInput ? 1 : 0;
      }
    }
  }
  if (denied + served + wrong == 0) {
    CannotRun("neither served nor denied");
  }
  Finish(denied > 0 || wrong > 0,
         std::to_string(denied) + " of " + std::to_string(2 * kPairs) +
           " turns that name a turn answered whole less than 60 s ago got 404, " +
           std::to_string(served) + " were served, " + std::to_string(wrong) + " had a wrong prompt");
}
