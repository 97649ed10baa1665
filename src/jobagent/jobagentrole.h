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

/// The agent beside the workers of one VM: takes their heartbeats and keeps
/// what they run in line with the scheduler's orders.
class job_agent_role {
public:
  job_agent_role(const job_agent_environment &Environment,
                 const settings &Settings, const peer_identity &Self,
                 std::function<void()> Stopped);

  void start();
  /// The addresses of entries may have changed.
  void applySettings(const settings &Next);
  /// Ends at once: leases keep the tasks alive until the next run of the agent.
  void drain();

  void handleControl(const http_request_view &Request,
                     const std::shared_ptr<ihttp_responder> &Responder);

private:
  void leaves(std::string_view Worker, std::string_view Body,
              const std::shared_ptr<ihttp_responder> &Responder);
  void heartbeat(std::string_view Worker, const http_request_view &Request,
                 ihttp_responder &Responder);
  void beginSession(const work::worker_description &Description,
                    const std::string &Address);
  void dropSilent();

  job_agent_environment Environment;
  const settings Settings;
  const peer_identity Self;
  std::function<void()> Stopped;
  fencing_source Fencing;
  scheduler_link Link;
  std::map<worker_id, std::unique_ptr<worker_session>> Sessions;
  timer Sweep;
  logger Log{"agent"};
};

} // namespace geraniumpaddle
