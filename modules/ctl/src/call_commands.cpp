#include "flags.h"
#include "groups.h"
#include "json_text.h"
#include "request.h"

#include "sycamore/client/call_stream.h"

#include <charconv>
#include <fmt/format.h>

namespace sycamore::ctl {

// The value of --seq, or else the next seq of the program, which an entry is asked for. Prints a
// failure and returns its exit code.
static std::variant<uint64_t, ExitCode>
SeqOfCall(client::Entries& aEntries, const std::string& aProgram, const Terminal& aTerminal)
{
  if (FLAGS_seq != 0) {
    return FLAGS_seq;
  }
  const client::Answer answer = aEntries.Perform(
    Get(fmt::format("/v1/programs/{}", EncodeSegment(aProgram))), client::Resend::Safe);
  if (const auto* failure = std::get_if<client::Failure>(&answer)) {
    return Report(*failure, aTerminal);
  }
  boost::json::error_code error;
  const auto root = boost::json::parse(std::get<http::ClientResponse>(answer).mBody, error);
  const auto* object = root.if_object();
  const auto* next = object == nullptr ? nullptr : object->if_contains("next_seq");
  if (next == nullptr || !next->is_int64()) {
    aTerminal.mErr("sycamorectl: the answer has no next_seq; give --seq\n");
    return ExitCode::Refused;
  }
  return static_cast<uint64_t>(next->get_int64());
}

// Follows the events of a call and prints its tokens as they arrive, then the final answer.
static ExitCode
Follow(client::Entries& aEntries,
       const std::string& aProgram,
       uint64_t aSeq,
       const std::optional<std::string>& aBody,
       const Terminal& aTerminal)
{
  const client::CallStreamHandlers handlers{
    [&aTerminal](std::string_view aText) { aTerminal.mOut(aText); },
    [&aTerminal] { aTerminal.mErr("\nsycamorectl: the owner changed; the text starts again\n"); }
  };
  client::CallStream stream(
    aEntries, EncodeSegment(aProgram), aSeq, base::Millis(FLAGS_timeout_ms));
  const auto result = stream.Run(aBody, FLAGS_last_event_id, handlers);
  aTerminal.mOut("\n");
  if (const auto* failure = std::get_if<client::Failure>(&result)) {
    return Report(*failure, aTerminal);
  }
  // The text is on standard output already; standard error gets the complete answer for scripts.
  aTerminal.mErr(fmt::format("{}\n", std::get<std::string>(result)));
  return ExitCode::Ok;
}

static ExitCode
PostCall(const Invocation& aInvocation, boost::json::object aBody)
{
  const std::string& program = aInvocation.mArguments[0];
  auto entries = EntriesOfFlags(aInvocation.mTerminal);
  if (!entries) {
    return ExitCode::Usage;
  }
  const auto seq = SeqOfCall(*entries, program, aInvocation.mTerminal);
  if (const auto* code = std::get_if<ExitCode>(&seq)) {
    return *code;
  }
  aBody.emplace("seq", std::get<uint64_t>(seq));
  aBody.emplace("service", FLAGS_service);
  if (FLAGS_deadline_ms != 0) {
    aBody.emplace("deadline_ms", FLAGS_deadline_ms);
  }
  if (FLAGS_stream) {
    aBody.emplace("stream", true);
    return Follow(*entries,
                  program,
                  std::get<uint64_t>(seq),
                  boost::json::serialize(aBody),
                  aInvocation.mTerminal);
  }
  const auto path = fmt::format("/v1/programs/{}/calls", EncodeSegment(program));
  const client::Answer answer = entries->Perform(Send("POST", path, aBody), client::Resend::Safe);
  if (const auto* failure = std::get_if<client::Failure>(&answer)) {
    aInvocation.mTerminal.mErr(fmt::format("sycamorectl: seq {}\n", std::get<uint64_t>(seq)));
    return Report(*failure, aInvocation.mTerminal);
  }
  aInvocation.mTerminal.mOut(PrettyJsonText(std::get<http::ClientResponse>(answer).mBody));
  return ExitCode::Ok;
}

static ExitCode
CallModel(const Invocation& aInvocation)
{
  if (FLAGS_service.empty() || FLAGS_message.empty() == FLAGS_messages.empty()) {
    return UsageError(aInvocation.mTerminal, "give --service, and either --message or --messages");
  }
  boost::json::value messages;
  if (FLAGS_messages.empty()) {
    messages =
      boost::json::array{ { { "role", FLAGS_message_role }, { "content", FLAGS_message } } };
  } else {
    boost::json::error_code error;
    messages = boost::json::parse(FLAGS_messages, error);
    if (error || !messages.is_array()) {
      return UsageError(aInvocation.mTerminal, "--messages must be a JSON array");
    }
  }
  return PostCall(aInvocation,
                  { { "kind", "model" },
                    { "messages", std::move(messages) },
                    { "max_tokens", FLAGS_max_tokens } });
}

static ExitCode
CallTool(const Invocation& aInvocation)
{
  if (FLAGS_service.empty() || FLAGS_tool.empty()) {
    return UsageError(aInvocation.mTerminal, "give --service and --tool");
  }
  boost::json::error_code error;
  const boost::json::value arguments = boost::json::parse(FLAGS_arguments, error);
  if (error || !arguments.is_object()) {
    return UsageError(aInvocation.mTerminal, "--arguments must be a JSON object");
  }
  boost::json::object body{ { "kind", "tool" },
                            { "tool", FLAGS_tool },
                            { "arguments", arguments },
                            { "repeatable", FLAGS_key.empty() } };
  if (!FLAGS_key.empty()) {
    body.emplace("key", FLAGS_key);
  }
  return PostCall(aInvocation, std::move(body));
}

static ExitCode
Watch(const Invocation& aInvocation)
{
  const std::string& text = aInvocation.mArguments[1];
  uint64_t seq = 0;
  const auto [last, error] = std::from_chars(text.data(), text.data() + text.size(), seq);
  if (error != std::errc() || last != text.data() + text.size()) {
    return UsageError(aInvocation.mTerminal, "SEQ must be a number");
  }
  auto entries = EntriesOfFlags(aInvocation.mTerminal);
  if (!entries) {
    return ExitCode::Usage;
  }
  return Follow(*entries, aInvocation.mArguments[0], seq, std::nullopt, aInvocation.mTerminal);
}

std::vector<Command>
CallCommands()
{
  return { { "call model",
             "PROGRAM",
             "Sends the next model call of a program and prints the answer.",
             { "seq",
               "service",
               "message",
               "message_role",
               "messages",
               "max_tokens",
               "stream",
               "deadline_ms" },
             CallModel },
           { "call tool",
             "PROGRAM",
             "Sends the next tool call of a program and prints the answer.",
             { "seq", "service", "tool", "arguments", "key", "deadline_ms" },
             CallTool },
           { "watch",
             "PROGRAM SEQ",
             "Prints the events of a call, from its start or after --last_event_id.",
             { "last_event_id" },
             Watch } };
}

}
