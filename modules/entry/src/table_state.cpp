#include "table_state.h"

#include "sycamore/base/log.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <fmt/format.h>
#include <utility>

namespace sycamore::entry {

using base::ErrorKind;

TableState::TableState(Context& aContext, Answers& aAnswers, Peers& aPeers)
  : mContext(aContext)
  , mAnswers(aAnswers)
  , mPeers(aPeers)
{
}

void
TableState::OnEvent(const table::TableEvent& aEvent)
{
  if (const auto* confirmed = std::get_if<table::TableConfirmed>(&aEvent)) {
    mLogUnavailable = false;
    // Keeps a newer table that a peer pushed before this read of the log could include it.
    if (mTable == nullptr || confirmed->mTable->mVersion >= mTable->mVersion) {
      mTable = confirmed->mTable;
      mConfirmed = std::max(mConfirmed, confirmed->mReadAt);
    }
  } else if (const auto* unconfirmed = std::get_if<table::TableUnconfirmed>(&aEvent)) {
    if (!mLogUnavailable) {
      base::Log(base::LogEvent::LogReadFailed,
                "cannot read the configuration table: {}",
                unconfirmed->mMessage);
    }
    mLogUnavailable = true;
  } else {
    OnEditDone(std::get<table::EditDone>(aEvent));
  }
}

void
TableState::OnPeerVersion(Peer& aPeer, uint64_t aVersion, base::Millis aAge)
{
  aPeer.mConfigVersion = aVersion;
  if (mTable == nullptr) {
    return;
  }
  if (aVersion == mTable->mVersion) {
    mConfirmed = std::max(mConfirmed, mContext.mNow - aAge);
  } else if (aVersion < mTable->mVersion) {
    PushTo(aPeer);
  }
}

void
TableState::PushTo(const Peer& aPeer)
{
  wire::ConfigPushT push;
  push.version = mTable->mVersion;
  push.age_ms = static_cast<uint64_t>(Age().count());
  push.json = table::ToJson(*mTable);
  mContext.mEffects.SendFrame(aPeer.mLink, wire::MakeFrame(std::move(push)));
}

void
TableState::OnPush(const wire::ConfigPushT& aPush)
{
  if (mTable != nullptr && aPush.version <= mTable->mVersion) {
    return;
  }
  const base::Result<table::Table> table = table::FromJson(aPush.json);
  if (!base::IsOk(table) || base::ValueOf(table).mVersion != aPush.version) {
    base::Log(base::LogEvent::PeerProtocolError,
              "ignored a malformed configuration table pushed by a peer");
    return;
  }
  mTable = std::make_shared<const table::Table>(base::ValueOf(table));
  mConfirmed = mContext.mNow - base::Millis{ static_cast<int64_t>(aPush.age_ms) };
}

base::Millis
TableState::Age() const
{
  return std::chrono::duration_cast<base::Millis>(mContext.mNow - mConfirmed);
}

std::optional<base::Error>
TableState::CheckAge()
{
  const settings::Settings& settings = mContext.mSettings;
  const bool peers = !mPeers.Entries().empty() || !mPeers.Sidecars().empty();
  const base::Millis limit = peers ? settings.mConfigMaxAgeWithPeers : settings.mConfigMaxAge;
  if (mTable != nullptr && Age() <= limit) {
    return std::nullopt;
  }
  return base::Error{ ErrorKind::ConfigStale,
                      "the configuration table is unknown or too old; try again",
                      "" };
}

bool
TableState::KnowsAccount(const std::string& aAccount) const
{
  return mTable != nullptr && table::HasAccount(*mTable, aAccount);
}

// The key of aRow, which is the row that applies to the account, region and model.
static table::RowKey
KeyOf(const table::Table& aTable,
      const table::Row* aRow,
      const std::string& aAccount,
      const std::string& aRegion,
      const std::string& aModel)
{
  for (const std::string& region : { aRegion, std::string("*") }) {
    for (const std::string& model : { aModel, std::string("*") }) {
      const auto found = aTable.mRows.find({ aAccount, region, model });
      if (found != aTable.mRows.end() && &found->second == aRow) {
        return found->first;
      }
    }
  }
  return { aAccount, aRegion, aModel };
}

std::optional<RowView>
TableState::FindRow(const std::string& aAccount,
                    const std::string& aRegion,
                    const std::string& aModel) const
{
  const table::Row* row =
    mTable == nullptr ? nullptr : table::FindRow(*mTable, aAccount, aRegion, aModel);
  if (row == nullptr) {
    return std::nullopt;
  }
  const table::RowKey key = KeyOf(*mTable, row, aAccount, aRegion, aModel);
  return RowView{ fmt::format("{}/{}/{}", key.mAccount, key.mRegion, key.mModel), row->mContract };
}

void
TableState::Submit(const ReplyTo& aReply, table::Edit aEdit)
{
  const uint64_t operationId = mNextOperationId++;
  if (!mContext.mEffects.SubmitEdit(std::move(aEdit), operationId)) {
    mAnswers.Fail(aReply,
                  { ErrorKind::Overloaded, "too many table edits are pending; try again", "" });
    return;
  }
  mEdits[operationId] = aReply;
}

void
TableState::OnEditDone(const table::EditDone& aDone)
{
  const auto node = mEdits.extract(aDone.mTicket);
  if (node.empty()) {
    return;
  }
  if (base::IsOk(aDone.mVersion)) {
    mAnswers.Json(
      node.mapped(), 200, boost::json::object{ { "version", base::ValueOf(aDone.mVersion) } });
  } else {
    mAnswers.Fail(node.mapped(), base::ErrorOf(aDone.mVersion));
  }
}

}
