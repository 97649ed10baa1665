#include "platform/taskworkerclient.h"
#include "platform/internal/tasknames.h"
#include "testkit/fakehttp.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

struct start_case {
  const char *Name;
  http_result Result;
  work::worker_call_result Expected;
  work::start_refusal Reason = work::start_refusal::Stale;
};

} // namespace

TEST_GROUP(TaskWorkerClient) {
  testing::fake_http_client Http;
  task_worker_client Worker{Http, 600ms};
  worker_target Target{"10.0.0.1:80", {worker_id("i-1"), 77}, 9};
  work::run_ref Run{{job_id("00000000000000aa"), {0, 1, 17}}, 2};

  nlohmann::json body() {
    return nlohmann::json::parse(Http.Calls.front().first.Body);
  }
  /// Answers as the instance of the target, on a connection that is kept.
  void identify() {
    Http.answer({.Status = call_status::Completed,
                 .Code = 200,
                 .Body = R"({"ClockMs":1,"born":77})",
                 .Connection = http_connection_id{1}});
  }
  /// Makes a connection to the instance known.
  void connect() {
    Worker.list(Target, {}, [](const listing_outcome &) {});
    identify();
  }
  listing_outcome list(const char *Answer, int Code = 200) {
    listing_outcome Outcome;
    Worker.list(Target, {.AcknowledgedEnds = 5},
                [&](const listing_outcome &Each) { Outcome = Each; });
    Http.answer({.Status = call_status::Completed,
                 .Code = Code,
                 .Body = Answer,
                 .Connection = http_connection_id{1}});
    return Outcome;
  }
};

TEST(TaskWorkerClient, EncodesAStart) {
  connect();
  Worker.start(Target,
               {.Run = {.Run = Run, .Payload = "p", .Checkpoint = "c"},
                .LeaseEndMs = 486000},
               [](const start_outcome &) {});
  STRCMP_EQUAL("/api/run-start", Http.Calls.front().first.Target.c_str());
  const auto Body = body();
  STRCMP_EQUAL("00000000000000aa.0.1.17",
               Body["Task"].get<std::string>().c_str());
  LONGS_EQUAL(2, Body["Run"].get<int>());
  LONGS_EQUAL(486000, Body["DeadlineMs"].get<int>());
  LONGS_EQUAL(9, Body["FencingToken"].get<int>());
  STRCMP_EQUAL("c", Body["LastCheckpoint"].get<std::string>().c_str());
}

TEST(TaskWorkerClient, OmitsAnEmptyCheckpoint) {
  connect();
  Worker.start(Target, {.Run = {.Run = Run}}, [](const start_outcome &) {});
  CHECK(!body().contains("LastCheckpoint"));
}

TEST(TaskWorkerClient, MapsStartAnswersToOutcomes) {
  using work::start_refusal;
  using work::worker_call_result;
  constexpr auto Completed = call_status::Completed;
  const start_case Cases[] = {
      {"done",
       {Completed, 200, {}, R"({"ClockMs":1})"},
       worker_call_result::Done},
      {"fence",
       {Completed, 409, {}, R"({"Reason":"fence"})"},
       worker_call_result::Refused,
       start_refusal::Fenced},
      {"old",
       {Completed, 409, {}, R"({"Reason":"old"})"},
       worker_call_result::Refused,
       start_refusal::Stale},
      {"late",
       {Completed, 409, {}, R"({"Reason":"late"})"},
       worker_call_result::Refused,
       start_refusal::Late},
      {"room",
       {Completed, 409, {}, R"({"Reason":"room"})"},
       worker_call_result::Refused,
       start_refusal::NoCapacity},
      {"unhealthy",
       {Completed, 503, {}, ""},
       worker_call_result::Refused,
       start_refusal::Unhealthy},
      {"wrong worker",
       {Completed, 421, {}, ""},
       worker_call_result::Refused,
       start_refusal::Stale},
      {"malformed",
       {Completed, 400, {}, ""},
       worker_call_result::Refused,
       start_refusal::Invalid},
      {"error", {Completed, 500, {}, ""}, worker_call_result::Unknown},
      {"lost", {call_status::Lost, 0, {}, ""}, worker_call_result::Unknown},
      {"timed out",
       {call_status::TimedOut, 0, {}, ""},
       worker_call_result::Unknown},
      {"not sent",
       {call_status::NotSent, 0, {}, ""},
       worker_call_result::Refused,
       start_refusal::Unhealthy},
  };
  for (const start_case &Each : Cases) {
    connect();
    start_outcome Outcome;
    Worker.start(Target, {.Run = {.Run = Run}},
                 [&](const start_outcome &Answer) { Outcome = Answer; });
    Http.answer(Each.Result);
    if (Each.Result.Status == call_status::NotSent)
      Http.answer(Each.Result); // on a new connection
    CHECK_TEXT(Outcome.Result == Each.Expected, Each.Name);
    if (Outcome.Result == work::worker_call_result::Refused)
      CHECK_TEXT(Outcome.Reason == Each.Reason, Each.Name);
  }
}

