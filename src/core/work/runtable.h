#pragma once

#include "core/work/types/liverun.h"

#include <span>
#include <unordered_map>
#include <vector>

namespace geraniumpaddle::work {

struct run_hash {
  std::size_t operator()(const run_ref &Run) const noexcept;
};

/// All runs that are not known to have ended.
class run_table {
public:
  /// \returns the added run, at a stable address; null if it already exists.
  live_run *add(const live_run &Run);
  void erase(const live_run &Run);
  live_run *find(const run_ref &Run);
  const live_run *find(const run_ref &Run) const;
  /// Runs of one job; valid until the next change.
  std::span<live_run *const> ofJob(const job_id &Job) const;
  std::size_t size() const { return Runs.size(); }

private:
  std::unordered_map<run_ref, live_run, run_hash> Runs;
  std::unordered_map<job_id, std::vector<live_run *>> ByJob;
};

} // namespace geraniumpaddle::work
