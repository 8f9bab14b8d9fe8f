#include "account_access.h"

#include "elapsed.h"
#include "sycamore/base/log.h"

namespace sycamore::gateway {

using accounts::Account;
using base::ErrorKind;

std::optional<std::string>
TakeKey(const Context& aContext, Call& aCall)
{
  if (!aCall.mTable->mAccounts.InForce()) {
    return std::nullopt;
  }
  return aContext.mHeaderCodec.TakeApiKey(aCall.mRequest);
}

base::Error
UnknownKeyError()
{
  return { ErrorKind::UnknownKey, "no account holds the API key of the request", "" };
}

// Whether a change of the configuration may not have arrived here.
static bool
IsStale(const Context& aContext)
{
  return Since(aContext.mRoutesConfirmedAt) > aContext.mRevocation.mMaxAge;
}

static void
NoteRefusal(const Context& aContext,
            const Call& aCall,
            const std::string& aAccount,
            std::string_view aReason,
            const accounts::QuotaVerdict& aVerdict)
{
  aContext.mMetrics.NoteAccountRefusal(aAccount, aReason);
  aContext.mRefusalLog.Note(aAccount, aReason, aCall.mHead.mAttempt, aVerdict);
}

std::optional<base::Error>
CheckAccount(const Context& aContext, const std::optional<std::string>& aKey, Call& aCall)
{
  const accounts::AccountTable& table = aCall.mTable->mAccounts;
  if (!table.InForce()) {
    return std::nullopt;
  }
  aCall.mAccountId = accounts::kNoAccount;
  if (aCall.mRoute->mPublic) {
    return std::nullopt;
  }
  const bool stale = IsStale(aContext);
  if (stale && aContext.mRevocation.mStrict) {
    return base::Error{ ErrorKind::ConfigStale,
                        "it is not known whether the API key is still valid",
                        "" };
  }
  const bool plausible = aKey && aKey->size() <= accounts::ApiKeys::kMaxKeyBytes;
  const accounts::KeyDigest digest = accounts::DigestOf(plausible ? *aKey : std::string());
  const Account* account = plausible ? accounts::HolderOf(table, digest) : nullptr;
  if (account == nullptr) {
    NoteRefusal(aContext, aCall, "-", "unknown_key", {});
    if (stale && plausible) {
      return base::Error{ ErrorKind::ConfigStale,
                          "the API key may be newer than this process knows",
                          "" };
    }
    return UnknownKeyError();
  }
  aCall.mAccount = account;
  aCall.mAccountId = account->mId;
  aCall.mKey = digest;
  return std::nullopt;
}

bool
IsRevoked(const Context& aContext, const Call& aCall)
{
  if (!aCall.mKey || aContext.mRoutes == aCall.mTable) {
    return false;
  }
  const accounts::AccountTable& table = aContext.mRoutes->mAccounts;
  const Account* account = accounts::HolderOf(table, *aCall.mKey);
  return table.InForce() && (account == nullptr || account->mId != aCall.mAccountId);
}

// Whether no record tells of the program yet. A call of a tool always belongs to one that runs.
static bool
BeginsProgram(const Context& aContext, const Call& aCall)
{
  const CallHead& head = aCall.mHead;
  return aCall.mRoute->mKind == CallKind::Stream && !head.mProgram.empty() && !head.mPreviousTurn &&
         !aContext.mPrograms.Programs().Knows(head.mProgram);
}

QuotaGuard::QuotaGuard(Context& aContext, const Call& aCall)
  : mContext(aContext)
  , mCall(aCall)
  , mAdmittedAt(base::Clock::now())
{
  if (mCall.mAccount == nullptr) {
    return;
  }
  mVerdict = mContext.mUsage.Admit(*mCall.mAccount, mAdmittedAt, BeginsProgram(mContext, mCall));
  if (!mVerdict.mAllowed) {
    NoteRefusal(mContext, mCall, mCall.mAccount->mName, "over_quota", mVerdict);
  }
}

QuotaGuard::~QuotaGuard()
{
  if (mCall.mAccount != nullptr && mVerdict.mAllowed && !mCall.mMayHaveRun) {
    mContext.mUsage.Return(mCall.mAccountId, mAdmittedAt, base::Clock::now());
  }
}

}
