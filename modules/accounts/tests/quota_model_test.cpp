#include "quota_model.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::accounts {

using base::Millis;
using base::Seconds;

struct QuotaModelFixture
{
  static Account Limited(const std::string& aName, double aPerSecond, double aBurst)
  {
    return { aName, AccountId(aName), std::nullopt, { aPerSecond, aBurst } };
  }

  // Whether the requests of three windows are nine tenths of what the limit allowed, with demand
  // all the time. A single window may begin where many requests leave the one before.
  static bool IsUsedUp(const QuotaModel& aModel, const Account& aAccount)
  {
    const auto ran = static_cast<double>(aModel.RanIn(aAccount, Seconds(15)));
    const double allowed = 3 * Nominal(aAccount);
    BOOST_TEST_MESSAGE(aAccount.mName << ": " << ran << " of " << allowed);
    return ran >= 0.9 * allowed;
  }

  // The requests of a window that the operator accepts: a tenth more than the limit, and the slack.
  static double Accepted(const Account& aAccount)
  {
    constexpr double kTolerance = 0.1;
    return (aAccount.mLimit.mPerSecond * 5 + aAccount.mLimit.mBurst) * (1 + kTolerance) + 20;
  }

  static double Nominal(const Account& aAccount)
  {
    return aAccount.mLimit.mPerSecond * 5 + aAccount.mLimit.mBurst;
  }

  const Account mLarge = Limited("large", 64, 64);
  const Account mMiddle = Limited("middle", 13, 13);
  const Account mSmall = Limited("small", 5, 5);
};

// Guards against gateways that each grant the whole limit, or a part that does not follow the
// demand: one account rises to five times its limit while the others stay within theirs. 26, 127
// and 330 gateways.
BOOST_FIXTURE_TEST_CASE(QuotaOfAFloodedAccountIsKeptAndUsedUp, QuotaModelFixture)
{
  for (const size_t perDomain : { 4U, 21U, 66U }) {
    QuotaModel model(perDomain == 66 ? 5 : 6, perDomain, 11);
    model.Run(Seconds(6)); // The gateways start before their callers.
    model.SetDemand(mLarge, 40);
    model.SetDemand(mMiddle, 8);
    model.SetDemand(mSmall, 3);
    model.Run(Seconds(8));
    BOOST_TEST(model.Refused(mLarge) == 0U);
    model.SetDemand(mLarge, 300);
    model.Run(Seconds(4));
    model.SetDemand(mSmall, 25);
    model.Run(Seconds(20));
    for (const Account& account : { mLarge, mMiddle, mSmall }) {
      BOOST_TEST(static_cast<double>(model.MostInAWindow(account)) <= Accepted(account),
                 account.mName << " at " << model.GatewayCount() << ": "
                               << model.MostInAWindow(account) << " of " << Accepted(account));
    }
    for (const Account& account : { mLarge, mSmall }) {
      BOOST_TEST(IsUsedUp(model, account), account.mName << " at " << model.GatewayCount());
    }
    BOOST_TEST(model.Refused(mMiddle) == 0U);
  }
}

// Guards against refusals below the limit when all requests of an account come to one gateway, and
// against a gateway that lets through more than the limit alone.
BOOST_FIXTURE_TEST_CASE(QuotaOfAnAccountAtOneGatewayIsTheWholeLimit, QuotaModelFixture)
{
  QuotaModel model(6, 4, 12);
  model.Run(Seconds(6)); // The gateways start before their callers.
  model.Concentrate(mMiddle, 17);
  model.SetDemand(mMiddle, 12);
  model.Run(Seconds(10));
  BOOST_TEST(model.Refused(mMiddle) == 0U);
  model.SetDemand(mMiddle, 100);
  model.Run(Seconds(20));
  BOOST_TEST(static_cast<double>(model.MostInAWindow(mMiddle)) <= Accepted(mMiddle));
  BOOST_TEST(IsUsedUp(model, mMiddle));
}

// Guards against quotas that are forgotten with processes: gateways restart in turn, as in an
// upgrade, while accounts ask for far more than their limits.
BOOST_FIXTURE_TEST_CASE(QuotaIsKeptWhileGatewaysRestartInTurn, QuotaModelFixture)
{
  QuotaModel model(6, 4, 13);
  for (const Account& account : { mLarge, mMiddle, mSmall }) {
    model.SetDemand(account, account.mLimit.mPerSecond * 4);
  }
  model.Run(Seconds(7));
  for (size_t i = 0; i < model.GatewayCount(); ++i) {
    model.Restart((i * 7) % model.GatewayCount());
    model.Run(Millis(350));
  }
  for (const Account& account : { mLarge, mMiddle, mSmall }) {
    BOOST_TEST(static_cast<double>(model.MostInAWindow(account)) <= Accepted(account),
               account.mName << ": " << model.MostInAWindow(account) << " of "
                             << Accepted(account));
  }
}

