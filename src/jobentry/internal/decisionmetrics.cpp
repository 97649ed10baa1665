#include "jobentry/decisionmetrics.h"

#include <string>

namespace geraniumpaddle {

void decision_metrics::observeDuration(std::string_view Name,
                                       std::string_view Help, duration Time,
                                       std::string_view Outcome) {
  Metrics
      .getHistogram(Name, Help, latencyBounds(),
                    {{"outcome", std::string(Outcome)}})
      .observe(std::chrono::duration<double>(Time).count());
}

void decision_metrics::observe(const work::logged_decision &Decision,
                               time_point Now) {
  Metrics
      .getCounter("geraniumpaddle_decisions",
                  "Decisions of the scheduler, by kind.",
                  {{"kind", std::string(name(Decision.Kind))}})
      .add();
  const job_id &Job = Decision.Run.Task.Job;
  if (Decision.Kind == work::decision_kind::JobArrived) {
    Jobs[Job].Arrived = Now;
    return;
  }
  const auto Found = Jobs.find(Job);
  if (Found == Jobs.end())
    return; // it arrived in an earlier term, with another scheduler
  if (Decision.Kind == work::decision_kind::RunPlaced &&
      !Found->second.Placed) {
    Found->second.Placed = true;
    observeDuration("geraniumpaddle_job_wait_seconds",
                    "From a job's arrival to its first placement.",
                    Now - Found->second.Arrived, "placed");
  }
  if (Decision.Kind == work::decision_kind::JobEnded) {
    observeDuration("geraniumpaddle_job_seconds",
                    "From a job's arrival to its end, by outcome.",
                    Now - Found->second.Arrived, Decision.Detail);
    Jobs.erase(Found);
  }
}

} // namespace geraniumpaddle
