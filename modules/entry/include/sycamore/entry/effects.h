#pragma once

#include "sycamore/base/program_id.h"
#include "sycamore/http/endpoint.h"
#include "sycamore/http/response_part.h"
#include "sycamore/table/table_service.h"
#include "sycamore/transport/peer_event.h"
#include "sycamore/wire/codec.h"

#include <cstddef>
#include <cstdint>

namespace sycamore::entry {

// The output actions of EntryCore. Each function is documented at the corresponding function of
// http::Server, transport::PeerHub, ledger::Ledger or table::TableService.
class Effects
{
public:
  virtual ~Effects() = default;

  virtual void SendPart(http::ResponsePart aPart) = 0;

  virtual bool SendFrame(transport::LinkId aLink, const wire::FrameT& aFrame) = 0;
  virtual void Dial(const http::Endpoint& aEndpoint) = 0;
  virtual void Forget(const http::Endpoint& aEndpoint) = 0;
  virtual void Publish(wire::HelloT aHello, wire::HeartbeatT aHeartbeat) = 0;

  virtual void OpenPartition(uint32_t aPartition) = 0;
  virtual bool Claim(uint32_t aPartition, wire::LogClaimT aClaim, uint64_t aOperationId) = 0;
  virtual bool Append(uint32_t aPartition, wire::LogEntryT aEntry, uint64_t aOperationId) = 0;
  virtual void Abandon(uint32_t aPartition) = 0;
  virtual void ReadTurn(uint32_t aPartition,
                        uint64_t aOffset,
                        const base::ProgramId& aProgram,
                        uint32_t aSeq,
                        uint64_t aOperationId) = 0;
  virtual void SetLivePartitions(uint32_t aCount) = 0;
  virtual void SetCheckpoint(uint32_t aPartition, uint64_t aOffset) = 0;
  virtual size_t PendingBytes() const = 0;

  virtual bool SubmitEdit(table::Edit aEdit, uint64_t aOperationId) = 0;
};

}
