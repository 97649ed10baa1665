#include "core/ledger/jobtable.h"
#include "core/base/error.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

constexpr std::size_t MaxStepDetailBytes = 240;

void addStep(job_entry &Job, job_step_kind Step, log_offset Offset,
             wall_time At, std::string_view Detail) {
  // The submission is always kept; the oldest step after it is evicted.
  if (Job.Steps.size() == job_table::MaxSteps)
    Job.Steps.erase(Job.Steps.begin() + 1);
  Job.Steps.push_back(
      {Step, Offset, At, std::string(Detail.substr(0, MaxStepDetailBytes))});
}

bool submittedEarlier(const job_entry *A, const job_entry *B) {
  return A->Submitted < B->Submitted;
}

bool hasSmallerToken(const job_entry *A, const job_entry *B) {
  return A->Token < B->Token;
}

template <typename Less>
void insertSorted(std::vector<const job_entry *> &Index, const job_entry &Job,
                  Less IsLess) {
  if (Index.empty() || IsLess(Index.back(), &Job)) {
    Index.push_back(&Job);
    return;
  }
  Index.insert(std::lower_bound(Index.begin(), Index.end(), &Job, IsLess),
               &Job);
}

template <typename Less>
void eraseSorted(std::vector<const job_entry *> &Index, const job_entry &Job,
                 Less IsLess) {
  auto Found = std::lower_bound(Index.begin(), Index.end(), &Job, IsLess);
  if (Found != Index.end() && *Found == &Job)
    Index.erase(Found);
}

} // namespace

const job_entry *job_table::find(const job_id &Id) const {
  auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

const job_entry *job_table::findByToken(fencing_token Token) const {
  auto Found = std::lower_bound(Holding.begin(), Holding.end(), Token,
                                [](const job_entry *Job, fencing_token Wanted) {
                                  return Job->Token < Wanted;
                                });
  if (Found == Holding.end() || (*Found)->Token != Token)
    return nullptr;
  return *Found;
}

job_entry &job_table::get(const job_id &Id) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    throw internal_error("job table: no job " + Id.str());
  return Found->second;
}

void job_table::removeFromIndexes(const job_entry &Job) {
  if (Job.State == job_state::Waiting)
    eraseSorted(Waiting, Job, submittedEarlier);
  else if (Job.holdsCapacity())
    eraseSorted(Holding, Job, hasSmallerToken);
}

void job_table::addToIndexes(const job_entry &Job) {
  if (Job.State == job_state::Waiting)
    insertSorted(Waiting, Job, submittedEarlier);
  else if (Job.holdsCapacity())
    insertSorted(Holding, Job, hasSmallerToken);
}

void job_table::submit(const job_spec &Spec, log_offset Offset, wall_time At) {
  job_entry &Job = Jobs[Spec.Id];
  Job.Spec = Spec;
  Job.Submitted = Offset;
  addStep(Job, job_step_kind::Submitted, Offset, At, {});
  addToIndexes(Job);
}

void job_table::place(const job_id &Id, fencing_token Token,
                      std::span<const task_assignment> Assignments,
                      wall_time At) {
  job_entry &Job = get(Id);
  removeFromIndexes(Job);
  Job.State = job_state::Placed;
  Job.Token = Token;
  ++Job.Attempt;
  Job.Assignments.assign(Assignments.begin(), Assignments.end());
  addStep(Job, job_step_kind::Placed, Token, At,
          "attempt " + std::to_string(Job.Attempt));
  addToIndexes(Job);
}

void job_table::start(const job_id &Id, log_offset Offset, wall_time At) {
  job_entry &Job = get(Id);
  Job.State = job_state::Running;
  Job.EverStarted = true;
  addStep(Job, job_step_kind::Started, Offset, At, {});
}

void job_table::requeue(const job_id &Id, job_step_kind Step, log_offset Offset,
                        wall_time At, std::string_view Detail) {
  job_entry &Job = get(Id);
  removeFromIndexes(Job);
  Job.State = job_state::Waiting;
  Job.Token = {};
  addStep(Job, Step, Offset, At, Detail);
  addToIndexes(Job);
}

void job_table::requestCancel(const job_id &Id, log_offset Offset, wall_time At,
                              std::string_view Detail) {
  job_entry &Job = get(Id);
  Job.State = job_state::Cancelling;
  addStep(Job, job_step_kind::CancelRequested, Offset, At, Detail);
}

void job_table::end(const job_id &Id, job_outcome Outcome, log_offset Offset,
                    wall_time At, std::string_view Detail) {
  job_entry &Job = get(Id);
  removeFromIndexes(Job);
  Job.State = job_state::Ended;
  Job.Token = {};
  Job.Outcome = Outcome;
  Job.Ended = Offset;
  addStep(Job, job_step_kind::Ended, Offset, At, Detail);
  EndedJobs.push_back(&Job);
  evictEnded();
}

void job_table::evictEnded() {
  while (EndedJobs.size() > MaxEndedJobs) {
    const job_id Oldest = EndedJobs.front()->Spec.Id;
    EndedJobs.pop_front();
    Jobs.erase(Oldest);
  }
}

std::vector<job_entry> job_table::image() const {
  std::vector<const job_entry *> Ordered;
  Ordered.reserve(Jobs.size());
  for (const auto &[Id, Job] : Jobs)
    Ordered.push_back(&Job);
  std::sort(Ordered.begin(), Ordered.end(), submittedEarlier);
  std::vector<job_entry> Image;
  Image.reserve(Ordered.size());
  for (const job_entry *Job : Ordered)
    Image.push_back(*Job);
  return Image;
}

void job_table::restore(std::span<const job_entry> Entries) {
  Jobs.clear();
  Waiting.clear();
  Holding.clear();
  EndedJobs.clear();
  Jobs.reserve(Entries.size());
  for (const job_entry &Entry : Entries) {
    job_entry &Job = Jobs[Entry.Spec.Id];
    Job = Entry;
    addToIndexes(Job);
    if (Job.State == job_state::Ended)
      EndedJobs.push_back(&Job);
  }
  // Removing a customer can end several jobs at one offset.
  std::sort(EndedJobs.begin(), EndedJobs.end(),
            [](const job_entry *A, const job_entry *B) {
              return std::pair(A->Ended, A->Submitted) <
                     std::pair(B->Ended, B->Submitted);
            });
}

} // namespace geraniumpaddle
