#pragma once

#include "logging/logging.h"
#include "platform/itaskworker.h"
#include "transport/ihttpclient.h"

namespace geraniumpaddle {

/// Encodes the calls of a worker in the format of the platform and decodes its
/// answers.
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
  void post(const worker_target &Target, std::string_view Path,
            std::string Body, duration Limit,
            std::function<void(const http_result &)> Done);

  ihttp_client &Http;
  duration Timeout;
  logger Log{"worker"};
};

} // namespace geraniumpaddle
