#pragma once

#include "logging/logging.h"
#include "platform/itaskworker.h"
#include "transport/ihttpclient.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Encodes the calls of a worker in the format of the platform and decodes its
/// answers.
///
/// A call names its worker by the id, which a restarted worker keeps, while
/// lease times and numbers of ends start anew. Starts and listings are
/// therefore sent on a connection on which the instance has given its start
/// time; if none is idle, a listing without effects on a new connection asks
/// for it. A worker that closes its connection after each call is asked in the
/// same way, and gets the call on a new connection. A stop is harmless at
/// another instance, since it names a run.
class task_worker_client final : public itask_worker {
public:
  /// \param Timeout timeout of one call; added to the wait time of list().
  task_worker_client(ihttp_client &Http, duration Timeout)
      : Http(Http), Timeout(Timeout) {}

  void start(const worker_target &Target, const work::start_run &Order,
             std::function<void(const start_outcome &)> Done) override;
  void stop(const worker_target &Target, const work::run_ref &Run,
            std::function<void(work::worker_call_result)> Done) override;
  void list(const worker_target &Target, const work::list_runs &Order,
            std::function<void(const listing_outcome &)> Done) override;

private:
  using result_function = std::function<void(const http_result &)>;

  http_call makeCall(const worker_target &Target, std::string_view Path,
                     std::string Body, duration Limit) const;
  /// Sends \p Call on a connection to the instance of \p Target. If there is
  /// none, calls \p WithoutConnection instead.
  void sendToInstance(const worker_target &Target, http_call Call,
                      result_function Done,
                      std::function<void()> WithoutConnection);
  /// Asks on a new connection which instance answers at the address. \p Done
  /// gets the listing of the instance of \p Target, or why there is none.
  void identify(const worker_target &Target, result_function Done);
  std::optional<http_connection_id> takeConnection(const worker_target &Target);
  void keepConnection(const worker_target &Target, const http_result &Result);

  /// Idle connections to one instance.
  struct instance_connections {
    work::worker_instance Instance;
    std::vector<http_connection_id> Idle;
  };

  ihttp_client &Http;
  duration Timeout;
  std::map<std::string, instance_connections> Connections; ///< by address
  logger Log{"worker"};
};

} // namespace geraniumpaddle
