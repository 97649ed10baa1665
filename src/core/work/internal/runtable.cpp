#include "core/work/runtable.h"

namespace geraniumpaddle::work {

std::size_t run_hash::operator()(const run_ref &Run) const noexcept {
  constexpr std::size_t Factor = 1'000'003;
  const task_position &At = Run.Task.Position;
  std::size_t Hash = std::hash<job_id>{}(Run.Task.Job);
  for (const std::uint32_t Part : {At.Occurrence, At.Step, At.Index, Run.Run})
    Hash = Hash * Factor + Part;
  return Hash;
}

live_run *run_table::add(const live_run &Run) {
  const run_ref Key = Run.Run;
  const auto [Added, IsNew] = Runs.try_emplace(Key, Run);
  if (!IsNew)
    return nullptr;
  ByJob[Key.Task.Job].push_back(&Added->second);
  return &Added->second;
}

void run_table::erase(const live_run &Run) {
  const auto Job = ByJob.find(Run.Run.Task.Job);
  std::erase(Job->second, &Run);
  if (Job->second.empty())
    ByJob.erase(Job);
  const run_ref Key = Run.Run;
  Runs.erase(Key);
}

live_run *run_table::find(const run_ref &Run) {
  const auto Found = Runs.find(Run);
  return Found == Runs.end() ? nullptr : &Found->second;
}

const live_run *run_table::find(const run_ref &Run) const {
  const auto Found = Runs.find(Run);
  return Found == Runs.end() ? nullptr : &Found->second;
}

std::span<live_run *const> run_table::ofJob(const job_id &Job) const {
  const auto Found = ByJob.find(Job);
  return Found == ByJob.end() ? std::span<live_run *const>{}
                              : std::span<live_run *const>(Found->second);
}

} // namespace geraniumpaddle::work
