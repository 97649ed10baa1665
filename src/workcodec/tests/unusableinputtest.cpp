#include "core/base/error.h"
#include "core/work/runforecast.h"
#include "core/work/tests/workbuilders.h"
#include "testkit/messagemutations.h"
#include "workcodec/workcodec.h"

#include <CppUTest/TestHarness.h>

#include <limits>

using namespace geraniumpaddle;
using namespace geraniumpaddle::work;

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

worker_listing makeListing() {
  const run_ref Run{{job_id("j"), {1, 2, 3}}, 4};
  return {.StartTimeMs = 1,
          .ClockMs = 2,
          .Running = {{Run, "c", 41}},
          .Finished = {{.Number = 8, .Run = Run}}};
}

std::vector<proto::work::WorkRecord> recordOfEachKind() {
  job_submitted Submitted{work::testing::makeJob("00000000000000aa", 3, 4)};
  Submitted.Spec.Steps.push_back({.Count = 2, .After = {0}});
  Submitted.Spec.Scheduled = true;
  job_progressed Progressed{.Job = job_id("j")};
  Progressed.Progress.Tasks = {{.State = task_state::Running,
                                .Run = 3,
                                .LastWorker = {worker_id("w"), 7}}};
  const entry_record Entry{.Node = node_id("e1"),
                           .PeerAddress = "1.2.3.4:5",
                           .StartedMs = 9,
                           .Term = 4};
  std::vector<proto::work::WorkRecord> Messages;
  for (const work_record &Record :
       {work_record(Submitted), work_record(job_cancelled{job_id("j")}),
        work_record(Progressed), work_record(Entry),
        work_record(term_leader{5, Entry})})
    Messages.emplace_back().ParseFromString(encodeRecord(Record));
  return Messages;
}

proto::work::WorkerReport makeReport() {
  worker_report Report{.Description = work::testing::makeWorker("w1"),
                       .Refused = {{{{job_id("j"), {}}, 4}, {}}},
                       .Applied = {5, 6}};
  Report.Listing = makeListing();
  return encodeReport(Report);
}

