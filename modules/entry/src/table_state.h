#pragma once

#include "answers.h"
#include "context.h"
#include "peers.h"
#include "sycamore/table/table_event.h"
#include "sycamore/world/contract.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sycamore::entry {

// The row that applies to a call.
struct RowView
{
  std::string mName; // Identifies the row: account/region/model.
  world::Contract mContract;
};

// The newest accepted configuration table known to this entry, its age, and the edits that wait to
// be answered.
class TableState
{
public:
  TableState(Context& aContext, Answers& aAnswers, Peers& aPeers);

  void OnEvent(const table::TableEvent& aEvent);

  // Handles a peer's hello or heartbeat: the peer has version aVersion, confirmed aAge ago.
  void OnPeerVersion(Peer& aPeer, uint64_t aVersion, base::Millis aAge);

  // Handles a table pushed by a peer; adopts it if its version is higher.
  void OnPush(const wire::ConfigPushT& aPush);

  // ConfigStale if the table is unknown or too old to accept new work; nullopt otherwise.
  std::optional<base::Error> CheckAge();

  // Whether the last read of the table's log failed.
  bool IsLogUnavailable() const { return mLogUnavailable; }

  const table::Table* Current() const { return mTable.get(); }
  bool KnowsAccount(const std::string& aAccount) const;
  std::optional<RowView> FindRow(const std::string& aAccount,
                                 const std::string& aRegion,
                                 const std::string& aModel) const;

  uint64_t Version() const { return mTable == nullptr ? 0 : mTable->mVersion; }
  base::Millis Age() const;

  // Appends an edit; answers aReply when the edit has been read back from the log.
  void Submit(const ReplyTo& aReply, table::Edit aEdit);

private:
  void OnEditDone(const table::EditDone& aDone);
  void PushTo(const Peer& aPeer);

  Context& mContext;
  Answers& mAnswers;
  Peers& mPeers;
  std::shared_ptr<const table::Table> mTable;
  base::TimePoint mConfirmed;
  bool mLogUnavailable = false;
  uint64_t mNextOperationId = 1;
  std::map<uint64_t, ReplyTo> mEdits;
};

}
