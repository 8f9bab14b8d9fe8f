#include "flags.h"
#include "groups.h"
#include "json_text.h"
#include "request.h"

#include <fmt/format.h>

namespace sycamore::ctl {

// The member aKey as text; empty if absent.
static std::string
Cell(const boost::json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr) {
    return "";
  }
  if (value->is_string()) {
    return std::string(value->get_string());
  }
  return value->is_double() ? fmt::format("{}", value->get_double())
                            : boost::json::serialize(*value);
}

// Lines of aligned columns, one per object.
static std::string
Columns(const std::vector<std::string_view>& aKeys, const boost::json::array& aObjects)
{
  std::vector<std::vector<std::string>> lines(1);
  for (const std::string_view key : aKeys) {
    lines[0].emplace_back(key);
  }
  for (const auto& element : aObjects) {
    auto& line = lines.emplace_back();
    for (const std::string_view key : aKeys) {
      line.push_back(element.is_object() ? Cell(element.get_object(), key) : "");
    }
  }
  std::vector<size_t> widths(aKeys.size());
  for (const auto& line : lines) {
    for (size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  std::string text;
  for (const auto& line : lines) {
    for (size_t i = 0; i < line.size(); ++i) {
      text += i + 1 == line.size() ? line[i] + "\n" : fmt::format("{:<{}}  ", line[i], widths[i]);
    }
  }
  return text;
}

static const std::vector<std::string_view> kRowKeys = {
  "account", "region", "model", "version", "weight", "requests_per_s", "tokens_per_s", "concurrency"
};
static const std::vector<std::string_view> kOrderKeys = { "service",       "version", "model",
                                                          "model_version", "adapter", "role" };

// The array aKey of the table; empty if absent.
static boost::json::array
ArrayOf(const boost::json::value& aTable, std::string_view aKey)
{
  const auto* object = aTable.if_object();
  const auto* array = object == nullptr ? nullptr : object->if_contains(aKey);
  return array != nullptr && array->is_array() ? array->get_array() : boost::json::array();
}

static ExitCode
List(const Invocation& aInvocation)
{
  if (FLAGS_json) {
    return PerformAndPrint(Get("/v1/table"), client::Resend::Safe, aInvocation.mTerminal);
  }
  auto entries = EntriesOfFlags(aInvocation.mTerminal);
  if (!entries) {
    return ExitCode::Usage;
  }
  const client::Answer answer = entries->Perform(Get("/v1/table"), client::Resend::Safe);
  if (const auto* failure = std::get_if<client::Failure>(&answer)) {
    return Report(*failure, aInvocation.mTerminal);
  }
  boost::json::error_code error;
  const auto table = boost::json::parse(std::get<http::ClientResponse>(answer).mBody, error);
  const auto* object = table.if_object();
  if (object == nullptr) {
    aInvocation.mTerminal.mErr("sycamorectl: the answer is not a table\n");
    return ExitCode::Refused;
  }
  aInvocation.mTerminal.mOut(fmt::format("table version {}\n\n{}\n{}",
                                         Cell(*object, "version"),
                                         Columns(kRowKeys, ArrayOf(table, "rows")),
                                         Columns(kOrderKeys, ArrayOf(table, "orders"))));
  return ExitCode::Ok;
}

// Reads the table and prints the elements of its array aArray that have all members of aIdentity.
static void
PrintCurrent(client::Entries& aEntries,
             std::string_view aArray,
             const boost::json::object& aIdentity,
             const Terminal& aTerminal)
{
  const client::Answer answer = aEntries.Perform(Get("/v1/table"), client::Resend::Safe);
  const auto* response = std::get_if<http::ClientResponse>(&answer);
  if (response == nullptr) {
    return;
  }
  boost::json::error_code error;
  const auto table = boost::json::parse(response->mBody, error);
  boost::json::array matching;
  for (const auto& element : ArrayOf(table, aArray)) {
    bool matches = element.is_object();
    for (const auto& member : aIdentity) {
      matches =
        matches && Cell(element.get_object(), member.key()) == Cell(aIdentity, member.key());
    }
    if (matches) {
      matching.push_back(element);
    }
  }
  aTerminal.mErr(
    matching.empty()
      ? "currently: does not exist (base version 0)\n"
      : fmt::format("currently:\n{}", Columns(aArray == "rows" ? kRowKeys : kOrderKeys, matching)));
}

// Sends an edit. On a conflict, prints the current row or order that aIdentity identifies.
static ExitCode
SendEdit(const Invocation& aInvocation,
         const http::ClientRequest& aRequest,
         std::string_view aArray,
         const boost::json::object& aIdentity)
{
  auto entries = EntriesOfFlags(aInvocation.mTerminal);
  if (!entries) {
    return ExitCode::Usage;
  }
  const client::Answer answer = entries->Perform(aRequest, client::Resend::Never);
  const auto* failure = std::get_if<client::Failure>(&answer);
  if (failure == nullptr) {
    aInvocation.mTerminal.mOut(PrettyJsonText(std::get<http::ClientResponse>(answer).mBody));
    return ExitCode::Ok;
  }
  if (failure->mRun == "uncommitted") {
    aInvocation.mTerminal.mErr(fmt::format("sycamorectl: {}\nsycamorectl: the edit may have been "
                                           "applied; read the table before repeating it\n",
                                           client::ToString(*failure)));
    return ExitCode::OutcomeUnknown;
  }
  const ExitCode code = Report(*failure, aInvocation.mTerminal);
  if (code == ExitCode::Conflict) {
    PrintCurrent(*entries, aArray, aIdentity, aInvocation.mTerminal);
  }
  return code;
}

static bool
HasBaseVersion(const Invocation& aInvocation)
{
  if (FLAGS_base_version >= 0) {
    return true;
  }
  UsageError(aInvocation.mTerminal,
             "give --base_version: the version in `sycamorectl table list`, or 0 if it is new");
  return false;
}

static ExitCode
EditRow(const Invocation& aInvocation, std::string_view aMethod, boost::json::object aBody)
{
  if (!HasBaseVersion(aInvocation)) {
    return ExitCode::Usage;
  }
  const auto& words = aInvocation.mArguments;
  aBody.emplace("base_version", FLAGS_base_version);
  const auto path = fmt::format("/v1/table/rows/{}/{}/{}",
                                EncodeSegment(words[0]),
                                EncodeSegment(words[1]),
                                EncodeSegment(words[2]));
  return SendEdit(aInvocation,
                  Send(std::string(aMethod), path, aBody),
                  "rows",
                  { { "account", words[0] }, { "region", words[1] }, { "model", words[2] } });
}

static ExitCode
Set(const Invocation& aInvocation)
{
  // A limit of 0 admits no request, so the limits have no default.
  if (FLAGS_requests_per_s < 0 || FLAGS_tokens_per_s < 0 || FLAGS_concurrency < 0) {
    return UsageError(aInvocation.mTerminal,
                      "give --requests_per_s, --tokens_per_s and --concurrency, 0 or more each");
  }
  return EditRow(aInvocation,
                 "PUT",
                 { { "weight", FLAGS_weight },
                   { "requests_per_s", FLAGS_requests_per_s },
                   { "tokens_per_s", FLAGS_tokens_per_s },
                   { "concurrency", FLAGS_concurrency } });
}

static ExitCode
Delete(const Invocation& aInvocation)
{
  return EditRow(aInvocation, "DELETE", {});
}

static ExitCode
OrderModel(const Invocation& aInvocation)
{
  if (!HasBaseVersion(aInvocation)) {
    return ExitCode::Usage;
  }
  if (FLAGS_model.empty() != FLAGS_remove) {
    return UsageError(aInvocation.mTerminal, "give either --model or --remove");
  }
  const std::string& service = aInvocation.mArguments[0];
  boost::json::object body{ { "base_version", FLAGS_base_version } };
  if (!FLAGS_remove) {
    body.emplace("model", FLAGS_model);
    body.emplace("adapter", FLAGS_adapter);
    body.emplace("model_version", FLAGS_model_version);
    body.emplace("role", FLAGS_role);
  }
  const auto path = fmt::format("/v1/table/orders/{}", EncodeSegment(service));
  return SendEdit(aInvocation,
                  Send(FLAGS_remove ? "DELETE" : "PUT", path, body),
                  "orders",
                  { { "service", service } });
}

std::vector<Command>
TableCommands()
{
  return {
    { "table list", "", "Prints all rows and orders with their versions.", { "json" }, List },
    { "table set",
      "ACCOUNT REGION MODEL",
      "Sets the limits of a row; REGION and MODEL may be '*'.",
      { "base_version", "weight", "requests_per_s", "tokens_per_s", "concurrency" },
      Set },
    { "table delete", "ACCOUNT REGION MODEL", "Deletes a row.", { "base_version" }, Delete },
    { "table order",
      "SERVICE",
      "Sets which model the engines of a service load, or removes the order.",
      { "base_version", "model", "adapter", "model_version", "role", "remove" },
      OrderModel }
  };
}

}
