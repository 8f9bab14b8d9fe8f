#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace sycamore::base {

enum class LogLevel : uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

// Numbered events; docs/events.md is the catalogue. A number is never given to another event.
// Ranges: 1xx process, 2xx connections, 3xx partitions and log, 4xx calls, 5xx configuration, 6xx
// engine memory and orders, 7xx membership, 8xx bench and stand-ins.
enum class LogEvent : uint16_t
{
  ProcessStarted = 100,
  ProcessStopping = 101,
  ProcessStopped = 102,
  SettingsInvalid = 103,
  RingFull = 104,
  HttpListening = 105,
  HttpError = 106,
  SettingsReloaded = 107,
  PeerConnected = 200,
  PeerLost = 201,
  PeerSilent = 202,
  PeerSuperseded = 203,
  PeerProtocolError = 204,
  AggregatorLost = 205,
  AggregatorRecovered = 206,
  FactHubLost = 207,
  FactHubRecovered = 208,
  FactsDropped = 209,
  ConnectionsYielded = 210,
  PartitionClaiming = 300,
  PartitionOwned = 301,
  PartitionLost = 302,
  PartitionReleased = 303,
  LogAppendFailed = 304,
  LogAppendRecovered = 305,
  LogReadFailed = 306,
  CheckpointWritten = 307,
  BatchIgnored = 308,
  HistoryRewritten = 309,
  HistoryLoaded = 310,
  RetentionTooLong = 311,
  CallStarted = 400,
  CallFinished = 401,
  CallRetried = 402,
  CallRefused = 403,
  IntentSealed = 404,
  OutcomeUnknown = 405,
  ProgramCreated = 406,
  ProgramEnded = 407,
  GatewayCall = 408,
  ReplicaTry = 409,
  CrashSuspected = 410,
  RequestBarred = 411,
  AccountRefused = 412,
  TableChanged = 500,
  EditRejected = 501,
  TableStale = 502,
  TableConfirmed = 503,
  MemoryReleased = 600,
  MemoryHoldExpired = 601,
  MemoryAdopted = 602,
  OrderSent = 610,
  OrderApplied = 611,
  OrderRefused = 612,
  WeightStoreLimited = 613,
  InstanceLeaving = 700,
  InstanceGone = 701,
  DrainStarted = 702,
  DrainFinished = 703,
  ReplicaAvoided = 704,
  ReplicaRestored = 705,
  ReplicaLimited = 706,
  BenchStarted = 800,
  BenchFinished = 801,
  StandinStarted = 810,
  FaultInjected = 811,
};

// One row of the event catalogue.
struct LogEventInfo
{
  LogEvent mEvent;
  std::string_view mName;
  LogLevel mLevel;
};

// Returns the row of aEvent. Each event has exactly one row.
const LogEventInfo&
InfoFor(LogEvent aEvent);

// All rows in ascending order of number.
std::span<const LogEventInfo>
AllLogEvents();

}
