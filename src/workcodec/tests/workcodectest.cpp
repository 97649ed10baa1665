#include "workcodec/workcodec.h"

#include "core/base/error.h"
#include "core/work/tests/workbuilders.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;

TEST_GROUP(WorkCodec){
    template <typename Record> Record roundTrip(const Record &Sent){
        return std::get<Record>(decodeRecord(encodeRecord(Sent)));
}

static job_spec fullSpec() {
  job_spec Spec = work::testing::makeJob("00000000000000aa", 3, 4);
  Spec.Scheduled = true;
  Spec.Occurrences = 2;
  Spec.FirstStart = wall_time(std::chrono::milliseconds(1773605482535));
  Spec.SubmittedAt = wall_time(std::chrono::milliseconds(1773605482000));
  Spec.Interval = std::chrono::milliseconds(1500);
  Spec.Payload = "\xff raw";
  Spec.Steps.push_back({.Count = 2,
                        .After = {0},
                        .Checkpointing = true,
                        .Gang = true,
                        .SameRack = true,
                        .Speculative = true,
                        .LongRunning = true,
                        .BestEffortCpu = true,
                        .RequiredLabel = "a",
                        .DataRack = "r1",
                        .Image = "image",
                        .MaxPerWorker = 3,
                        .TailLatencyTarget = std::chrono::milliseconds(40),
                        .MaxUnavailable = 1});
  return Spec;
}
}
;

TEST(WorkCodec, ASubmissionKeepsEveryField) {
  CHECK(roundTrip(job_submitted{fullSpec()}).Spec == fullSpec());
}

TEST(WorkCodec, ProgressKeepsEveryField) {
  job_progressed Sent{.Job = job_id("j")};
  Sent.Progress.State = job_state::Running;
  Sent.Progress.Tasks = {{.State = task_state::Running,
                          .Run = 3,
                          .Failures = 1,
                          .LastWorker = {worker_id("w"), 7},
                          .Checkpoint = "c"},
                         {.State = task_state::Done, .Run = 1}};
  const job_progressed Read = roundTrip(Sent);
  CHECK(Read.Job == Sent.Job);
  CHECK(Read.Progress == Sent.Progress);
}

TEST(WorkCodec, TermsAndEntriesKeepEveryField) {
  const entry_record Entry{.Node = node_id("e1"),
                           .Region = region_id("r"),
                           .PeerAddress = "1.2.3.4:5",
                           .StartedMs = 9,
                           .Term = 4,
                           .CpuMilliCores = 120};
  CHECK(roundTrip(Entry) == Entry);
  const term_leader Leader = roundTrip(term_leader{5, Entry});
  LONGS_EQUAL(5, Leader.Term);
  CHECK(Leader.Entry == Entry);
  const job_cancelled Cancelled = roundTrip(
      job_cancelled{job_id("j"), wall_time(std::chrono::milliseconds(17))});
  CHECK(Cancelled.Job == job_id("j"));
  CHECK(Cancelled.RequestedAt == wall_time(std::chrono::milliseconds(17)));
}

TEST(WorkCodec, AForecastKeepsEveryWait) {
  const queue_forecast Forecast{{0, std::chrono::milliseconds(1250)},
                                {2, std::chrono::seconds(40)}};
  CHECK(decodeForecast(encodeForecast(Forecast)) == Forecast);
}

TEST(WorkCodec, InvalidRecordsAreRejected) {
  for (const std::string Bytes : {"", "\xff\xff\xff", "hello"}) {
    CHECK_THROWS(malformed_message_error, decodeRecord(Bytes));
  }
  proto::work::WorkRecord Unknown;
  Unknown.mutable_progressed()->set_state(99);
  CHECK_THROWS(malformed_message_error,
               decodeRecord(Unknown.SerializeAsString()));
  proto::work::WorkRecord SelfDependency;
  SelfDependency.mutable_submitted()->add_steps()->add_after(0);
  CHECK_THROWS(malformed_message_error,
               decodeRecord(SelfDependency.SerializeAsString()));
}

TEST(WorkCodec, AReportKeepsEveryField) {
  const run_ref Run{{job_id("j"), {1, 2, 3}}, 4};
  worker_report Sent{.Description = work::testing::makeWorker("w1"),
                     .Refused = {{Run, start_refusal::NoCapacity}},
                     .Unlisted = {{{job_id("k"), {0, 1, 2}}, 3}},
                     .Applied = {5, 6},
                     .Reachable = false,
                     .Left = true};
  Sent.Description.Draining = true;
  Sent.Description.DrainRemaining = std::chrono::milliseconds(700);
  Sent.Listing = worker_listing{
      .StartTimeMs = 1,
      .ClockMs = 2,
      .Running = {{Run, "c", 41}},
      .Finished = {{.Number = 8,
                    .Run = Run,
                    .EndReason = run_end_reason::GangMemberEnded}},
      .EndsComplete = false};
  const worker_report Read = decodeReport(encodeReport(Sent));
  CHECK(Read.Description == Sent.Description);
  CHECK(Read.Applied == Sent.Applied);
  CHECK(!Read.Reachable);
  CHECK(Read.Left);
  CHECK(Read.Refused[0].Run == Run);
  CHECK(Read.Refused[0].Reason == start_refusal::NoCapacity);
  CHECK(Read.Unlisted == Sent.Unlisted);
  LONGS_EQUAL(41, Read.Listing->Running[0].Percent);
  CHECK(!Read.Listing->EndsComplete);
  CHECK(Read.Listing->Finished[0].EndReason == run_end_reason::GangMemberEnded);
}

TEST(WorkCodec, OrdersKeepEveryField) {
  const run_ref Run{{job_id("j"), {1, 2, 3}}, 4};
  const worker_orders Sent{.Version = {7, 8},
                           .Instance = {worker_id("w"), 9},
                           .Runs = {{Run, true, "payload", "c"}},
                           .AcknowledgedEnds = 11};
  proto::work::WorkerOrders Message;
  encodeOrders(Sent, Message);
  const worker_orders Read = decodeOrders(Message);
  CHECK(Read.Version == Sent.Version);
  CHECK(Read.Instance == Sent.Instance);
  CHECK(Read.Runs[0].Run == Run);
  STRCMP_EQUAL("payload", Read.Runs[0].Payload.c_str());
  LONGS_EQUAL(11, Read.AcknowledgedEnds);
}
