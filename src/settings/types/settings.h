#pragma once

#include "core/base/types/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Entry and Agent implement the project's own interface, JobEntry and JobAgent
/// that of the users' platform.
enum class node_role : std::uint8_t { Entry, Agent, JobEntry, JobAgent };
enum class objective_setting : std::uint8_t { CompletionTime, Fragmentation };
enum class log_format_setting : std::uint8_t { KeyValue, Json };

/// Every setting of the daemon with its default. Addresses are ip:port.
struct settings {
  node_role Role = node_role::Entry;
  std::string Node;
  std::string Region;
  std::string Zone;
  double CpuShare = 1; ///< share of a core that this VM has
  std::int64_t MemoryMb = 128;
  std::int64_t MaxDescriptors = 4096;

  std::string PeerListen;
  std::string HttpListen;
  std::string FrontListen;
  std::string ReadinessListen;
  std::string ControlListen;
  std::string StoreAddress;

  log_format_setting LogFormat = log_format_setting::KeyValue;
  std::string LogLevel = "info";

  std::string LogAddress;
  std::string LogRegion; ///< empty: the region of this process
  std::string LogAppendPath = "/append";
  std::string LogReadPath = "/read";
  std::chrono::milliseconds LogTimeout{2000};
  std::chrono::milliseconds LogLongPoll{10000};

  objective_setting Objective = objective_setting::CompletionTime;
  std::int64_t AppendQueue = 4096;
  std::chrono::milliseconds AppendDeadline{5000};
  std::int64_t SnapshotRecords = 20000;
  std::string OperatorTokenHash;
  std::int64_t MaxConnections = 2048;
  std::int64_t LogLinesPerSecond = 200;
  std::int64_t MaxBodyBytes = 8LL * 1024 * 1024;
  std::chrono::milliseconds RequestTimeout{30000};
  std::int64_t RequestQueue = 1024;
  std::vector<std::string> Peers;

  std::vector<std::string> EntryAddresses;
  std::string WorkerId;
  std::string WorkerRack;
  std::string WorkerAddress;
  std::string WorkerBasePath;
  std::string Service;
  std::string EndpointAddress;
  std::int64_t EndpointSlots = 8;
  std::int64_t EndpointQueue = 64;

  std::int64_t SpeedStepPercent = 0;
  std::chrono::milliseconds HeartbeatInterval{1000};
  std::chrono::milliseconds LeaseDuration{6000};
  std::chrono::milliseconds DrainNotice{1000};
  std::chrono::milliseconds GangWaitTimeout{3000};
  std::chrono::milliseconds MaxTaskStopTime{900};
  std::chrono::milliseconds ReclaimDeadline{2700};
  std::chrono::milliseconds StatusRetention{120000};
  std::chrono::milliseconds ProbeBackOff{300000};
  std::string ProbeCommand = "true";
};

} // namespace geraniumpaddle