// The worker restarts under its id before a start reaches it. The new instance
// must not get the start, since its task may be running elsewhere.
TEST(TaskWorkerClient, AStartIsNotSentToTheNextInstanceOfItsWorker) {
  start_outcome Outcome;
  Worker.start(Target, {.Run = {.Run = Run}},
               [&](const start_outcome &Answer) { Outcome = Answer; });
  STRCMP_EQUAL("/api/hold", Http.Calls.front().first.Target.c_str());
  CHECK(Http.Calls.front().first.Reuse == connection_reuse::Never);
  Http.answer({.Status = call_status::Completed,
               .Code = 200,
               .Body = R"({"ClockMs":1,"born":78})",
               .Connection = http_connection_id{1}});
  CHECK(Http.Calls.empty());
  CHECK(Outcome.Result == work::worker_call_result::Refused);
}

TEST(TaskWorkerClient, AStartIsSentOnAConnectionOfItsInstance) {
  start_outcome Outcome;
  Worker.start(Target, {.Run = {.Run = Run}},
               [&](const start_outcome &Answer) { Outcome = Answer; });
  identify();
  STRCMP_EQUAL("/api/run-start", Http.Calls.front().first.Target.c_str());
  CHECK(Http.Calls.front().first.Connection == http_connection_id{1});
  Http.answer({.Status = call_status::Completed,
               .Code = 200,
               .Connection = http_connection_id{1}});
  CHECK(Outcome.Result == work::worker_call_result::Done);
}

TEST(TaskWorkerClient, AConnectionOfAnEarlierInstanceIsNotUsed) {
  connect();
  Target.Instance.StartTimeMs = 78;
  Worker.start(Target, {.Run = {.Run = Run}}, [](const start_outcome &) {});
  STRCMP_EQUAL("/api/hold", Http.Calls.front().first.Target.c_str());
  CHECK(!Http.Calls.front().first.Connection);
}

// Another instance would take the numbers of ends and the lease for its own: it
// would forget ends that nobody has seen.
TEST(TaskWorkerClient, AListingOnANewConnectionHasNoEffects) {
  Worker.list(Target, {.AcknowledgedEnds = 5, .LeaseEndMs = 900, .Wait = 1s},
              [](const listing_outcome &) {});
  const auto First = body();
  CHECK(!First.contains("AckCursor"));
  CHECK(!First.contains("DeadlineMs"));
  CHECK(!First.contains("WaitMs"));
  identify();
  Worker.list(Target, {.AcknowledgedEnds = 5, .LeaseEndMs = 900, .Wait = 1s},
              [](const listing_outcome &) {});
  CHECK(Http.Calls.front().first.Connection == http_connection_id{1});
  LONGS_EQUAL(5, body()["AckCursor"].get<int>());
  LONGS_EQUAL(900, body()["DeadlineMs"].get<int>());
}

TEST(TaskWorkerClient,
     ACallOnAConnectionThatWasClosedIdentifiesTheWorkerAgain) {
  connect();
  Worker.start(Target, {.Run = {.Run = Run}}, [](const start_outcome &) {});
  Http.answer({.Status = call_status::NotSent});
  STRCMP_EQUAL("/api/hold", Http.Calls.front().first.Target.c_str());
}

TEST(TaskWorkerClient, AWorkerThatClosesItsConnectionsGetsItsLease) {
  Worker.list(Target, {.LeaseEndMs = 900}, [](const listing_outcome &) {});
  Http.answer({.Status = call_status::Completed,
               .Code = 200,
               .Body = R"({"ClockMs":1,"born":77})"});
  LONGS_EQUAL(900, body()["DeadlineMs"].get<int>());
}

