#include "api.h"

#include "table_request.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <charconv>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace sycamore::entry {

using base::Error;
using base::ErrorKind;

Api::Api(Context& aContext,
         Answers& aAnswers,
         PartitionMap& aPartitions,
         Forwarder& aForwarder,
         TableState& aTable,
         ProgramService& aPrograms,
         CallIntake& aCalls,
         ApiPages aPages)
  : mContext(aContext)
  , mAnswers(aAnswers)
  , mPartitions(aPartitions)
  , mForwarder(aForwarder)
  , mTable(aTable)
  , mPrograms(aPrograms)
  , mCalls(aCalls)
  , mPages(std::move(aPages))
{
}

static base::Result<std::vector<std::string>>
SplitPath(std::string_view aPath)
{
  std::vector<std::string> segments;
  size_t begin = 1;
  while (begin <= aPath.size() && aPath.size() > 1) {
    const size_t end = std::min(aPath.find('/', begin), aPath.size());
    base::Result<std::string> segment = DecodePath(aPath.substr(begin, end - begin));
    if (!base::IsOk(segment)) {
      return base::ErrorOf(segment);
    }
    segments.push_back(base::TakeValue(std::move(segment)));
    begin = end + 1;
  }
  return segments;
}

void
Api::Handle(Incoming aIncoming)
{
  const auto segments = SplitPath(aIncoming.mPath);
  if (!base::IsOk(segments)) {
    mAnswers.Fail(aIncoming.mReply, base::ErrorOf(segments));
    return;
  }
  const Segments& path = base::ValueOf(segments);
  if (path.size() == 1 && HandlePage(aIncoming, path)) {
    return;
  }
  const std::string resource = path.size() >= 2 && path[0] == "v1" ? path[1] : "";
  if (resource == "table") {
    HandleTable(aIncoming, path);
  } else if (resource == "programs" && path.size() == 2) {
    HandleCreate(std::move(aIncoming));
  } else if (resource == "programs") {
    HandleProgram(std::move(aIncoming), path);
  } else {
    UnknownRoute(aIncoming.mReply);
  }
}

void
Api::UnknownRoute(const ReplyTo& aReply)
{
  mAnswers.Fail(aReply, { ErrorKind::UnknownRoute, "there is no such path", "path" });
}

bool
Api::Requires(const Incoming& aIncoming, std::string_view aMethod)
{
  if (aIncoming.mMethod == aMethod) {
    return true;
  }
  mAnswers.Fail(
    aIncoming.mReply,
    { ErrorKind::MethodNotAllowed, fmt::format("the path takes {} only", aMethod), "method" });
  return false;
}

bool
Api::HandlePage(const Incoming& aIncoming, const Segments& aPath)
{
  const std::string& page = aPath[0];
  if (page != "healthz" && page != "readyz" && page != "dump" && page != "metrics") {
    return false;
  }
  if (!Requires(aIncoming, "GET")) {
    return true;
  }
  http::ResponsePart part;
  if (page == "healthz") {
    part.mBody = R"({"state":"alive"})";
  } else if (page == "dump") {
    part.mBody = mPages.mDump();
  } else if (page == "metrics") {
    part.mContentType = "text/plain; version=0.0.4";
    part.mBody = mPages.mMetrics();
  } else {
    Ready(aIncoming.mReply);
    return true;
  }
  mAnswers.Send(aIncoming.mReply, std::move(part));
  return true;
}

void
Api::Ready(const ReplyTo& aReply)
{
  if (mContext.mDraining) {
    mAnswers.Fail(aReply, { ErrorKind::Stopping, "the entry is stopping", "" });
  } else if (const auto stale = mTable.CheckAge()) {
    mAnswers.Fail(aReply, *stale);
  } else if (!mPartitions.AllOwnersKnown()) {
    mAnswers.Fail(aReply, { ErrorKind::OwnerUnavailable, "a partition has no known owner", "" });
  } else {
    mAnswers.Json(aReply, 200, boost::json::object{ { "state", "ready" } });
  }
}

