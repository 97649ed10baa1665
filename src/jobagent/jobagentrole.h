#pragma once

#include "jobagent/schedulerclient.h"
#include "jobagent/workersession.h"
#include "logging/logging.h"
#include "platform/istore.h"
#include "platform/itaskworker.h"
#include "settings/types/settings.h"
#include "transport/ieventloop.h"
#include "transport/ihttpserver.h"
#include "transport/ipeerclient.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace geraniumpaddle {

struct worker_heartbeat;

struct job_agent_environment {
  ievent_loop &Loop;
  ipeer_client &Peers;
  istore &Store;
  itask_worker &Worker;
};

/// Agent of the workers of one VM: receives their heartbeats and reconciles
/// what they run with the scheduler's orders.
class job_agent_role {
public:
  job_agent_role(const job_agent_environment &Environment,
                 const settings &Settings, const peer_identity &Self,
                 std::function<void()> OnStopped);

  void start();
  /// Adds entry addresses of reloaded settings.
  void applySettings(const settings &Next);
  /// Stops immediately: the tasks keep running under their leases until the
  /// agent restarts.
  void drain();

  void handleControl(const http_request_view &Request,
                     const std::shared_ptr<ihttp_responder> &Responder);

private:
  void handleShutdown(std::string_view Worker, std::string_view Body,
                      const std::shared_ptr<ihttp_responder> &Responder);
  void handleHeartbeat(std::string_view Worker,
                       const http_request_view &Request,
                       ihttp_responder &Responder);
  /// Latest start time among the workers whose sessions a session with this
  /// worker would end; nothing if there are none.
  std::optional<std::uint64_t>
  replacedStartTime(const worker_id &Worker, std::string_view Address) const;
  /// Begins a session once the worker itself has given the start time that its
  /// heartbeat names.
  void confirmInstance(const worker_heartbeat &Heartbeat);
  /// Does nothing if a later worker has a session.
  void beginSession(const work::worker_description &Description,
                    const std::string &Address);
  void removeExpiredSessions();

  job_agent_environment Environment;
  const settings Settings;
  const peer_identity Self;
  std::function<void()> OnStopped;
  fencing_source Fencing;
  scheduler_client Scheduler;
  std::map<worker_id, std::unique_ptr<worker_session>> Sessions;
  std::set<work::worker_instance> Confirming; ///< asked for their start time
  timer SweepTimer;
  logger Log{"agent"};
};

} // namespace geraniumpaddle