TEST(TaskWorkerClient, AWorkerThatClosesItsConnectionsGetsItsStarts) {
  start_outcome Outcome;
  Worker.start(Target, {.Run = {.Run = Run}, .LeaseEndMs = 900},
               [&](const start_outcome &Answer) { Outcome = Answer; });
  Http.answer({.Status = call_status::Completed,
               .Code = 200,
               .Body = R"({"ClockMs":1,"born":77})"});
  STRCMP_EQUAL("/api/run-start", Http.Calls.front().first.Target.c_str());
  Http.answer({.Status = call_status::Completed, .Code = 200});
  CHECK(Outcome.Result == work::worker_call_result::Done);
}

// TWICE: such a start may reach the next instance, whose clock starts anew, and
// run there when its task has been placed elsewhere.
TEST(TaskWorkerClient, ALateStartIsNotSentToAWorkerThatClosesItsConnections) {
  start_outcome Outcome{};
  Worker.start(Target, {.Run = {.Run = Run}, .LeaseEndMs = 1000},
               [&](const start_outcome &Each) { Outcome = Each; });
  Http.answer({call_status::Completed,
               200,
               {},
               R"({"ClockMs":1000,"born":77,"Running":[],"Finished":[]})"});
  LONGS_EQUAL(0, Http.Calls.size());
  CHECK(Outcome.Result == work::worker_call_result::Refused);
  CHECK(Outcome.Reason == work::start_refusal::Late);
}

TEST(TaskWorkerClient, DecodesAListing) {
  const auto Outcome = list(
      R"({"ClockMs":482113,"born":77,)"
      R"("Running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,3],["x",1]],)"
      R"("Finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
      R"([59,"5c0e7a21d94b36f8.0.1.9",1,"vanished",""]]})");
  CHECK(Outcome.Listing.has_value());
  LONGS_EQUAL(77, Outcome.Listing->StartTimeMs);
  LONGS_EQUAL(482113, Outcome.Listing->ClockMs);
  LONGS_EQUAL(1, Outcome.Listing->Running.size());
  LONGS_EQUAL(41, Outcome.Listing->Running[0].Percent);
  STRCMP_EQUAL("00000bb8", Outcome.Listing->Running[0].Checkpoint.c_str());
  LONGS_EQUAL(1, Outcome.Listing->Finished.size());
  CHECK(Outcome.Listing->Finished[0].EndReason == work::run_end_reason::Done);
}

// With as many ends as the platform lists at a time, there may be more.
TEST(TaskWorkerClient, AFullListOfEndsIsIncomplete) {
  const auto ListingOf = [this](int Ends) {
    std::string Rows;
    for (int I = 1; I <= Ends; ++I)
      Rows += (I > 1 ? ",[" : "[") + std::to_string(I) +
              R"(,"5c0e7a21d94b36f8.0.0.)" + std::to_string(I) +
              R"(",1,"done",""])";
    const std::string Body =
        R"({"ClockMs":1,"born":77,"Running":[],"Finished":[)" + Rows + "]}";
    return list(Body.c_str());
  };
  CHECK(ListingOf(0).Listing->EndsComplete);
  CHECK(ListingOf(499).Listing->EndsComplete);
  CHECK(!ListingOf(500).Listing->EndsComplete);
}

TEST(TaskWorkerClient, ReportsWhyAListingFailed) {
  CHECK(list("", 421).WrongWorker);
  CHECK(list(R"({"Reason":"fence"})", 409).Fenced);
  CHECK(!list("no json").Listing);
  CHECK(!list(R"({"ClockMs":"x"})").Listing);
}

TEST(TaskWorkerClient, EncodesAndParsesTaskNames) {
  const auto Task = parseTaskName("5c0e7a21d94b36f8.2.1.17");
  CHECK(Task && Task->Position == (work::task_position{2, 1, 17}));
  for (const char *Malformed :
       {"", "a", "a.1.2", "a.1.2.x", "a.1..2", "a.1.2.-3"})
    CHECK_TEXT(!parseTaskName(Malformed), Malformed);
  STRCMP_EQUAL("5c0e7a21d94b36f8.2.1.17", taskName(*Task).c_str());
}
