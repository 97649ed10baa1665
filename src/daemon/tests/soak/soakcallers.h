#pragma once

#include "daemon/tests/processcluster.h"
#include "daemon/tests/soak/keptconnection.h"
#include "daemon/tests/soak/soakchecker.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace geraniumpaddle::tests {

/// Callers that submit jobs of many kinds, ask for their states and cancel some
/// of them, on kept connections and without a break.
class soak_callers {
public:
  soak_callers(process_cluster &Cluster, soak_checker &Checker,
               std::vector<std::string> Entries, unsigned Seed);

  void start();
  /// No new jobs; jobs whose submission has no definite response are not
  /// submitted again.
  void stopSubmitting() { Submitting = false; }

private:
  struct caller {
    std::string Entry;
    std::unique_ptr<kept_connection> Connection;
  };
  struct prepared_call {
    soak_call Call;
    std::string Body;
  };
  using job_kind = soak_job (soak_callers::*)();

  void next(caller &Caller);
  prepared_call chooseCall();
  prepared_call submission(soak_job &Job);
  soak_job *findJob(const std::function<bool(const soak_job &)> &Wanted);
  soak_job *chooseJobToRead();
  int randomBelow(int Count) { return static_cast<int>(Random() % Count); }

  soak_job newJob();
  soak_job plainJob();
  soak_job gangJob();
  soak_job sameRackJob();
  soak_job stepsJob();
  soak_job labelledJob();
  soak_job spreadJob();
  soak_job failingOnceJob();
  soak_job failingJob();
  soak_job checkpointingJob();
  soak_job lastingJob();

  process_cluster &Cluster;
  soak_checker &Checker;
  const std::vector<std::string> Entries;
  std::mt19937 Random;
  const bool HasLastingJobs;
  bool Submitting = true;
  unsigned JobCount = 0;
  std::vector<std::unique_ptr<caller>> Callers;
};

} // namespace geraniumpaddle::tests
