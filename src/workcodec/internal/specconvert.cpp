#include "workcodec/internal/convert.h"

#include <algorithm>
#include <limits>

namespace geraniumpaddle::work {

void toProto(const worker_instance &Instance,
             proto::work::WorkerLife &Message) {
  Message.set_worker(Instance.Worker.str());
  Message.set_born(Instance.StartTimeMs);
}

worker_instance fromProto(const proto::work::WorkerLife &Message) {
  return {worker_id(Message.worker()), Message.born()};
}

void toProto(const resources &Need, proto::work::TaskNeed &Message) {
  Message.set_millicores(Need.MilliCores);
  Message.set_memory_mb(Need.MemoryMb);
  Message.set_accelerators(Need.Accelerators);
}

namespace {

std::int64_t checkedAmount(std::int64_t Amount) {
  if (Amount < 0 || Amount > std::numeric_limits<std::int32_t>::max())
    throw malformed_message_error("an amount is out of range");
  return Amount;
}

} // namespace

resources fromProto(const proto::work::TaskNeed &Message) {
  return {static_cast<std::int32_t>(checkedAmount(Message.accelerators())),
          checkedAmount(Message.millicores()),
          checkedAmount(Message.memory_mb())};
}

namespace {

void toProto(const step_spec &Step, proto::work::StepSpec &Message) {
  Message.set_count(Step.Count);
  work::toProto(Step.Need, *Message.mutable_need());
  Message.set_estimate_ms(millisecondsOf(Step.Estimate));
  for (const std::uint32_t Dependency : Step.After)
    Message.add_after(Dependency);
  Message.set_checkpointing(Step.Checkpointing);
  Message.set_gang(Step.Gang);
  Message.set_same_rack(Step.SameRack);
  Message.set_speculative(Step.Speculative);
  Message.set_long_running(Step.LongRunning);
  Message.set_fills(Step.BestEffortCpu);
  Message.set_required_label(Step.RequiredLabel);
  Message.set_data_rack(Step.DataRack);
  Message.set_image(Step.Image);
  Message.set_max_per_worker(Step.MaxPerWorker);
  Message.set_tail_latency_target_ms(millisecondsOf(Step.TailLatencyTarget));
  Message.set_max_unavailable(Step.MaxUnavailable);
}

step_spec fromProto(const proto::work::StepSpec &Message) {
  step_spec Step;
  Step.Count = Message.count();
  Step.Need = work::fromProto(Message.need());
  Step.Estimate = fromMilliseconds(Message.estimate_ms());
  Step.After.assign(Message.after().begin(), Message.after().end());
  Step.Checkpointing = Message.checkpointing();
  Step.Gang = Message.gang();
  Step.SameRack = Message.same_rack();
  Step.Speculative = Message.speculative();
  Step.LongRunning = Message.long_running();
  Step.BestEffortCpu = Message.fills();
  Step.RequiredLabel = Message.required_label();
  Step.DataRack = Message.data_rack();
  Step.Image = Message.image();
  Step.MaxPerWorker = Message.max_per_worker();
  Step.TailLatencyTarget = fromMilliseconds(Message.tail_latency_target_ms());
  Step.MaxUnavailable = Message.max_unavailable();
  return Step;
}

} // namespace

void toProto(const job_spec &Spec, proto::work::JobSubmitted &Message) {
  Message.set_job(Spec.Id.str());
  Message.set_customer(Spec.Customer.str());
  proto::work::QueueTerms &Policy = *Message.mutable_terms();
  Policy.set_queue(Spec.Policy.Queue);
  Policy.set_service(Spec.Policy.Service.str());
  Policy.set_priority(Spec.Policy.Priority);
  Policy.set_attempts(Spec.Policy.Attempts);
  Policy.set_slack_factor(Spec.Policy.SlackFactor);
  Policy.set_target_latency_ms(millisecondsOf(Spec.Policy.TargetLatency));
  Message.set_payload(Spec.Payload);
  for (const step_spec &Step : Spec.Steps)
    toProto(Step, *Message.add_steps());
  Message.set_submitted_ms(millisecondsOf(Spec.SubmittedAt));
  Message.set_scheduled(Spec.Scheduled);
  Message.set_first_start_ms(millisecondsOf(Spec.FirstStart));
  Message.set_interval_ms(millisecondsOf(Spec.Interval));
  Message.set_occurrences(Spec.Occurrences);
}

namespace {

/// Tables of tasks are sized by these numbers.
void checkTasks(const job_spec &Spec) {
  const bool Empty =
      Spec.Steps.empty() || Spec.Occurrences == 0 ||
      std::any_of(Spec.Steps.begin(), Spec.Steps.end(),
                  [](const step_spec &Step) { return Step.Count == 0; });
  if (Empty || hasMoreTasksThan(Spec, MaxTasks))
    throw malformed_message_error("a job has no task or too many");
}

double checkedSlack(double Factor) {
  if (!(Factor >= 0 && Factor <= MaxSlackFactor))
    throw malformed_message_error("a slack factor is out of range");
  return Factor;
}

} // namespace

job_spec fromProto(const proto::work::JobSubmitted &Message) {
  job_spec Spec;
  Spec.Id = job_id(Message.job());
  Spec.Customer = customer_id(Message.customer());
  const proto::work::QueueTerms &Policy = Message.terms();
  Spec.Policy = {.Queue = Policy.queue(),
                 .Service = service_id(Policy.service()),
                 .Priority = Policy.priority(),
                 .Attempts = Policy.attempts(),
                 .SlackFactor = checkedSlack(Policy.slack_factor()),
                 .TargetLatency = fromMilliseconds(Policy.target_latency_ms())};
  Spec.Payload = Message.payload();
  for (const proto::work::StepSpec &Step : Message.steps()) {
    Spec.Steps.push_back(fromProto(Step));
    for (const std::uint32_t Dependency : Spec.Steps.back().After)
      if (Dependency >= Spec.Steps.size() - 1)
        throw malformed_message_error(
            "a step depends on itself or a later one");
  }
  Spec.SubmittedAt = wallTime(Message.submitted_ms());
  Spec.Scheduled = Message.scheduled();
  Spec.FirstStart = wallTime(Message.first_start_ms());
  Spec.Interval = fromMilliseconds(Message.interval_ms());
  Spec.Occurrences = Message.occurrences();
  checkTasks(Spec);
  return Spec;
}

} // namespace geraniumpaddle::work
