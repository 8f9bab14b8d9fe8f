#pragma once

#include <gflags/gflags.h>

DECLARE_bool(help);

DECLARE_string(entry);
DECLARE_int64(timeout_ms);
DECLARE_string(account);
DECLARE_string(region);
DECLARE_uint64(budget_tokens);
DECLARE_uint64(max_turns);
DECLARE_uint64(time_limit_ms);
DECLARE_uint64(idle_limit_ms);
DECLARE_string(parent);
DECLARE_uint64(seq);
DECLARE_string(service);
DECLARE_string(message);
DECLARE_string(message_role);
DECLARE_string(messages);
DECLARE_uint64(max_tokens);
DECLARE_bool(stream);
DECLARE_uint64(deadline_ms);
DECLARE_string(tool);
DECLARE_string(arguments);
DECLARE_string(key);
DECLARE_string(last_event_id);
DECLARE_bool(json);
DECLARE_int64(base_version);
DECLARE_double(weight);
DECLARE_double(requests_per_s);
DECLARE_double(tokens_per_s);
DECLARE_int64(concurrency);
DECLARE_string(model);
DECLARE_string(adapter);
DECLARE_string(model_version);
DECLARE_string(role);
DECLARE_bool(remove);

DECLARE_string(gateways);
DECLARE_double(turns_per_s);

DECLARE_string(engines);
DECLARE_string(tools);
DECLARE_string(out);
DECLARE_string(label);
DECLARE_int64(seed);
DECLARE_double(duration_s);
DECLARE_double(drain_s);
DECLARE_double(patience_s);
DECLARE_double(settle_s);
