#include "codec/recordcodec.h"
#include "codec/protoconvert.h"
#include "core/base/error.h"
#include "core/ledger/tests/recordbuilder.h"

#include <rapidcheck.h>

#include <google/protobuf/util/json_util.h>

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;

namespace {

record makeRecord(record_body Body) {
  return ledger_fixture().make(std::move(Body));
}

std::string toJson(const record &Record) {
  std::string Json;
  CHECK(
      google::protobuf::util::MessageToJsonString(toProto(Record), &Json).ok());
  return Json;
}

customers_changed fullChange() {
  customer_config Config =
      customerConfig("c1", {{cell_level::Rack, 2}, {cell_level::One, 3}}, 40);
  Config.Limits = {12.5, 20, 8};
  Config.TokenHash = "hash";
  customers_changed Change = putCustomer(4, Config);
  Change.Removed.emplace_back("c2");
  Change.Source = change_source::Sheet;
  Change.SourceDetail = "monday.csv";
  return Change;
}

job_submitted fullSubmission() {
  job_submitted Submission = submission("j1", 3, 2);
  Submission.Spec.Adjacency = adjacency::Rack;
  Submission.Spec.Urgent = true;
  Submission.Spec.Idempotent = false;
  Submission.Spec.DeclaredRunTime = std::chrono::seconds(3600);
  Submission.Spec.Command = "train \n --fast";
  return Submission;
}

std::vector<record> recordOfEachKind() {
  return {
      makeRecord(fullChange()),
      makeRecord(entry_announced{node_id("e1"), region_id("r"),
                                 availability_zone_id("z"), "10.0.0.1:7000",
                                 "10.0.0.1:80"}),
      makeRecord(workerRegistration("w1", 5)),
      makeRecord(
          workerState("w1", worker_state::Lost, state_cause::HeartbeatTimeout)),
      makeRecord(fullSubmission()),
      makeRecord(placement("j1", 2, {{"w1", 0x0F}, {"w2", 0xF0}},
                           {log_offset{4}}, true)),
      makeRecord(job_started{job_id("j1"), log_offset{9}}),
      makeRecord(jobEnd("j1", log_offset{9}, job_outcome::Failed, "w1")),
      makeRecord(job_cancelled{job_id("j1")}),
      makeRecord(
          snapshot_chunk{log_offset{7}, 1, 3, 99, std::string("\0\xFF", 2)}),
  };
}

/// The error that decodeRecord() reports for \p Payload; empty if none.
std::string errorOf(std::string_view Payload) {
  try {
    decodeRecord(Payload);
    return {};
  } catch (const malformed_message_error &Failure) {
    return Failure.what();
  }
}

} // namespace

TEST_GROUP(RecordCodec){};

TEST(RecordCodec, EveryKindRoundTripsInBothEncodings) {
  std::vector<record> Records = recordOfEachKind();
  LONGS_EQUAL(std::variant_size_v<record_body>, Records.size());
  for (std::size_t Kind = 0; Kind < Records.size(); ++Kind) {
    const record &Record = Records[Kind];
    LONGS_EQUAL(Kind, Record.Body.index());
    std::string Bytes = encodeRecord(Record);
    record Decoded = decodeRecord(Bytes);
    CHECK(Decoded.Producer == Record.Producer);
    CHECK(Decoded.Actor == Record.Actor);
    CHECK(Decoded.At == Record.At);
    LONGS_EQUAL(Kind, Decoded.Body.index());
    CHECK(encodeRecord(Decoded) == Bytes);
    CHECK(encodeRecord(decodeRecord(toJson(Record))) == Bytes);
  }
}

TEST(RecordCodec, EveryFieldOfACustomerAndAJobRoundTrips) {
  customers_changed Change = fullChange();
  auto Decoded = std::get<customers_changed>(
      decodeRecord(encodeRecord(makeRecord(Change))).Body);
  CHECK(Decoded.Put == Change.Put);
  CHECK(Decoded.Removed == Change.Removed);
  CHECK(Decoded.Source == Change.Source);
  STRCMP_EQUAL("monday.csv", Decoded.SourceDetail.c_str());
  job_submitted Submission = fullSubmission();
  CHECK(std::get<job_submitted>(
            decodeRecord(encodeRecord(makeRecord(Submission))).Body)
            .Spec == Submission.Spec);
}

