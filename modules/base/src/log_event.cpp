#include "sycamore/base/log_event.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace sycamore::base {

static constexpr LogEventInfo kEvents[] = {
  { LogEvent::ProcessStarted, "process_started", LogLevel::Info },
  { LogEvent::ProcessStopping, "process_stopping", LogLevel::Info },
  { LogEvent::ProcessStopped, "process_stopped", LogLevel::Info },
  { LogEvent::SettingsInvalid, "settings_invalid", LogLevel::Error },
  { LogEvent::RingFull, "ring_full", LogLevel::Warning },
  { LogEvent::HttpListening, "http_listening", LogLevel::Info },
  { LogEvent::HttpError, "http_error", LogLevel::Warning },
  { LogEvent::SettingsReloaded, "settings_reloaded", LogLevel::Info },
  { LogEvent::PeerConnected, "peer_connected", LogLevel::Info },
  { LogEvent::PeerLost, "peer_lost", LogLevel::Warning },
  { LogEvent::PeerSilent, "peer_silent", LogLevel::Warning },
  { LogEvent::PeerSuperseded, "peer_superseded", LogLevel::Info },
  { LogEvent::PeerProtocolError, "peer_protocol_error", LogLevel::Error },
  { LogEvent::AggregatorLost, "aggregator_lost", LogLevel::Warning },
  { LogEvent::AggregatorRecovered, "aggregator_recovered", LogLevel::Info },
  { LogEvent::FactHubLost, "fact_hub_lost", LogLevel::Warning },
  { LogEvent::FactHubRecovered, "fact_hub_recovered", LogLevel::Info },
  { LogEvent::FactsDropped, "facts_dropped", LogLevel::Warning },
  { LogEvent::ConnectionsYielded, "connections_yielded", LogLevel::Warning },
  { LogEvent::PartitionClaiming, "partition_claiming", LogLevel::Info },
  { LogEvent::PartitionOwned, "partition_owned", LogLevel::Info },
  { LogEvent::PartitionLost, "partition_lost", LogLevel::Warning },
  { LogEvent::PartitionReleased, "partition_released", LogLevel::Info },
  { LogEvent::LogAppendFailed, "log_append_failed", LogLevel::Warning },
  { LogEvent::LogAppendRecovered, "log_append_recovered", LogLevel::Info },
  { LogEvent::LogReadFailed, "log_read_failed", LogLevel::Warning },
  { LogEvent::CheckpointWritten, "checkpoint_written", LogLevel::Info },
  { LogEvent::BatchIgnored, "batch_ignored", LogLevel::Warning },
  { LogEvent::HistoryRewritten, "history_rewritten", LogLevel::Info },
  { LogEvent::HistoryLoaded, "history_loaded", LogLevel::Info },
  { LogEvent::RetentionTooLong, "retention_too_long", LogLevel::Warning },
  { LogEvent::CallStarted, "call_started", LogLevel::Debug },
  { LogEvent::CallFinished, "call_finished", LogLevel::Debug },
  { LogEvent::CallRetried, "call_retried", LogLevel::Info },
  { LogEvent::CallRefused, "call_refused", LogLevel::Info },
  { LogEvent::IntentSealed, "intent_sealed", LogLevel::Info },
  { LogEvent::OutcomeUnknown, "outcome_unknown", LogLevel::Warning },
  { LogEvent::ProgramCreated, "program_created", LogLevel::Debug },
  { LogEvent::ProgramEnded, "program_ended", LogLevel::Debug },
  { LogEvent::GatewayCall, "gateway_call", LogLevel::Info },
  { LogEvent::ReplicaTry, "replica_try", LogLevel::Info },
  { LogEvent::CrashSuspected, "crash_suspected", LogLevel::Info },
  { LogEvent::RequestBarred, "request_barred", LogLevel::Warning },
  { LogEvent::AccountRefused, "account_refused", LogLevel::Info },
  { LogEvent::TableChanged, "table_changed", LogLevel::Info },
  { LogEvent::EditRejected, "edit_rejected", LogLevel::Warning },
  { LogEvent::TableStale, "table_stale", LogLevel::Warning },
  { LogEvent::TableConfirmed, "table_confirmed", LogLevel::Debug },
  { LogEvent::MemoryReleased, "memory_released", LogLevel::Debug },
  { LogEvent::MemoryHoldExpired, "memory_hold_expired", LogLevel::Info },
  { LogEvent::MemoryAdopted, "memory_adopted", LogLevel::Info },
  { LogEvent::OrderSent, "order_sent", LogLevel::Info },
  { LogEvent::OrderApplied, "order_applied", LogLevel::Info },
  { LogEvent::OrderRefused, "order_refused", LogLevel::Warning },
  { LogEvent::WeightStoreLimited, "weight_store_limited", LogLevel::Warning },
  { LogEvent::InstanceLeaving, "instance_leaving", LogLevel::Info },
  { LogEvent::InstanceGone, "instance_gone", LogLevel::Warning },
  { LogEvent::DrainStarted, "drain_started", LogLevel::Info },
  { LogEvent::DrainFinished, "drain_finished", LogLevel::Info },
  { LogEvent::ReplicaAvoided, "replica_avoided", LogLevel::Warning },
  { LogEvent::ReplicaRestored, "replica_restored", LogLevel::Info },
  { LogEvent::ReplicaLimited, "replica_limited", LogLevel::Info },
  { LogEvent::BenchStarted, "bench_started", LogLevel::Info },
  { LogEvent::BenchFinished, "bench_finished", LogLevel::Info },
  { LogEvent::StandinStarted, "standin_started", LogLevel::Info },
  { LogEvent::FaultInjected, "fault_injected", LogLevel::Info },
};

const LogEventInfo&
InfoFor(LogEvent aEvent)
{
  const auto* row = std::find_if(std::begin(kEvents),
                                 std::end(kEvents),
                                 [aEvent](const auto& aRow) { return aRow.mEvent == aEvent; });
  assert(row != std::end(kEvents));
  return *row;
}

std::span<const LogEventInfo>
AllLogEvents()
{
  return kEvents;
}

}
