#pragma once

#include "core/base/types/time.h"
#include "standins/worker/leaseworker.h"

#include <string>
#include <string_view>

namespace geraniumpaddle::standins {

/// HTTP status and JSON body of an answer.
struct json_answer {
  int Code = 200;
  std::string Body;
};

/// Handles the worker calls of platform.proto with a lease_worker.
class worker_interface {
public:
  worker_interface(std::string Name, const resources &Capacity)
      : Name(std::move(Name)), Worker(Capacity) {}

  /// \param Path without a base path, e.g. "/start".
  json_answer call(std::string_view Path, std::string_view Body,
                   time_point Now);
  /// All runs so far, with wall-clock times in milliseconds since 1970.
  json_answer history(time_point Now, wall_time WallNow) const;

  lease_worker &worker() { return Worker; }

private:
  json_answer describe(std::string_view Body, time_point Now);
  json_answer usage(std::string_view Body, time_point Now);
  json_answer start(std::string_view Body, time_point Now);
  json_answer renew(std::string_view Body, time_point Now);
  json_answer checkpoint(std::string_view Body, time_point Now);
  json_answer throttle(std::string_view Body, time_point Now);
  json_answer stop(std::string_view Body, time_point Now);
  json_answer answer(worker_verdict Verdict, std::span<const std::string> Tasks,
                     time_point Now) const;

  const std::string Name;
  lease_worker Worker;
};

} // namespace geraniumpaddle::standins
