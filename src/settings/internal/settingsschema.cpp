#include "settings/internal/settingsschema.h"

#include <array>

namespace geraniumpaddle {

namespace {

constexpr std::int64_t MaxMilliseconds = 600000;
constexpr std::int64_t MaxLeaseMilliseconds = 60000;
constexpr std::int64_t MaxCores = 1024;
constexpr std::int64_t MaxCount = 1000000;
constexpr std::int64_t MaxBytes = 256LL * 1024 * 1024;

using s = settings;
using rule = value_rule;

constexpr setting_field text(std::string_view Key, std::string s::*Member,
                             rule Rule, required_by RequiredBy,
                             std::string_view Comment) {
  return {Key, Member, Rule, RequiredBy, 0, 0, Comment};
}

constexpr setting_field list(std::string_view Key,
                             std::vector<std::string> s::*Member,
                             required_by RequiredBy, std::string_view Comment) {
  return {Key, Member, rule::Address, RequiredBy, 0, 0, Comment};
}

constexpr setting_field number(std::string_view Key, std::int64_t s::*Member,
                               std::int64_t Max, std::string_view Comment) {
  return {Key, Member, rule::None, required_by::NoRole, 1, Max, Comment};
}

constexpr setting_field time(std::string_view Key,
                             std::chrono::milliseconds s::*Member,
                             std::string_view Comment) {
  return {Key, Member,          rule::None, required_by::NoRole,
          1,   MaxMilliseconds, Comment};
}

constexpr auto Schema = std::to_array<setting_field>({
    {"role", &s::Role, rule::None, required_by::AllRoles, 0, 0,
     "entry, agent, job_entry or job_agent"},
    text("node", &s::Node, rule::Name, required_by::AllRoles,
         "name of this process, unique in the system"),
    text("region", &s::Region, rule::Name, required_by::AllRoles,
         "region of this VM"),
    text("zone", &s::Zone, rule::Name, required_by::AllRoles,
         "availability zone of this VM"),
    {"vm.cpu_share", &s::CpuShare, rule::None, required_by::NoRole, 0, MaxCores,
     "share of a core that this VM has; the scheduler runs where it is "
     "largest"},
    number("vm.memory_mb", &s::MemoryMb, MaxCount,
           "memory of a process on this VM in MiB; callers may take up an "
           "eighth"),
    number("vm.max_descriptors", &s::MaxDescriptors, MaxCount,
           "descriptors of a process on this VM; callers may take up half"),
    text("listen.peer", &s::PeerListen, rule::Address, required_by::AllRoles,
         "ip:port for the system's own processes"),
    text("listen.http", &s::HttpListen, rule::Address, required_by::AllRoles,
         "ip:port for callers, operators, health and metrics"),
    text("listen.front", &s::FrontListen, rule::OptionalAddress,
         required_by::JobEntry, "ip:port for the callers of jobs"),
    text("listen.readiness", &s::ReadinessListen, rule::OptionalAddress,
         required_by::JobEntry, "ip:port for the balancer's question"),
    text("listen.control", &s::ControlListen, rule::OptionalAddress,
         required_by::JobAgent, "ip:port for the worker's heartbeats"),
    text("store.address", &s::StoreAddress, rule::OptionalAddress,
         required_by::JobRoles, "ip:port of the platform's store"),
    {"logging.format", &s::LogFormat, rule::None, required_by::NoRole, 0, 0,
     "key_value or json"},
    text("logging.level", &s::LogLevel, rule::Severity, required_by::NoRole,
         "trace, debug, info, warning or error"),
    number("logging.lines_per_second", &s::LogLinesPerSecond, MaxCount,
           "lines beyond it are left out and counted"),
    text("log.address", &s::LogAddress, rule::Address, required_by::Entry,
         "ip:port of the platform's log service"),
    text("log.region", &s::LogRegion, rule::None, required_by::NoRole,
         "region of the log service; empty: the region of this process"),
    text("log.append_path", &s::LogAppendPath, rule::Path, required_by::NoRole,
         "path of its append call"),
    text("log.read_path", &s::LogReadPath, rule::Path, required_by::NoRole,
         "path of its read call"),
    time("log.timeout_ms", &s::LogTimeout, "limit of one call to it"),
    time("log.long_poll_ms", &s::LogLongPoll,
         "how long a read waits for a record"),
    {"entry.objective", &s::Objective, rule::None, required_by::NoRole, 0, 0,
     "completion_time or fragmentation: what placement weighs more"},
    number("entry.append_queue", &s::AppendQueue, MaxCount,
           "records that may wait for the log"),
    time("entry.append_deadline_ms", &s::AppendDeadline,
         "a proposal without a verdict by then is undetermined"),
    number("entry.snapshot_records", &s::SnapshotRecords, MaxCount,
           "records between two snapshots"),
    {"entry.operator_token_hash", &s::OperatorTokenHash, rule::SaltedHash,
     required_by::NoRole, 0, 0,
     "salted hash of the operators' token; empty: no token asked", true},
    number("entry.max_connections", &s::MaxConnections, MaxCount,
           "open connections of callers, on all interfaces together"),
    number("entry.max_body_bytes", &s::MaxBodyBytes, MaxBytes,
           "largest request body"),
    time("entry.request_timeout_ms", &s::RequestTimeout,
         "a request without an outcome by then is given up"),
    number("entry.request_queue", &s::RequestQueue, MaxCount,
           "requests that may wait for an endpoint"),
    list("entry.peers", &s::Peers, required_by::NoRole,
         "peer addresses of other entries, asked for the state while the log "
         "is down"),
    list("agent.entries", &s::EntryAddresses, required_by::Agent,
         "peer addresses of the balancer in front of the entries; in the job "
         "roles: VMs of entries"),
    text("agent.worker.id", &s::WorkerId, rule::Name, required_by::Agent,
         "name of the worker beside this agent"),
    text("agent.worker.rack", &s::WorkerRack, rule::Name, required_by::Agent,
         "rack of the worker"),
    text("agent.worker.address", &s::WorkerAddress, rule::Address,
         required_by::Agent, "ip:port of the worker's lease interface"),
    text("agent.worker.base_path", &s::WorkerBasePath, rule::Path,
         required_by::NoRole, "path before its calls"),
    text("agent.endpoint.service", &s::Service, rule::Name, required_by::NoRole,
         "service that the endpoint belongs to; empty: no endpoint"),
    text("agent.endpoint.address", &s::EndpointAddress, rule::Address,
         required_by::NoRole, "ip:port of the endpoint"),
    number("agent.endpoint.slots", &s::EndpointSlots, MaxCount,
           "requests that it serves at once"),
    number("agent.endpoint.queue", &s::EndpointQueue, MaxCount,
           "requests that may wait for a slot"),
    {"scheduling.speed_step_percent", &s::SpeedStepPercent, rule::None,
     required_by::NoRole, 0, 100,
     "workers whose speeds differ by less count as equally fast; 0: speeds are "
     "not learned"},
    time("timing.heartbeat_ms", &s::HeartbeatInterval,
         "least time between heartbeats"),
    {"timing.lease_ms", &s::LeaseDuration, rule::None, required_by::NoRole,
     1000, MaxLeaseMilliseconds,
     "lease of a running task; an agent's must not be longer than an entry's"},
    time("timing.gang_wait_ms", &s::GangWaitTimeout,
         "members of a gang wait this long for each other"),
    time("timing.stop_ms", &s::MaxTaskStopTime,
         "a worker needs up to this long to stop a task"),
    time("timing.reclaim_ms", &s::ReclaimDeadline,
         "a guaranteed job has its first tasks started by then"),
    time("timing.status_kept_ms", &s::StatusRetention,
         "an ended job stays readable this long at least"),
    time("timing.probe_back_off_ms", &s::ProbeBackOff,
         "from a worker's quarantine to its first probe"),
    text("entry.probe_command", &s::ProbeCommand, rule::None,
         required_by::NoRole, "task that probes a quarantined worker"),
    time("timing.drain_notice_ms", &s::DrainNotice,
         "how long a drain is announced before the listener closes"),
});

} // namespace

std::span<const setting_field> settingsSchema() { return Schema; }

} // namespace geraniumpaddle
