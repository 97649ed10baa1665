#pragma once

#include "platform/iworker.h"
#include "transport/ihttpclient.h"

#include <string>

namespace geraniumpaddle {

/// Client of a worker's lease interface: HTTP with the JSON bodies of
/// platform.proto.
class http_worker : public iworker {
public:
  /// \param Address ip:port of the worker.
  /// \param BasePath put before each call's path, e.g. "/v1"; may be empty.
  /// \param Timeout timeout of each call.
  http_worker(ihttp_client &Client, std::string Address, std::string BasePath,
              duration Timeout);

  void describe(worker_callback Done) override;
  void start(const worker_start &Start, worker_callback Done) override;
  void renew(std::span<const std::string> Tasks, duration Lease,
             worker_callback Done) override;
  void checkpoint(std::string_view Task, worker_callback Done) override;
  void throttle(std::string_view Task, int Percent,
                worker_callback Done) override;
  void stop(std::string_view Task, worker_callback Done) override;
  void usage(std::function<void(const worker_usage &)> Done) override;

private:
  void post(std::string_view Path, std::string Body, worker_callback Done);
  http_call makeCall(std::string_view Method, std::string_view Path,
                     std::string Body) const;

  ihttp_client &Client;
  const std::string Address;
  const std::string BasePath;
  const duration Timeout;
};

} // namespace geraniumpaddle
