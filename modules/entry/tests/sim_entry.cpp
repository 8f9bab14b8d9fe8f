#include "sim_entry.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace sycamore::entry::testing {

namespace json = boost::json;

static constexpr base::Millis kTick{ 50 };

boost::json::value
Received::Json() const
{
  json::error_code failure;
  json::value value = json::parse(mBody, failure);
  BOOST_REQUIRE_MESSAGE(!failure, "response body is not JSON: " + mBody);
  return value;
}

static std::string
ErrorField(const Received& aReceived, const char* aField)
{
  const json::value body = aReceived.Json();
  const json::value* error = body.as_object().if_contains("error");
  return error == nullptr ? "" : std::string(error->at(aField).as_string());
}

std::string
Received::ErrorCode() const
{
  return ErrorField(*this, "code");
}

std::string
Received::Run() const
{
  return ErrorField(*this, "run");
}

SimEntry::SimEntry(SimLog& aLog,
                   const std::string& aName,
                   uint64_t aIncarnation,
                   base::TimePoint aNow)
  : mNow(aNow)
  , mLedger(aLog, aIncarnation)
{
  mSettings.mInstance = aName;
  mSettings.mRegion = "lahore-a";
  mSettings.mPartitions = 2;
  mCore = std::make_unique<EntryCore>(mSettings, *this, aIncarnation, "127.0.0.1:1", aNow);
}

void
SimEntry::Do(CoreEvent aEvent)
{
  mCore->Handle(std::move(aEvent), mNow);
  Settle();
}

void
SimEntry::Settle()
{
  for (;;) {
    if (!mHoldLog) {
      mLedger.Flush();
    }
    const auto events = mLedger.TakeEvents();
    bool quiet = true;
    for (const ledger::LedgerEvent& event : events) {
      quiet = quiet && std::holds_alternative<ledger::LogAccessFailed>(event);
      mCore->Handle(event, mNow);
    }
    if (quiet) {
      return;
    }
  }
}

void
SimEntry::AdvanceTime(base::Millis aTime)
{
  for (base::Millis passed{ 0 }; passed < aTime; passed += kTick) {
    mNow += kTick;
    Do(Tick{});
  }
}

uint64_t
SimEntry::Request(const std::string& aMethod, const std::string& aPath, const std::string& aBody)
{
  http::Request request;
  request.mId = mNextRequest++;
  request.mMethod = aMethod;
  request.mPath = aPath;
  request.mBody = aBody;
  const uint64_t id = request.mId;
  Do(std::move(request));
  return id;
}

uint64_t
SimEntry::Resume(const std::string& aPath, const std::string& aLastEventId)
{
  http::Request request;
  request.mId = mNextRequest++;
  request.mMethod = "GET";
  request.mPath = aPath;
  request.mLastEventId = aLastEventId;
  request.mAcceptsStream = true;
  const uint64_t id = request.mId;
  Do(std::move(request));
  return id;
}

Received&
SimEntry::Ask(const std::string& aMethod, const std::string& aPath, const std::string& aBody)
{
  return mAnswers[Request(aMethod, aPath, aBody)];
}

void
SimEntry::ConfirmTable()
{
  table::Table table;
  table.mVersion = 1;
  table::Row row;
  row.mContract = { 1.0, 1000, 10000000, 1000 };
  row.mVersion = 1;
  table.mRows[{ "acme", "*", "*" }] = row;
  ConfirmTable(table);
}

void
SimEntry::ConfirmTable(const table::Table& aTable)
{
  Do(
    table::TableEvent(table::TableConfirmed{ std::make_shared<const table::Table>(aTable), mNow }));
}

transport::LinkId
SimEntry::ConnectSidecar(const std::string& aInstance,
                         uint64_t aIncarnation,
                         const std::string& aService,
                         const std::string& aKind)
{
  auto hello = std::make_shared<wire::HelloT>();
  hello->role = wire::Role::Sidecar;
  hello->instance = aInstance;
  hello->incarnation = aIncarnation;
  hello->region = "lahore-a";
  auto target = std::make_unique<wire::TargetInfoT>();
  target->name = aInstance + "-target";
  target->service = aService;
  target->kind = aKind;
  hello->targets.push_back(std::move(target));
  const transport::LinkId link = 1000 + mNextLink++;
  mLinks.insert(link);
  Do(transport::PeerEvent(transport::PeerConnected{ link, std::move(hello), "127.0.0.1:2" }));
  return link;
}

void
SimEntry::Disconnect(transport::LinkId aLink)
{
  mLinks.erase(aLink);
  Do(transport::PeerEvent(transport::PeerLost{ aLink, "test" }));
}

