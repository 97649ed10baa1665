#include "jobentry/jobapi.h"
#include "core/work/tests/workbuilders.h"
#include "jobentry/tests/fakestore.h"
#include "testkit/fakeeventloop.h"
#include "testkit/fakehttp.h"
#include "workcodec/workcodec.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Id = "5c0e7a21d94b36f8";
constexpr std::string_view Body =
    R"({"Spec":"s","Steps":[{"Count":1,"Cpu":500,"MemMb":256,"EstimatedMs":900}]})";

/// Applies the records of the topic, as an entry does.
class registry_delegate final : public itopic_delegate {
public:
  explicit registry_delegate(work::job_registry &Registry)
      : Registry(Registry) {}
  void onRecord(store_topic, const keyed_record &Record) override {
    Registry.apply({Record.Key, Record.Offset},
                   work::decodeRecord(Record.Value));
  }
  void onLoaded(store_topic) override {}

private:
  work::job_registry &Registry;
};

} // namespace

TEST_GROUP(JobApi) {
  testing::fake_event_loop Loop;
  testing::fake_store Store;
  work::job_registry Registry;
  work::queue_directory Queues;
  work::admission_control Admission;
  metric_registry Metrics;
  registry_delegate Delegate{Registry};
  topic_reader Jobs{Loop, Store, store_topic::Jobs, 1s, {}, Delegate};
  job_api Api{Loop,     Store,  Jobs,      Metrics,
              Registry, Queues, Admission, [](const keyed_record &) {}};

  void setup() override {
    Queues.replace(work::testing::makeConfiguration());
    Jobs.start();
  }

  /// \returns where the answer will be.
  std::shared_ptr<testing::fake_responder> call(std::string_view Method,
                                                std::string_view Job = Id) {
    auto Responder = std::make_shared<testing::fake_responder>();
    const std::string Path = "/batch/" + std::string(Job);
    const std::vector<http_header> Headers{
        {"Host", "jobs.example"}, {"Authorization", "Bearer key-acme"}};
    Api.handle({.Method = Method,
                .Path = Path,
                .Headers = Headers,
                .Body = Method == "POST" ? Body : ""},
               Responder);
    return Responder;
  }
  static int codeOf(const std::shared_ptr<testing::fake_responder> &Answer) {
    return Answer->Response ? Answer->Response->Code : 0;
  }
};

TEST(JobApi, ASubmissionIsAcceptedOnceItIsStored) {
  const auto Submitted = call("POST");
  LONGS_EQUAL(0, codeOf(Submitted));
  Store.answerStored();
  LONGS_EQUAL(200, codeOf(Submitted));
  LONGS_EQUAL(200, codeOf(call("GET")));
}

// The append of the submission got no answer and is carried out seconds after
// another entry has answered 410 to the cancellation.
TEST(JobApi, ACancellationOfAnUnknownJobHoldsIfItsSubmissionIsStoredLater) {
  const auto Submitted = call("POST");
  const append_call Late = Store.loseAnswer();
  const auto Cancelled = call("DELETE");
  LONGS_EQUAL(0, codeOf(Cancelled)); // not before it is recorded
  Store.answerStored();
  LONGS_EQUAL(410, codeOf(Cancelled));
  Store.store(Late);
  CHECK(Registry.find(job_id(Id))->state() == work::job_state::Cancelled);
  LONGS_EQUAL(0, Registry.pending("batch"));
}

TEST(JobApi, ACancellationOfAnUnknownJobIsNoJob) {
  call("DELETE");
  Store.answerStored();
  LONGS_EQUAL(410, codeOf(call("GET")));
  LONGS_EQUAL(410, codeOf(call("DELETE")));
  LONGS_EQUAL(1, Store.Log.size()); // a repeated one is recorded already
}

TEST(JobApi, ACancellationThatMayHaveBeenStoredIsUndetermined) {
  const auto Cancelled = call("DELETE");
  while (!Store.Appends.empty()) {
    Store.answerUnstored(store_append_status::Unknown);
    Loop.advance(100ms);
  }
  LONGS_EQUAL(504, codeOf(Cancelled));
}

// Arbitrary job ids must not fill the store.
TEST(JobApi, CancellationsOfUnknownJobsAreLimited) {
  const std::string Other = "5c0e7a21d94b3000";
  for (std::size_t I = 0; I < work::MaxUnknownCancellations; ++I)
    Registry.apply({work::cancellationKey(job_id("x" + std::to_string(I))), I},
                   work::job_cancelled{job_id("x" + std::to_string(I))});
  const auto Refused = call("DELETE", Other);
  LONGS_EQUAL(429, codeOf(Refused));
  CHECK(Store.Appends.empty());
  call("POST");
  Store.answerStored();
  const auto Cancelled = call("DELETE"); // of a known job
  Store.answerStored();
  LONGS_EQUAL(200, codeOf(Cancelled));
}