void
Api::HandleTable(const Incoming& aIncoming, const Segments& aPath)
{
  if (aPath.size() == 2) {
    if (!Requires(aIncoming, "GET")) {
      return;
    }
    if (mTable.Current() == nullptr) {
      mAnswers.Fail(aIncoming.mReply, { ErrorKind::ConfigStale, "the table is not known yet", "" });
      return;
    }
    http::ResponsePart part;
    part.mBody = table::ToJson(*mTable.Current());
    mAnswers.Send(aIncoming.mReply, std::move(part));
  } else if (aPath.size() == 6 && aPath[2] == "rows") {
    HandleRow(aIncoming, aPath);
  } else if (aPath.size() == 4 && aPath[2] == "orders") {
    HandleOrder(aIncoming, aPath);
  } else {
    UnknownRoute(aIncoming.mReply);
  }
}

void
Api::HandleRow(const Incoming& aIncoming, const Segments& aPath)
{
  const table::RowKey key{ aPath[3], aPath[4], aPath[5] };
  base::Result<table::Edit> edit = table::Edit{};
  if (aIncoming.mMethod == "PUT") {
    edit = ParseRowEdit(key, aIncoming.mBody);
  } else if (aIncoming.mMethod == "DELETE") {
    const base::Result<uint64_t> version = ParseBaseVersion(aIncoming.mBody);
    const bool exists = mTable.Current() != nullptr && mTable.Current()->mRows.contains(key);
    if (!base::IsOk(version)) {
      edit = base::ErrorOf(version);
    } else if (mTable.Current() != nullptr && !exists) {
      edit = Error{ ErrorKind::UnknownRow, "there is no such row", "path" };
    } else {
      table::Edit remove;
      remove.mRow = key;
      remove.mBaseVersion = base::ValueOf(version);
      edit = std::move(remove);
    }
  } else {
    edit = Error{ ErrorKind::MethodNotAllowed, "the path takes PUT and DELETE only", "method" };
  }
  if (base::IsOk(edit)) {
    const auto valid = table::ValidateEdit(base::ValueOf(edit));
    if (!base::IsOk(valid)) {
      edit = base::ErrorOf(valid);
    }
  }
  if (!base::IsOk(edit)) {
    const base::RunState run = base::RunState::NotACall;
    mAnswers.Fail(aIncoming.mReply, base::ErrorOf(edit), run);
    return;
  }
  mTable.Submit(aIncoming.mReply, base::TakeValue(std::move(edit)));
}

void
Api::HandleOrder(const Incoming& aIncoming, const Segments& aPath)
{
  base::Result<table::Edit> edit = table::Edit{};
  if (aIncoming.mMethod == "PUT") {
    edit = ParseOrderEdit(aPath[3], aIncoming.mBody);
  } else if (aIncoming.mMethod == "DELETE") {
    const base::Result<uint64_t> version = ParseBaseVersion(aIncoming.mBody);
    table::Edit remove;
    remove.mService = aPath[3];
    if (base::IsOk(version)) {
      remove.mBaseVersion = base::ValueOf(version);
      edit = std::move(remove);
    } else {
      edit = base::ErrorOf(version);
    }
  } else {
    edit = Error{ ErrorKind::MethodNotAllowed, "the path takes PUT and DELETE only", "method" };
  }
  if (base::IsOk(edit)) {
    const auto valid = table::ValidateEdit(base::ValueOf(edit));
    if (!base::IsOk(valid)) {
      edit = base::ErrorOf(valid);
    }
  }
  if (!base::IsOk(edit)) {
    mAnswers.Fail(aIncoming.mReply, base::ErrorOf(edit), base::RunState::NotACall);
    return;
  }
  mTable.Submit(aIncoming.mReply, base::TakeValue(std::move(edit)));
}

