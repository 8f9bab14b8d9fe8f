#include "flags.h"

DEFINE_string(entry,
              "127.0.0.1:8080",
              "HTTP addresses of entries, separated by commas; the next one is asked if one is "
              "down.");
DEFINE_int64(timeout_ms, 130000, "Longest wait for one answer.");

DEFINE_string(account, "", "Account that the program is charged to.");
DEFINE_string(region, "", "Region of the caller.");
DEFINE_uint64(budget_tokens, 0, "Prompt and generated tokens that the program may use in total.");
DEFINE_uint64(max_turns, 0, "Largest number of calls; 0 takes the system's default.");
DEFINE_uint64(time_limit_ms, 0, "Longest life of the program; 0 takes the system's default.");
DEFINE_uint64(idle_limit_ms, 0, "Longest pause between calls; 0 takes the system's default.");
DEFINE_string(parent, "", "Program id of the parent of a sub-agent, which then shares its budget.");

DEFINE_uint64(seq, 0, "Number of the call in its program; 0 asks the system for the next one.");
DEFINE_string(service, "", "Service that the call is for, e.g. inspect-llm.");
DEFINE_string(message, "", "Text of the new message of this turn.");
DEFINE_string(message_role, "user", "Role of the new message.");
DEFINE_string(messages, "", "New messages as a JSON array, instead of --message.");
DEFINE_uint64(max_tokens, 256, "Longest answer.");
DEFINE_bool(stream, false, "Print the answer while it is generated.");
DEFINE_uint64(deadline_ms, 0, "Longest duration of the call; 0 takes the system's default.");
DEFINE_string(tool, "", "Name of the tool.");
DEFINE_string(arguments, "{}", "Arguments of the tool as a JSON object.");
DEFINE_string(key,
              "",
              "Makes the call non-idempotent: it runs at most once under this key. Without it the "
              "call is repeatable.");
DEFINE_string(last_event_id, "", "Id of the last event that was already seen.");

DEFINE_bool(json, false, "Print JSON as received.");
DEFINE_int64(
  base_version,
  -1,
  "Version of the row or order that the edit replaces, see `table list`; 0 if it is new.");
DEFINE_double(weight, 1, "Share relative to other accounts.");
DEFINE_double(requests_per_s, -1, "Calls per second over all entries.");
DEFINE_double(tokens_per_s, -1, "Prompt and generated tokens per second over all entries.");
DEFINE_int64(concurrency, -1, "Calls running at the same time over all entries.");
DEFINE_string(model, "", "Model that the engines of the service should load.");
DEFINE_string(adapter, "", "Adapter of the model.");
DEFINE_string(model_version, "", "Version of the model.");
DEFINE_string(role, "", "Role of the engines.");
DEFINE_bool(remove, false, "Remove the order instead of setting it.");

DEFINE_string(gateways, "30,100,300", "Numbers of gateways, separated by commas.");
DEFINE_double(turns_per_s, 5, "Turns per second at each gateway.");

DEFINE_string(engines, "", "Addresses of stand-in engines whose counters are read.");
DEFINE_string(tools, "", "Addresses of stand-in tools whose counters are read.");
DEFINE_string(out,
              "",
              "Prefix of the files that are written: PREFIX.json, PREFIX.txt and PREFIX.html for "
              "bench, PREFIX.svg for capacity store.");
DEFINE_string(label, "run", "Name of the variant; runs with the same label are repetitions.");
DEFINE_int64(seed, -1, "Seed of all random choices; -1 takes that of the mix.");
DEFINE_double(duration_s, 0, "Time in which programs arrive; 0 takes that of the mix.");
DEFINE_double(drain_s, 60, "Programs still running this long after the last arrival are cut off.");
DEFINE_double(patience_s, 60, "A call is not sent again after this time.");
DEFINE_double(settle_s,
              3,
              "Time between the last program and the last reading of the counters, in which the "
              "system releases memory.");
