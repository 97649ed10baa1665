#include "jobentry/jobentryrole.h"

#include "core/base/error.h"
#include "platform/platformdecode.h"
#include "transport/address.h"
#include "workcodec/workcodec.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace geraniumpaddle {

namespace {

/// How long a read waits for a record. A broken connection is detected shortly
/// after this time.
constexpr duration RecordReadWait = std::chrono::seconds(1);
/// The leader stores progress many times a second, and every entry reads it.
/// Callers see an end at once, since entries are notified of it.
constexpr duration ProgressReadPause = std::chrono::milliseconds(200);
/// Longer, since entries rarely change.
constexpr duration EntriesReadWait = std::chrono::seconds(5);
/// The load balancer checks readiness once a second and removes the entry after
/// two failures.
constexpr duration DrainGracePeriod = std::chrono::milliseconds(2500);

work::scheduler_limits limitsFrom(const settings &Settings) {
  work::scheduler_limits Limits;
  Limits.Lease = std::min<duration>(Settings.LeaseDuration, work::MaxLease);
  // Half of the time is left for stopping the members that already wait.
  Limits.GangStartLimit = Settings.GangWaitTimeout / 2;
  Limits.Reclaim = Settings.ReclaimDeadline;
  Limits.Stop = Settings.MaxTaskStopTime;
  constexpr double Percent = 0.01;
  Limits.SpeedStep = Percent * static_cast<double>(Settings.SpeedStepPercent);
  return Limits;
}

constexpr int Success = 200;
constexpr int Unavailable = 503;

std::uint32_t milliCoresOf(double CpuShare) {
  constexpr double MilliCoresPerCore = 1000;
  return static_cast<std::uint32_t>(std::lround(CpuShare * MilliCoresPerCore));
}

void exportSchedulerMetrics(metric_registry &Metrics,
                            const work::work_scheduler &Scheduler) {
  Metrics.getGauge("geraniumpaddle_open_jobs", "Jobs that have not ended.")
      .set(static_cast<double>(Scheduler.openJobs()));
  Metrics.getGauge("geraniumpaddle_live_runs", "Runs that hold capacity.")
      .set(static_cast<double>(Scheduler.runningRuns()));
  Metrics.getGauge("geraniumpaddle_workers", "Workers that are known.")
      .set(static_cast<double>(Scheduler.workers().all().size()));
}

} // namespace

job_entry_role::job_entry_role(const job_entry_environment &Environment,
                               const settings &Settings,
                               const peer_identity &Self,
                               std::function<void()> OnDrained)
    : Environment(Environment), Settings(Settings), Self(Self),
      Limits(limitsFrom(Settings)),
      CpuMilliCores(milliCoresOf(Settings.CpuShare)),
      OnDrained(std::move(OnDrained)),
      Operator(Environment.Loop, Environment.Store, store_topic::Operator,
               RecordReadWait, duration{}, *this),
      Jobs(Environment.Loop, Environment.Store, store_topic::Jobs,
           RecordReadWait, duration{}, *this),
      Progress(Environment.Loop, Environment.Store, store_topic::Progress,
               RecordReadWait, ProgressReadPause, *this),
      Entries(Environment.Loop, Environment.Store, store_topic::Entries,
              EntriesReadWait, duration{}, *this),
      LeaderProbe(Environment.Peers, Self),
      Notifier(Environment.Peers, Environment.Metrics, Self),
      Election(Environment.Loop, Environment.Store, Self.Node.str(),
               election_limits{}, raw(Self.Incarnation), *this),
      Api(Environment.Loop, Environment.Store, Jobs, Environment.Metrics,
          Registry, Queues, Admission,
          [this](const keyed_record &Record) { onOwnRecordStored(Record); }),
      AnnounceRetry(Environment.Loop), DrainTimer(Environment.Loop),
      TermRetry(Environment.Loop), PreviousTermRetry(Environment.Loop),
      Retention(Environment.Loop) {}

void job_entry_role::start(std::string BoundPeerAddress) {
  PeerAddress = std::move(BoundPeerAddress);
  registerMetrics();
  Environment.Transport.setPeers([this] { return otherEntries(); });
  Log.event("start", {{"node", Self.Node.view()}, {"peer", PeerAddress}});
  announce();
  Operator.start();
  Jobs.start();
  Progress.start();
  Entries.start();
  Election.start();
}

work::entry_record job_entry_role::ownEntry() const {
  return {.Node = Self.Node,
          .Region = region_id(Settings.Region),
          .PeerAddress = PeerAddress,
          .StartedMs = raw(Self.Incarnation),
          .Term = Term,
          .CpuMilliCores = CpuMilliCores};
}

