#pragma once

#include "daemon/tests/soak/soakactions.h"
#include "daemon/tests/soak/soakcallers.h"
#include "daemon/tests/soak/soaksite.h"

#include <random>
#include <string>

namespace geraniumpaddle::tests {

/// The run of one seed: faults for some time, then the checks that need calm.
class soak_run {
public:
  /// \param Daemon program under test; empty: the built one.
  soak_run(unsigned Seed, duration FaultDuration, const std::string &Daemon);

  /// \returns whether nothing was violated. Otherwise the logs of all processes
  /// are kept.
  bool run();

private:
  bool ready();
  /// Response of the control interface of the workers.
  std::string workerControl(const std::string &Target);
  void finish();
  /// After the bound each accepted job must be known, and each refused one must
  /// not.
  void askForEachJob();
  worker_snapshot snapshot();
  bool report();

  const unsigned Seed;
  const duration FaultDuration;
  const std::string LogDirectory;
  soak_site Site;
  soak_callers Callers;
  soak_actions Actions;
  std::mt19937 Random;
};

} // namespace geraniumpaddle::tests
