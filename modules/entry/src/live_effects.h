#pragma once

#include "sycamore/entry/effects.h"
#include "sycamore/http/server.h"
#include "sycamore/ledger/ledger.h"
#include "sycamore/table/table_service.h"
#include "sycamore/transport/peer_hub.h"

#include <utility>

namespace sycamore::entry {

// Implements Effects with the HTTP server, peer hub, ledger and table service of the process.
class LiveEffects : public Effects
{
public:
  LiveEffects(http::Server& aServer,
              transport::PeerHub& aHub,
              ledger::Ledger& aLedger,
              table::TableService& aTable)
    : mServer(aServer)
    , mHub(aHub)
    , mLedger(aLedger)
    , mTable(aTable)
  {
  }

  void SendPart(http::ResponsePart aPart) override { mServer.Send(std::move(aPart)); }

  bool SendFrame(transport::LinkId aLink, const wire::FrameT& aFrame) override
  {
    return mHub.Send(aLink, aFrame);
  }

  void Dial(const http::Endpoint& aEndpoint) override { mHub.Dial(aEndpoint); }
  void Forget(const http::Endpoint& aEndpoint) override { mHub.Forget(aEndpoint); }

  void Publish(wire::HelloT aHello, wire::HeartbeatT aHeartbeat) override
  {
    mHub.Publish(std::move(aHello), std::move(aHeartbeat));
  }

  void OpenPartition(uint32_t aPartition) override { mLedger.Open(aPartition); }

  bool Claim(uint32_t aPartition, wire::LogClaimT aClaim, uint64_t aOperationId) override
  {
    return mLedger.Claim(aPartition, std::move(aClaim), aOperationId);
  }

  bool Append(uint32_t aPartition, wire::LogEntryT aEntry, uint64_t aOperationId) override
  {
    return mLedger.Append(aPartition, std::move(aEntry), aOperationId);
  }

  void Abandon(uint32_t aPartition) override { mLedger.Abandon(aPartition); }

  void ReadTurn(uint32_t aPartition,
                uint64_t aOffset,
                const base::ProgramId& aProgram,
                uint32_t aSeq,
                uint64_t aOperationId) override
  {
    mLedger.ReadTurn(aPartition, aOffset, aProgram, aSeq, aOperationId);
  }

  void SetLivePartitions(uint32_t aCount) override { mLedger.SetLivePartitions(aCount); }

  void SetCheckpoint(uint32_t aPartition, uint64_t aOffset) override
  {
    mLedger.SetCheckpoint(aPartition, aOffset);
  }

  size_t PendingBytes() const override { return mLedger.PendingBytes(); }

  bool SubmitEdit(table::Edit aEdit, uint64_t aOperationId) override
  {
    return mTable.Submit(std::move(aEdit), aOperationId);
  }

private:
  http::Server& mServer;
  transport::PeerHub& mHub;
  ledger::Ledger& mLedger;
  table::TableService& mTable;
};

}