TEST(RecordCodec, AcceptsHandwrittenJson) {
  record Record = decodeRecord(
      R"({"node":"op-ada","incarnation":"1","sequence":"3","actor":"ada",
          "workerStateChanged":{"worker":"w1","state":"WORKER_STATE_DRAINING",
          "cause":"STATE_CAUSE_OPERATOR_REQUEST"}})");
  auto Change = std::get<worker_state_changed>(Record.Body);
  CHECK(Change.State == worker_state::Draining);
  CHECK(Change.Cause == state_cause::OperatorRequest);
}

TEST(RecordCodec, ErrorNamesTheInvalidField) {
  struct {
    const char *Payload;
    const char *Problem;
  } Cases[] = {
      {"", "record: empty"},
      {"\xFF\xFF", "record: not a protobuf message"},
      {"{", "record: not a JSON record"},
      {R"({"node":"n","sequence":1,"nonsense":1})", "record: not a JSON"},
      {R"({"sequence":1})", "node: missing"},
      {R"({"node":"a b","sequence":1})", "node: control character or space"},
      {R"({"node":"n"})", "sequence: missing"},
      {R"({"node":"n","sequence":1})", "body: missing"},
      {R"({"node":"n","sequence":1,"atMs":-1,"jobCancelled":{"job":"j"}})",
       "at_ms: negative"},
      {R"({"node":"n","sequence":1,"jobCancelled":{}})",
       "job_cancelled.job: missing"},
      {R"({"node":"n","sequence":1,"jobEnded":{"job":"j","outcome":9}})",
       "job_ended.outcome: unknown value"},
      {R"({"node":"n","sequence":1,"jobSubmitted":{"spec":{"id":"j",
           "customer":"c","tasks":[{},{"accelerators":-1}]}}})",
       "job_submitted.spec.tasks[1].accelerators: negative"},
      {R"({"node":"n","sequence":1,"customersChanged":{"put":[{"id":"c",
           "limits":{"ratePerSecond":"NaN"}}]}})",
       "customers_changed.put[0].limits.rate_per_second: not finite"},
      {R"({"node":"n","sequence":1,"customersChanged":{"put":[{"id":"c",
           "guarantees":[{"level":7,"count":1}]}]}})",
       "customers_changed.put[0].guarantees[0].level: unknown value"},
      {R"({"node":"n","sequence":1,"customersChanged":{"removed":[""]}})",
       "customers_changed.removed: missing"},
      {R"({"node":"n","sequence":1,"workerRegistered":{"worker":{"id":"w",
           "region":"r","zone":"z","rack":"k"},"agent":""}})",
       "worker_registered.agent: missing"},
      {R"({"node":"n","sequence":1,"jobPlaced":{"job":"j",
           "assignments":[{"worker":""}]}})",
       "job_placed.assignments[0].worker: missing"},
  };
  for (const auto &Case : Cases)
    STRNCMP_EQUAL(Case.Problem, errorOf(Case.Payload).c_str(),
                  std::string_view(Case.Problem).size());
}

TEST(RecordCodec, CorruptedPayloadsAreDecodedOrRejected) {
  std::vector<record> Records = recordOfEachKind();
  bool Passed = rc::check([&Records] {
    const record &Record =
        Records[*rc::gen::inRange<std::size_t>(0, Records.size())];
    std::string Bytes =
        *rc::gen::arbitrary<bool>() ? encodeRecord(Record) : toJson(Record);
    auto Index = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    Bytes[Index] = *rc::gen::arbitrary<char>();
    Bytes.resize(*rc::gen::inRange<std::size_t>(Index, Bytes.size() + 1));
    // Any other exception fails the property.
    static_cast<void>(errorOf(Bytes));
  });
  CHECK(Passed);
}