/// Gives \p Field each odd value of its type in turn, or none.
void forEachOddField(Message &Owner, const FieldDescriptor *Field,
                     const std::function<void()> &Check) {
  const auto *Access = Owner.GetReflection();
  const auto Try = [&](auto Set, auto Add, const auto &Value) {
    if (Field->is_repeated())
      (Access->*Add)(&Owner, Field, Value);
    else
      (Access->*Set)(&Owner, Field, Value);
    Check();
  };
  using reflection = google::protobuf::Reflection;
  switch (Field->cpp_type()) {
  case FieldDescriptor::CPPTYPE_UINT32:
    for (const std::uint32_t Value :
         {0U, 1U, 99U, 65'536U, std::numeric_limits<std::uint32_t>::max()})
      Try(&reflection::SetUInt32, &reflection::AddUInt32, Value);
    break;
  case FieldDescriptor::CPPTYPE_UINT64:
    for (const std::uint64_t Value :
         {std::uint64_t{0}, std::uint64_t{1} << 53, std::uint64_t{1} << 63,
          std::numeric_limits<std::uint64_t>::max()})
      Try(&reflection::SetUInt64, &reflection::AddUInt64, Value);
    break;
  case FieldDescriptor::CPPTYPE_INT32:
    for (const std::int32_t Value : {std::numeric_limits<std::int32_t>::min(),
                                     -1, std::numeric_limits<int>::max()})
      Try(&reflection::SetInt32, &reflection::AddInt32, Value);
    break;
  case FieldDescriptor::CPPTYPE_INT64:
    for (const std::int64_t Value :
         {std::numeric_limits<std::int64_t>::min(), std::int64_t{-1},
          std::numeric_limits<std::int64_t>::max()})
      Try(&reflection::SetInt64, &reflection::AddInt64, Value);
    break;
  case FieldDescriptor::CPPTYPE_DOUBLE:
    for (const double Value : {-1.0, 1e300, std::nan(""), HUGE_VAL})
      Try(&reflection::SetDouble, &reflection::AddDouble, Value);
    break;
  case FieldDescriptor::CPPTYPE_STRING:
    for (const std::string Value : {"", "10.0.0.1:65536", "a b\r\n"})
      Try(&reflection::SetString, &reflection::AddString, Value);
    break;
  default:
    break;
  }
}

/// Calls \p Check while one field of \p Part or of its parts is odd or missing.
void forEachOddMessage(Message &Part, const std::function<void()> &Check) {
  const auto *Access = Part.GetReflection();
  std::vector<const FieldDescriptor *> Present;
  Access->ListFields(Part, &Present);
  for (const FieldDescriptor *Field : Present) {
    if (Field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      if (!Field->is_repeated())
        forEachOddMessage(*Access->MutableMessage(&Part, Field), Check);
      for (int I = 0;
           Field->is_repeated() && I < Access->FieldSize(Part, Field); ++I)
        forEachOddMessage(*Access->MutableRepeatedMessage(&Part, Field, I),
                          Check);
    }
    const std::unique_ptr<Message> Valid(Part.New());
    Valid->CopyFrom(Part);
    forEachOddField(Part, Field, Check);
    Access->ClearField(&Part, Field);
    Check();
    Part.CopyFrom(*Valid);
  }
}

/// Decodes \p Bytes and computes what readers derive from a job.
void readRecord(std::string_view Bytes) {
  try {
    const work_record Record = decodeRecord(Bytes);
    if (const auto *Submitted = std::get_if<job_submitted>(&Record)) {
      const task_layout Layout(Submitted->Spec);
      CHECK(Layout.size() > 0 && Layout.size() <= MaxTasks);
      CHECK(run_forecast().objective(Submitted->Spec) >= duration{});
    }
  } catch (const malformed_message_error &) {
  }
}

void readReport(const proto::work::WorkerReport &Report) {
  try {
    const worker_report Decoded = decodeReport(Report);
    CHECK(!Decoded.Description.Instance.Worker.str().empty());
    const resources &Capacity = Decoded.Description.Capacity;
    CHECK(Capacity.covers(resources{}));
  } catch (const malformed_message_error &) {
  }
}

} // namespace

TEST_GROUP(UnusableInput){};

// Guards against a record of another writer that ends every process that reads
// its topic.
TEST(UnusableInput, NoOddRecordEndsTheProcess) {
  for (proto::work::WorkRecord &Message : recordOfEachKind())
    forEachOddMessage(Message,
                      [&] { readRecord(Message.SerializeAsString()); });
}

TEST(UnusableInput, NoDamagedRecordEndsTheProcess) {
  std::vector<std::string> Records;
  for (const proto::work::WorkRecord &Message : recordOfEachKind())
    Records.push_back(Message.SerializeAsString());
  Records.push_back(makeReport().SerializeAsString()); // of another type
  CHECK(rc::check([&] {
    for (const std::string &Each : Records)
      readRecord(geraniumpaddle::testing::mutatedBytes(Each));
  }));
}

TEST(UnusableInput, NoOddReportEndsTheProcess) {
  proto::work::WorkerReport Report = makeReport();
  forEachOddMessage(Report, [&] { readReport(Report); });
  const std::string Valid = makeReport().SerializeAsString();
  CHECK(rc::check([&] {
    proto::work::WorkerReport Damaged;
    if (Damaged.ParseFromString(geraniumpaddle::testing::mutatedBytes(Valid)))
      readReport(Damaged);
  }));
}

// Guards against tables that are sized by a job of another writer.
TEST(UnusableInput, AJobWithoutTasksOrWithTooManyIsRejected) {
  const auto Rejects = [](const std::function<void(job_spec &)> &Change) {
    job_submitted Record{work::testing::makeJob("00000000000000aa", 3, 4)};
    Change(Record.Spec);
    CHECK_THROWS(malformed_message_error, decodeRecord(encodeRecord(Record)));
  };
  Rejects([](job_spec &Spec) { Spec.Steps.clear(); });
  Rejects([](job_spec &Spec) { Spec.Steps[0].Count = 0; });
  Rejects([](job_spec &Spec) { Spec.Occurrences = 0; });
  Rejects([](job_spec &Spec) { Spec.Steps[0].Count = 4'000'000'000; });
  Rejects([](job_spec &Spec) { Spec.Occurrences = 4'000'000'000; });
}

// Guards against an index past the steps: the number after the greatest is 0.
TEST(UnusableInput, AStepThatDependsOnTheGreatestNumberIsRejected) {
  job_submitted Record{work::testing::makeJob("00000000000000aa", 3, 4)};
  Record.Spec.Steps.push_back(
      {.Count = 1, .After = {std::numeric_limits<std::uint32_t>::max()}});
  CHECK_THROWS(malformed_message_error, decodeRecord(encodeRecord(Record)));
}

// A term near the largest number would keep every candidate from a higher one.
TEST(UnusableInput, ARecordWithAnUnreachableTermIsRejected) {
  constexpr std::uint64_t Unreachable = std::uint64_t{1} << 60;
  const entry_record Entry{.Node = node_id("e1"), .Term = Unreachable};
  CHECK_THROWS(malformed_message_error, decodeRecord(encodeRecord(Entry)));
  CHECK_THROWS(malformed_message_error,
               decodeRecord(encodeRecord(term_leader{Unreachable, {}})));
}

TEST(UnusableInput, AReportThatNamesNoInstanceIsRejected) {
  proto::work::WorkerReport Report = makeReport();
  Report.mutable_description()->mutable_life()->set_born(0);
  CHECK_THROWS(malformed_message_error, decodeReport(Report));
  CHECK_THROWS(malformed_message_error,
               decodeReport(proto::work::WorkerReport()));
}

TEST(UnusableInput, AForecastOfAnyLengthIsBounded) {
  proto::work::QueueForecast Message;
  Message.add_waits()->set_wait_ms(std::numeric_limits<std::uint64_t>::max());
  CHECK(decodeForecast(Message).at(0) == MaxDuration);
}