void job_entry_role::announce() {
  Environment.Store.append(
      {.Topic = store_topic::Entries,
       .Records = {{work::entryKey(Self.Node), work::encodeRecord(ownEntry())}},
       .Timeout = AnnounceTimeout},
      [this, Alive = Alive](const append_outcome &Outcome) {
        if (!*Alive || Outcome.Status == store_append_status::Stored)
          return;
        AnnounceRetry.start(AnnounceRetryDelay, [this] { announce(); });
      });
}

std::vector<std::string> job_entry_role::otherEntries() const {
  std::vector<std::string> Addresses;
  for (const auto &[Node, Entry] : Registry.entries())
    if (Node != Self.Node)
      Addresses.push_back(Entry.PeerAddress);
  // Until the entries have been read, use those of the settings.
  if (Addresses.empty())
    for (const std::string &Seed :
         withPortOf(Settings.PeerListen, Settings.EntryAddresses))
      if (Seed != PeerAddress)
        Addresses.push_back(Seed);
  return Addresses;
}

bool job_entry_role::loaded() const {
  return Operator.loaded() && Jobs.loaded() && Progress.loaded();
}

void job_entry_role::registerMetrics() {
  Environment.Metrics.onRender([this] {
    metric_registry &Metrics = Environment.Metrics;
    const auto Age = [this](time_point Since) {
      return std::chrono::duration<double>(Environment.Loop.now() - Since)
          .count();
    };
    Metrics.getGauge("geraniumpaddle_config_version", "Version in force.")
        .set(static_cast<double>(Queues.version()));
    for (const auto &[Topic, Reader] :
         {std::pair("operator", &Operator), std::pair("jobs", &Jobs)})
      Metrics
          .getGauge("geraniumpaddle_belief_age_seconds",
                    "Time since the store last answered a read of the topic.",
                    {{"topic", Topic}})
          .set(Age(Reader->lastAnswer()));
    for (const auto &[Priority, Wait] : Admission.forecast())
      Metrics
          .getGauge("geraniumpaddle_queue_wait_seconds",
                    "Least wait of a job that comes now, by the last forecast.",
                    {{"priority", std::to_string(Priority)}})
          .set(std::chrono::duration<double>(Wait).count());
    Metrics.getGauge("geraniumpaddle_term", "Term in office; 0: none.")
        .set(SchedulerDriver
                 ? static_cast<double>(SchedulerDriver->scheduler().term())
                 : 0);
    if (SchedulerDriver)
      exportSchedulerMetrics(Metrics, SchedulerDriver->scheduler());
    Metrics
        .getGauge("geraniumpaddle_evacuated_zones",
                  "Availability zones that operators have evacuated.")
        .set(static_cast<double>(Evacuated.size()));
    Metrics.getGauge("geraniumpaddle_ready", "1 while ready for callers.")
        .set(ready() ? 1 : 0);
  });
}

bool job_entry_role::ready() const {
  return !Draining && loaded() && Queues.version() > 0;
}

// Records.

void job_entry_role::onRecord(store_topic Topic, const keyed_record &Record) {
  if (Topic == store_topic::Progress)
    Election.feed(leader_active{});
  if (Topic == store_topic::Operator)
    onOperatorRecord(Record);
  else
    onWorkRecord(Record);
}

void job_entry_role::onOperatorRecord(const keyed_record &Record) {
  if (Record.Key == ConfigurationKey && !Record.Deleted)
    applyConfiguration(Record);
  else if (const auto Zone = decodeEvacuation(Record.Key))
    applyEvacuation(*Zone, Record);
}

void job_entry_role::applyEvacuation(const availability_zone_id &Zone,
                                     const keyed_record &Record) {
  const bool Changed =
      Record.Deleted ? Evacuated.restore(Zone) : Evacuated.evacuate(Zone);
  if (!Changed)
    return;
  Log.event(Record.Deleted ? "zone_restored" : "zone_evacuated",
            {{"zone", Zone.view()}, {"offset", Record.Offset}});
  if (SchedulerDriver)
    SchedulerDriver->feed(work::evacuations_changed{});
}

void job_entry_role::applyConfiguration(const keyed_record &Record) {
  try {
    if (!Queues.replace(decodeConfiguration(Record.Value)))
      return;
  } catch (const error &Problem) {
    Log.warningEvent("configuration_unreadable",
                     {{"offset", Record.Offset}, {"problem", Problem.what()}});
    return;
  }
  Log.event("configuration", {{"version", Queues.version()},
                              {"offset", Record.Offset},
                              {"routes", Queues.current().Routes.size()}});
  if (SchedulerDriver)
    SchedulerDriver->feed(work::scheduler_timer_expired{});
}

