#pragma once

#include "core/work/types/configuration.h"
#include "core/work/types/worker.h"

#include <string>

namespace geraniumpaddle::work::testing {

/// A job of one step; tests change what they need.
inline job_spec makeJob(std::string_view Id, std::uint32_t Count = 1,
                        std::int32_t Accelerators = 1) {
  job_spec Spec;
  Spec.Id = job_id(Id);
  Spec.Customer = customer_id("acme");
  Spec.Policy = {.Queue = "batch",
                 .Service = service_id("desk"),
                 .Priority = 1,
                 .Attempts = 2,
                 .SlackFactor = 3,
                 .TargetLatency = std::chrono::seconds(1)};
  Spec.Payload = "run";
  Spec.Steps = {{.Count = Count,
                 .Need = {.Accelerators = Accelerators,
                          .MilliCores = 1000,
                          .MemoryMb = 1000},
                 .Estimate = std::chrono::seconds(4)}};
  return Spec;
}

inline worker_description makeWorker(std::string_view Id,
                                     std::string_view Rack = "r1",
                                     std::uint64_t StartTimeMs = 1) {
  return {
      .Instance = {worker_id(Id), StartTimeMs},
      .Service = service_id("desk"),
      .Zone = availability_zone_id("a"),
      .Capacity = {.Accelerators = 8, .MilliCores = 64000, .MemoryMb = 100000},
      .Kind = "plain",
      .Rack = std::string(Rack)};
}

inline configuration makeConfiguration(std::uint64_t Version = 1) {
  configuration Config{.Version = Version};
  for (const auto &[Queue, Priority] :
       {std::pair("urgent", 0U), std::pair("batch", 1U)}) {
    queue_route Route{.Host = "jobs.example",
                      .PathPrefix = std::string("/") + Queue + "/"};
    Route.Policy = makeJob("x").Policy;
    Route.Policy.Queue = Queue;
    Route.Policy.Priority = Priority;
    Config.Routes.push_back(Route);
  }
  Config.Customers = {{.Name = customer_id("acme"),
                       .Keys = {"key-acme"},
                       .GuaranteedAccelerators = 8},
                      {.Name = customer_id("bolt"), .Keys = {"key-bolt"}}};
  return Config;
}

} // namespace geraniumpaddle::work::testing
