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
#include <string>

namespace geraniumpaddle {

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
  timer SweepTimer;
  logger Log{"agent"};
};

} // namespace geraniumpaddle