// Guards against a quota that is granted again when all gateways end at once, as with a loss of
// power: what ran before is known to none. The account sends in bursts that are within its limit.
BOOST_FIXTURE_TEST_CASE(QuotaIsKeptWhenAllGatewaysRestartAtOnce, QuotaModelFixture)
{
  const Account bursty = Limited("bursty", 7, 7);
  for (uint64_t seed = 41; seed < 53; ++seed) {
    QuotaModel model(6, 4, seed);
    model.SetDemand(bursty, 0);
    model.Run(Seconds(8));
    model.SetDemand(bursty, 24);
    model.Run(Millis(1300));
    model.SetDemand(bursty, 0);
    model.Run(Millis(1000)); // The gateways are down.
    for (size_t i = 0; i < model.GatewayCount(); ++i) {
      model.Restart(i);
    }
    model.Run(Millis(300));
    model.SetDemand(bursty, 30);
    model.Run(Seconds(6));
    BOOST_TEST(static_cast<double>(model.MostInAWindow(bursty)) <= Accepted(bursty),
               "seed " << seed << ": " << model.MostInAWindow(bursty));
  }
}

// Guards against gateways that are cut off and each go on as if they were alone, and against the
// others taking over what those still use.
BOOST_FIXTURE_TEST_CASE(QuotaIsKeptWhileGatewaysAreCutOff, QuotaModelFixture)
{
  for (const uint64_t seed : { 21U, 22U, 23U }) {
    QuotaModel model(6, 4, seed);
    for (const Account& account : { mLarge, mMiddle, mSmall }) {
      model.SetDemand(account, account.mLimit.mPerSecond * 3);
    }
    model.Run(Seconds(7));
    for (size_t i = 0; i < model.GatewayCount(); i += 3) {
      model.Cut(i, true); // The hubs of some failure domains among them.
    }
    model.Run(Seconds(6));
    for (size_t i = 0; i < model.GatewayCount(); i += 3) {
      model.Cut(i, false);
    }
    model.Run(Seconds(6));
    for (const Account& account : { mLarge, mMiddle, mSmall }) {
      BOOST_TEST(static_cast<double>(model.MostInAWindow(account)) <= Accepted(account),
                 account.mName << " seed " << seed << ": " << model.MostInAWindow(account) << " of "
                               << Accepted(account));
    }
  }
}

// Guards against a gateway that wakes up and lets through what it would have before it froze.
BOOST_FIXTURE_TEST_CASE(QuotaIsKeptWhenFrozenGatewaysWake, QuotaModelFixture)
{
  QuotaModel model(6, 4, 31);
  for (const Account& account : { mLarge, mMiddle, mSmall }) {
    model.SetDemand(account, account.mLimit.mPerSecond * 3);
  }
  model.Run(Seconds(7));
  for (const size_t gateway : { 0U, 5U, 9U, 10U }) {
    model.Freeze(gateway, true);
  }
  model.Run(Seconds(4));
  for (const size_t gateway : { 0U, 5U, 9U, 10U }) {
    model.Freeze(gateway, false);
  }
  model.Run(Seconds(6));
  for (const Account& account : { mLarge, mMiddle, mSmall }) {
    BOOST_TEST(static_cast<double>(model.MostInAWindow(account)) <= Accepted(account),
               account.mName << ": " << model.MostInAWindow(account) << " of "
                             << Accepted(account));
  }
}

// Guards against a limit that random failures break, or that they leave unused for good.
BOOST_FIXTURE_TEST_CASE(QuotaIsKeptUnderRandomFailures, QuotaModelFixture)
{
  for (uint64_t seed = 100; seed < 112; ++seed) {
    std::mt19937_64 random(seed);
    QuotaModel model(4, 4, seed);
    for (int step = 0; step < 30; ++step) {
      for (const Account& account : { mLarge, mMiddle, mSmall }) {
        const double part = static_cast<double>(random() % 300) / 100;
        model.SetDemand(account, account.mLimit.mPerSecond * part);
      }
      const size_t gateway = random() % model.GatewayCount();
      switch (random() % 6) {
        case 0:
          model.Restart(gateway);
          break;
        case 1:
          model.Cut(gateway, true);
          break;
        case 2:
          model.Freeze(gateway, true);
          break;
        default:
          for (size_t i = 0; i < model.GatewayCount(); ++i) {
            model.Cut(i, false);
            model.Freeze(i, false);
          }
      }
      model.Run(Millis(200 + random() % 1500));
    }
    for (const Account& account : { mLarge, mMiddle, mSmall }) {
      BOOST_TEST(static_cast<double>(model.MostInAWindow(account)) <= Accepted(account),
                 account.mName << " seed " << seed << ": " << model.MostInAWindow(account) << " of "
                               << Accepted(account));
    }
    for (size_t i = 0; i < model.GatewayCount(); ++i) {
      model.Cut(i, false);
      model.Freeze(i, false);
    }
    for (const Account& account : { mLarge, mMiddle, mSmall }) {
      model.SetDemand(account, account.mLimit.mPerSecond * 3);
    }
    // The reports of gateways that are no more have expired then.
    model.Run(Seconds(30));
    for (const Account& account : { mLarge, mMiddle, mSmall }) {
      BOOST_TEST(IsUsedUp(model, account), account.mName << " seed " << seed);
    }
  }
}

}
