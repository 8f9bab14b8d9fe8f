#include "request.h"

#include "flags.h"
#include "json_text.h"

#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <utility>

namespace sycamore::ctl {

std::optional<client::Entries>
EntriesOfFlags(const Terminal& aTerminal)
{
  auto endpoints = client::ParseEndpoints(FLAGS_entry);
  if (!base::IsOk(endpoints)) {
    UsageError(aTerminal, fmt::format("--entry: {}", base::ErrorOf(endpoints).mMessage));
    return std::nullopt;
  }
  if (FLAGS_timeout_ms <= 0) {
    UsageError(aTerminal, "--timeout_ms must be positive");
    return std::nullopt;
  }
  return std::make_optional<client::Entries>(base::TakeValue(std::move(endpoints)),
                                             base::Millis(FLAGS_timeout_ms));
}

http::ClientRequest
Get(std::string aTarget)
{
  http::ClientRequest request;
  request.mTarget = std::move(aTarget);
  return request;
}

http::ClientRequest
Send(std::string aMethod, std::string aTarget, const boost::json::object& aBody)
{
  http::ClientRequest request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aTarget);
  request.mBody = boost::json::serialize(aBody);
  return request;
}

// What the user can do about a failure; empty if its message suffices.
static std::string_view
AdviceFor(const client::Failure& aFailure)
{
  if (aFailure.mStatus == 0 && aFailure.mRun == "not_run") {
    return "no entry answered: check --entry and that sycamoreleverd runs there";
  }
  if (aFailure.mRun == "uncommitted") {
    return "the request may have been run: repeat it with the same seq, which does not run it "
           "twice, or read the state first";
  }
  if (aFailure.mRun == "unknown") {
    return "the call may have been run and will not be repeated: check with the tool whether "
           "it ran; `program show` prints the outcome once it is known";
  }
  return aFailure.mRetryable ? "not run; repeat it later" : "";
}

ExitCode
Report(const client::Failure& aFailure, const Terminal& aTerminal)
{
  aTerminal.mErr(fmt::format("sycamorectl: {}\n", client::ToString(aFailure)));
  const std::string_view advice = AdviceFor(aFailure);
  if (!advice.empty()) {
    aTerminal.mErr(fmt::format("sycamorectl: {}\n", advice));
  }
  if (aFailure.mRun == "uncommitted" || aFailure.mRun == "unknown") {
    return ExitCode::OutcomeUnknown;
  }
  if (aFailure.mCode == "edit_conflict") {
    return ExitCode::Conflict;
  }
  return aFailure.mStatus == 0 ? ExitCode::Unreachable : ExitCode::Refused;
}

ExitCode
PerformAndPrint(const http::ClientRequest& aRequest,
                client::Resend aResend,
                const Terminal& aTerminal)
{
  auto entries = EntriesOfFlags(aTerminal);
  if (!entries) {
    return ExitCode::Usage;
  }
  const client::Answer answer = entries->Perform(aRequest, aResend);
  if (const auto* failure = std::get_if<client::Failure>(&answer)) {
    return Report(*failure, aTerminal);
  }
  aTerminal.mOut(PrettyJsonText(std::get<http::ClientResponse>(answer).mBody));
  return ExitCode::Ok;
}

ExitCode
UsageError(const Terminal& aTerminal, std::string_view aMessage)
{
  aTerminal.mErr(fmt::format("sycamorectl: {}\n", aMessage));
  return ExitCode::Usage;
}

std::optional<std::string>
ReadFile(const std::string& aPath, const Terminal& aTerminal)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    UsageError(aTerminal, fmt::format("{} cannot be read", aPath));
    return std::nullopt;
  }
  return std::string{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

bool
WriteFile(const std::string& aPath, std::string_view aText, const Terminal& aTerminal)
{
  std::ofstream file(aPath, std::ios::binary);
  file << aText;
  file.close();
  if (!file) {
    UsageError(aTerminal, fmt::format("{} cannot be written", aPath));
  }
  return static_cast<bool>(file);
}

std::string
EncodeSegment(std::string_view aText)
{
  std::string encoded;
  for (const char character : aText) {
    const bool plain = (character >= 'a' && character <= 'z') ||
                       (character >= 'A' && character <= 'Z') ||
                       (character >= '0' && character <= '9') ||
                       std::string_view("-._~*").find(character) != std::string_view::npos;
    encoded += plain ? std::string(1, character)
                     : fmt::format("%{:02X}", static_cast<unsigned char>(character));
  }
  return encoded;
}

}