void
Api::HandleCreate(Incoming aIncoming)
{
  if (!Requires(aIncoming, "POST")) {
    return;
  }
  const base::Result<ProgramRequest> request = ParseProgramRequest(aIncoming.mBody);
  if (!base::IsOk(request)) {
    mAnswers.Fail(aIncoming.mReply, base::ErrorOf(request));
    return;
  }
  const auto& parent = base::ValueOf(request).mParent;
  if (parent && parent->mPartition >= mPartitions.Count()) {
    mAnswers.Fail(aIncoming.mReply,
                  { ErrorKind::UnknownProgram, "there is no such program", "parent" });
    return;
  }
  uint32_t partition = parent ? parent->mPartition : mNextPartition++ % mPartitions.Count();
  for (uint32_t i = 0; !parent && i < mPartitions.Count(); ++i) {
    // A program may be created in any partition; one owned by this entry needs no forwarding.
    const uint32_t candidate = (partition + i) % mPartitions.Count();
    const bool usable = mContext.mDraining ? !mPartitions.RemoteOwner(candidate).empty()
                                           : mPartitions.Owned(candidate) != nullptr;
    if (usable) {
      partition = candidate;
      break;
    }
  }
  if (mPartitions.Owned(partition) != nullptr) {
    mPrograms.Create(aIncoming, partition, base::ValueOf(request));
  } else {
    mForwarder.Forward(std::move(aIncoming), partition);
  }
}

void
Api::HandleProgram(Incoming aIncoming, const Segments& aPath)
{
  const base::Result<base::ProgramId> id = base::ParseProgramId(aPath[2]);
  if (!base::IsOk(id) || base::ValueOf(id).mPartition >= mPartitions.Count()) {
    mAnswers.Fail(aIncoming.mReply,
                  { ErrorKind::UnknownProgram, "there is no such program", "program" });
    return;
  }
  const uint32_t partition = base::ValueOf(id).mPartition;
  if (mPartitions.Owned(partition) == nullptr) {
    mForwarder.Forward(std::move(aIncoming), partition);
    return;
  }
  HandleOwned(aIncoming, base::ValueOf(id), aPath);
}

void
Api::HandleOwned(const Incoming& aIncoming, const base::ProgramId& aId, const Segments& aPath)
{
  if (aPath.size() == 3) {
    if (Requires(aIncoming, "GET")) {
      mPrograms.Describe(aIncoming, aId);
    }
  } else if (aPath.size() == 4 && aPath[3] == "history") {
    if (Requires(aIncoming, "GET")) {
      mPrograms.ShowHistory(aIncoming, aId);
    }
  } else if (aPath.size() == 4 && aPath[3] == "end") {
    if (Requires(aIncoming, "POST")) {
      mPrograms.End(aIncoming, aId);
    }
  } else if (aPath[3] == "calls") {
    HandleCalls(aIncoming, aId, aPath);
  } else {
    UnknownRoute(aIncoming.mReply);
  }
}

static std::optional<uint32_t>
ParseSeq(const std::string& aText)
{
  uint32_t seq = 0;
  const auto [end, failure] = std::from_chars(aText.data(), aText.data() + aText.size(), seq);
  const bool valid = failure == std::errc{} && end == aText.data() + aText.size() && seq > 0;
  return valid ? std::optional(seq) : std::nullopt;
}

void
Api::HandleCalls(const Incoming& aIncoming, const base::ProgramId& aId, const Segments& aPath)
{
  if (aPath.size() == 4) {
    if (!Requires(aIncoming, "POST")) {
      return;
    }
    const base::Result<CallRequest> request = ParseCallRequest(aIncoming.mBody);
    if (base::IsOk(request)) {
      mCalls.Submit(aIncoming, aId, base::ValueOf(request));
    } else {
      mAnswers.Fail(aIncoming.mReply, base::ErrorOf(request));
    }
    return;
  }
  const bool events = aPath.size() == 6 && aPath[5] == "events";
  if (aPath.size() != 5 && !events) {
    UnknownRoute(aIncoming.mReply);
    return;
  }
  if (!Requires(aIncoming, "GET")) {
    return;
  }
  const std::optional<uint32_t> seq = ParseSeq(aPath[4]);
  if (!seq) {
    mAnswers.Fail(aIncoming.mReply,
                  { ErrorKind::InvalidField, "seq must be a positive number", "seq" });
  } else if (events) {
    mCalls.Events(aIncoming, aId, *seq);
  } else {
    mCalls.Get(aIncoming, aId, *seq);
  }
}

}
