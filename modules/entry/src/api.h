#pragma once

#include "answers.h"
#include "call_intake.h"
#include "forwarder.h"
#include "incoming.h"
#include "partition_map.h"
#include "program_service.h"
#include "table_state.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::entry {

// Render the bodies of /dump and /metrics.
struct ApiPages
{
  std::function<std::string()> mDump;
  std::function<std::string()> mMetrics;
};

// The HTTP API: finds the handler of a request, checks its path and body, and passes requests for
// programs of other owners to the forwarder.
class Api
{
public:
  Api(Context& aContext,
      Answers& aAnswers,
      PartitionMap& aPartitions,
      Forwarder& aForwarder,
      TableState& aTable,
      ProgramService& aPrograms,
      CallIntake& aCalls,
      ApiPages aPages);

  // Handles a request whose reply was opened.
  void Handle(Incoming aIncoming);

private:
  using Segments = std::vector<std::string>;

  bool HandlePage(const Incoming& aIncoming, const Segments& aPath);
  void HandleTable(const Incoming& aIncoming, const Segments& aPath);
  void HandleRow(const Incoming& aIncoming, const Segments& aPath);
  void HandleOrder(const Incoming& aIncoming, const Segments& aPath);
  void HandleCreate(Incoming aIncoming);
  void HandleProgram(Incoming aIncoming, const Segments& aPath);
  void HandleOwned(const Incoming& aIncoming, const base::ProgramId& aId, const Segments& aPath);
  void HandleCalls(const Incoming& aIncoming, const base::ProgramId& aId, const Segments& aPath);
  void Ready(const ReplyTo& aReply);
  void UnknownRoute(const ReplyTo& aReply);
  bool Requires(const Incoming& aIncoming, std::string_view aMethod);

  Context& mContext;
  Answers& mAnswers;
  PartitionMap& mPartitions;
  Forwarder& mForwarder;
  TableState& mTable;
  ProgramService& mPrograms;
  CallIntake& mCalls;
  ApiPages mPages;
  uint32_t mNextPartition = 0;
};

// Parses the body of POST /v1/programs. Errors: MalformedBody, InvalidField.
base::Result<ProgramRequest>
ParseProgramRequest(std::string_view aBody);

}