void job_entry_role::onWorkRecord(const keyed_record &Record) {
  const work::record_position Position{Record.Key, Record.Offset};
  if (Record.Deleted) {
    Registry.forget(Position);
    return;
  }
  try {
    const work::work_record Decoded = work::decodeRecord(Record.Value);
    Registry.apply(Position, Decoded);
    if (std::holds_alternative<work::entry_record>(Decoded))
      compareStrength();
    if (SchedulerDriver)
      notifyScheduler(Decoded);
  } catch (const error &Problem) {
    Log.warningEvent("record_unreadable", {{"key", Record.Key},
                                           {"offset", Record.Offset},
                                           {"problem", Problem.what()}});
  }
}

/// Applies a record that this entry has stored and notifies the other entries.
void job_entry_role::onOwnRecordStored(const keyed_record &Record) {
  onWorkRecord(Record);
  if (SchedulerDriver)
    Admission.updateForecast(SchedulerDriver->forecast(),
                             Environment.Loop.now());
  Notifier.notify(otherEntries(), Record,
                  [this](const proto::PeerResponse &Answer) {
                    if (Answer.has_queue_forecast())
                      Admission.updateForecast(
                          work::decodeForecast(Answer.queue_forecast()),
                          Environment.Loop.now());
                  });
}

void job_entry_role::notifyScheduler(const work::work_record &Record) {
  if (const auto *Submitted = std::get_if<work::job_submitted>(&Record)) {
    const work::registered_job *Entry = Registry.find(Submitted->Spec.Id);
    if (Entry && !ended(Entry->Progress.State))
      SchedulerDriver->feed(work::job_arrived{Entry->Spec});
  } else if (const auto *Cancelled =
                 std::get_if<work::job_cancelled>(&Record)) {
    SchedulerDriver->feed(work::job_cancel_requested{Cancelled->Job});
  }
}

void job_entry_role::onLoaded(store_topic Topic) {
  Log.event("topic_loaded", {{"topic", static_cast<int>(Topic)}});
}

// Requests of agents, other entries and clients.

void job_entry_role::handleReport(const proto::work::WorkerReport &Report,
                                  const peer_responder &Respond) {
  if (SchedulerDriver && isLeadershipConfirmed()) {
    SchedulerDriver->handleReport(Report, Respond);
    return;
  }
  proto::PeerResponse Response;
  proto::work::WorkerOrders &Orders = *Response.mutable_worker_orders();
  Orders.set_in_office(false);
  for (const auto &[Node, Entry] : Registry.entries())
    *Orders.add_entries() = work::encodeEntry(Entry);
  Respond(std::move(Response));
}

void job_entry_role::handlePeer(const proto::PeerRequest &Request,
                                const peer_responder &Respond) {
  if (Request.has_worker_report()) {
    Agents.recordReport(Request.node(), Environment.Loop.now());
    try {
      handleReport(Request.worker_report(), Respond);
      return;
    } catch (const malformed_message_error &Problem) {
      Log.warningEvent("report_unreadable",
                       {{"node", Request.node()}, {"problem", Problem.what()}});
    }
  }
  if (Request.has_record_stored()) {
    onWorkRecord(decodeNotification(Request.record_stored()));
    proto::PeerResponse Response;
    if (SchedulerDriver)
      *Response.mutable_queue_forecast() =
          work::encodeForecast(SchedulerDriver->forecast());
    Respond(std::move(Response));
    return;
  }
  if (Request.has_office_asked()) {
    answerLeaderQuery(Respond);
    return;
  }
  if (Request.has_term_begun()) {
    answerTermBegun(Request.term_begun().term(), Respond);
    return;
  }
  if (Request.has_store_call()) {
    Environment.Transport.serve(Request.store_call(), Respond);
    return;
  }
  proto::PeerResponse Response;
  Response.set_refusal(proto::REFUSAL_INVALID);
  Respond(std::move(Response));
}

void job_entry_role::handleFront(
    const http_request_view &Request,
    const std::shared_ptr<ihttp_responder> &Responder) {
  if (!loaded()) {
    Responder->respond(encodeError(Unavailable, "not_ready",
                                   "the jobs are being read", AnnounceTimeout));
    return;
  }
  Api.handle(Request, Responder);
}

void job_entry_role::handleReadiness(
    const http_request_view &,
    const std::shared_ptr<ihttp_responder> &Responder) {
  if (ready() && !EverReady) {
    EverReady = true;
    Log.event("ready", {{"config", Queues.version()}});
  }
  Responder->respond(ready() ? textResponse(Success, "ready\n")
                             : textResponse(Unavailable, "not ready\n"));
}

void job_entry_role::drain() {
  if (Draining)
    return;
  Draining = true;
  Log.event("drain_started", {});
  Election.feed(retire{});
  DrainTimer.start(DrainGracePeriod, [this] { OnDrained(); });
}

} // namespace geraniumpaddle