void
SimEntry::Frame(transport::LinkId aLink, wire::FrameT aFrame)
{
  Do(transport::PeerEvent(
    transport::PeerFrame{ aLink, std::make_shared<wire::FrameT>(std::move(aFrame)) }));
}

void
SimEntry::AnswerModel(transport::LinkId aLink,
                      const wire::DispatchT& aDispatch,
                      const std::string& aText)
{
  wire::CallOutcomeT outcome;
  outcome.call = std::make_unique<wire::CallIdT>(*aDispatch.call);
  outcome.attempt = aDispatch.attempt;
  outcome.status = 200;
  outcome.body = json::serialize(json::object{
    { "choices",
      json::array{ json::object{
        { "message", json::object{ { "role", "assistant" }, { "content", aText } } } } } } });
  outcome.prompt_tokens = 20;
  outcome.cached_tokens = 5;
  outcome.generated_tokens = 7;
  Frame(aLink, wire::MakeFrame(std::move(outcome)));
}

void
SimEntry::AnswerTool(transport::LinkId aLink,
                     const wire::DispatchT& aDispatch,
                     const std::string& aBody)
{
  wire::CallOutcomeT outcome;
  outcome.call = std::make_unique<wire::CallIdT>(*aDispatch.call);
  outcome.attempt = aDispatch.attempt;
  outcome.status = 200;
  outcome.body = aBody;
  Frame(aLink, wire::MakeFrame(std::move(outcome)));
}

void
SimEntry::Outcome(transport::LinkId aLink,
                  const wire::DispatchT& aDispatch,
                  wire::CallResult aResult,
                  const std::string& aError)
{
  wire::CallOutcomeT outcome;
  outcome.call = std::make_unique<wire::CallIdT>(*aDispatch.call);
  outcome.attempt = aDispatch.attempt;
  outcome.result = aResult;
  outcome.error = aError;
  Frame(aLink, wire::MakeFrame(std::move(outcome)));
}

std::string
SimEntry::Create(uint64_t aBudget)
{
  const Received& answer =
    Ask("POST",
        "/v1/programs",
        fmt::format(R"({{"account":"acme","region":"lahore-a","budget_tokens":{}}})", aBudget));
  BOOST_REQUIRE_MESSAGE(answer.mStatus == 201, answer.mBody);
  return std::string(answer.Json().at("program").as_string());
}

bool
SimEntry::Owns(uint32_t aPartition) const
{
  const auto& owned = mHeartbeat.partitions;
  return std::find(owned.begin(), owned.end(), aPartition) != owned.end();
}

void
SimEntry::SendPart(http::ResponsePart aPart)
{
  Received& received = mAnswers[aPart.mRequest];
  BOOST_TEST(received.mLastParts == 0, "a response part follows the last part");
  if (aPart.mFirst) {
    received.mStatus = aPart.mStatus;
    received.mContentType = aPart.mContentType;
    received.mRetryAfter = aPart.mRetryAfter;
    ++received.mFirstParts;
  }
  BOOST_TEST(received.mFirstParts == 1, "a response has exactly one first part, before all others");
  received.mBody += aPart.mBody;
  received.mLastParts += aPart.mLast ? 1 : 0;
}

bool
SimEntry::SendFrame(transport::LinkId aLink, const wire::FrameT& aFrame)
{
  if (!mLinks.contains(aLink)) {
    return false;
  }
  mFrames.emplace_back(aLink, aFrame);
  return true;
}

void
SimEntry::Publish(wire::HelloT aHello, wire::HeartbeatT aHeartbeat)
{
  mHello = std::move(aHello);
  mHeartbeat = std::move(aHeartbeat);
}

bool
SimEntry::Claim(uint32_t aPartition, wire::LogClaimT aClaim, uint64_t aTicket)
{
  return mLedger.Claim(aPartition, std::move(aClaim), aTicket);
}

bool
SimEntry::Append(uint32_t aPartition, wire::LogEntryT aEntry, uint64_t aTicket)
{
  return mLedger.Append(aPartition, std::move(aEntry), aTicket);
}

void
SimEntry::ReadTurn(uint32_t aPartition,
                   uint64_t aOffset,
                   const base::ProgramId& aProgram,
                   uint32_t aSeq,
                   uint64_t aTicket)
{
  mLedger.ReadTurn(aPartition, aOffset, aProgram, aSeq, aTicket);
}

void
SimEntry::SetCheckpoint(uint32_t aPartition, uint64_t aOffset)
{
  mCheckpoints[aPartition] = aOffset;
}

bool
SimEntry::SubmitEdit(table::Edit aEdit, uint64_t aTicket)
{
  mEdits.emplace_back(std::move(aEdit), aTicket);
  return true;
}

}
