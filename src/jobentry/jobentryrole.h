#pragma once

#include "core/topics/recentagents.h"
#include "core/work/admissioncontrol.h"
#include "core/work/jobregistry.h"
#include "core/work/queuedirectory.h"
#include "jobentry/electiondriver.h"
#include "jobentry/jobapi.h"
#include "jobentry/jobschedulerdriver.h"
#include "jobentry/leaderprobe.h"
#include "jobentry/recordnotifier.h"
#include "jobentry/relayingtransport.h"
#include "jobentry/topicreader.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "peercodec/peercodec.h"
#include "platform/istore.h"
#include "settings/types/settings.h"
#include "transport/ieventloop.h"
#include "transport/ihttpserver.h"
#include "transport/ipeerclient.h"
#include "transport/ipeerserver.h"
#include "transport/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace geraniumpaddle {

struct job_entry_environment {
  ievent_loop &Loop;
  ipeer_client &Peers;
  istore &Store;
  relaying_transport &Transport; ///< used by Store
  metric_registry &Metrics;
};

/// The entry role on the platform: follows the log, serves clients, and runs
/// the scheduler while it is the leader.
class job_entry_role final : public itopic_delegate, public ielection_delegate {
public:
  /// \param OnDrained called once a drain is over and the process may exit.
  job_entry_role(const job_entry_environment &Environment,
                 const settings &Settings, const peer_identity &Self,
                 std::function<void()> OnDrained);
  ~job_entry_role() override { *Alive = false; }

  /// Call once the peer interface is bound to \p PeerAddress.
  void start(std::string PeerAddress);
  /// Gives up leadership and fails the readiness check. Requests are still
  /// served until the load balancer has noticed.
  void drain();

  void handlePeer(const proto::PeerRequest &Request,
                  const peer_responder &Respond);
  void handleFront(const http_request_view &Request,
                   const std::shared_ptr<ihttp_responder> &Responder);
  void handleReadiness(const http_request_view &Request,
                       const std::shared_ptr<ihttp_responder> &Responder);

  void onRecord(store_topic Topic, const keyed_record &Record) override;
  void onLoaded(store_topic Topic) override;
  void onLeadershipAcquired(std::uint64_t Term,
                            std::uint64_t TopicEnd) override;
  void onLeadershipLost() override;
  void queryLeader(std::function<void(leader_status)> Done) override;
  std::size_t recentAgentCount() override;

private:
  /// Timeout of one append of the role itself, and the delay before a retry.
  static constexpr duration AnnounceTimeout = std::chrono::seconds(1);
  static constexpr duration AnnounceRetryDelay = std::chrono::milliseconds(300);

  // Leadership is implemented in a source file of its own.
  void onOperatorRecord(const keyed_record &Record);
  void applyConfiguration(const keyed_record &Record);
  void applyEvacuation(const availability_zone_id &Zone,
                       const keyed_record &Record);
  void onWorkRecord(const keyed_record &Record);
  void onOwnRecordStored(const keyed_record &Record);
  void notifyScheduler(const work::work_record &Record);
  void catchUp(std::uint64_t Term, std::uint64_t TopicEnd);
  void catchUpRequests(std::function<void(bool)> Done);
  void recordTerm(std::uint64_t Term);
  keyed_value termRecord() const;
  void beginTerm(std::uint64_t Term);
  work::entry_record ownEntry() const;
  void queryPreviousTerm(int AttemptsLeft);
  void onPreviousTermEnded(const proto::work::TermEnded &Ended);
  work::entry_record lastLeader() const;
  void compareStrength();
  void answerLeaderQuery(const peer_responder &Respond);
  void answerTermBegun(std::uint64_t NewTerm, const peer_responder &Respond);
  void announce();
  void handleReport(const proto::work::WorkerReport &Report,
                    const peer_responder &Respond);
  std::vector<std::string> otherEntries() const;
  void deleteExpired();
  void registerMetrics();
  bool loaded() const;
  bool ready() const;
  bool isLeadershipConfirmed() const;

  job_entry_environment Environment;
  const settings Settings;
  const peer_identity Self;
  const work::scheduler_limits Limits;
  const std::uint32_t CpuMilliCores; ///< of this VM
  std::function<void()> OnDrained;
  std::string PeerAddress;
  bool Draining = false;
  bool EverReady = false;
  std::uint64_t Term = 0; ///< the last term for which it was elected
  time_point ElectedAt{};
  /// The last term in which this process granted leases, set once it is over.
  std::uint64_t EndedTerm = 0;
  work::term_leader PreviousTerm; ///< the last one before Term
  std::vector<work::outstanding_lease> EndedLeases; ///< of EndedTerm
  work::queue_directory Queues;
  work::evacuated_zones Evacuated;
  work::job_registry Registry;
  topic_reader Operator;
  topic_reader Jobs;
  topic_reader Progress;
  topic_reader Entries;
  work::admission_control Admission;
  recent_agents Agents;
  leader_probe LeaderProbe;
  record_notifier Notifier;
  election_driver Election;
  job_api Api;
  std::unique_ptr<job_scheduler_driver> SchedulerDriver;
  timer AnnounceRetry;
  timer DrainTimer;
  timer TermRetry;
  timer PreviousTermRetry;
  timer Retention;
  logger Log{"entry"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
