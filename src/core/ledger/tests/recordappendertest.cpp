#include "core/ledger/recordappender.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

constexpr duration Timeout = 10s;

/// Sends events to an appender and collects its answers and appends.
class appender_fixture {
public:
  explicit appender_fixture(appender_settings Settings = {})
      : Appender(node_id("e1"), incarnation{7}, Settings) {}

  record_appender Appender;
  time_point Now{};
  std::vector<std::vector<std::uint64_t>> Appends; ///< sequences by batch
  std::vector<proposal_answered> Answers;

  void send(const appender_event &Event, duration After = 20ms) {
    Now += After;
    for (const appender_command &Command : Appender.handle(Event, Now))
      take(Command);
  }
  void propose(std::uint64_t Id) {
    send(proposal_made{proposal_id{Id},
                       actor_id("ada"),
                       {},
                       job_cancelled{job_id("j")},
                       Timeout});
  }
  void finish(append_status Status) { send(append_finished{Status}); }
  void recordApplied(std::uint64_t Sequence, std::uint64_t Offset,
                     verdict Verdict = {}, std::uint64_t Incarnation = 7) {
    send(record_applied{{node_id("e1"), incarnation{Incarnation}, Sequence},
                        log_offset{Offset},
                        Verdict});
  }
  void wait(duration After) { send(appender_timer_expired{}, After); }

  bool answered(std::uint64_t Id, proposal_outcome Outcome) const {
    const proposal_answered *Found = answer(Id);
    return Found != nullptr && Found->Outcome == Outcome;
  }
  /// The answer to a proposal, or nullptr.
  const proposal_answered *answer(std::uint64_t Id) const {
    for (const proposal_answered &Answer : Answers)
      if (raw(Answer.Id) == Id)
        return &Answer;
    return nullptr;
  }

private:
  void take(const appender_command &Command) {
    if (const auto *Append = std::get_if<append_records>(&Command)) {
      Appends.emplace_back();
      for (const record &Record : Append->Records)
        Appends.back().push_back(Record.Producer.Sequence);
      return;
    }
    const auto &Answer = std::get<proposal_answered>(Command);
    CHECK_TEXT(answer(raw(Answer.Id)) == nullptr,
               "a proposal was answered twice");
    Answers.push_back(Answer);
  }
};

using batch = std::vector<std::uint64_t>;

} // namespace

TEST_GROUP(RecordAppender) { appender_fixture Fixture; };

TEST(RecordAppender, AnswersOnlyAfterTheRecordWasReadBack) {
  Fixture.propose(1);
  Fixture.finish(append_status::Appended);
  CHECK(Fixture.Answers.empty());
  Fixture.recordApplied(1, 40, {rejection::JobNotWaiting, log_offset{3}});
  CHECK(Fixture.answered(1, proposal_outcome::Decided));
  LONGS_EQUAL(40, raw(Fixture.answer(1)->Offset));
  CHECK(Fixture.answer(1)->Verdict.Reason == rejection::JobNotWaiting);
  CHECK(Fixture.Appender.idle());
}

TEST(RecordAppender, BatchesProposalsThatArriveWhileAnAppendIsInFlight) {
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Fixture.propose(Id);
  LONGS_EQUAL(1, Fixture.Appends.size());
  Fixture.finish(append_status::Appended);
  CHECK((Fixture.Appends[1] == batch{2, 3, 4}));
}

TEST(RecordAppender, KeepsTheIntervalBetweenAppends) {
  Fixture.propose(1);
  Fixture.send(append_finished{append_status::Appended}, 1ms);
  Fixture.send(proposal_made{proposal_id{2}, {}, {}, {}, Timeout}, 1ms);
  LONGS_EQUAL(1, Fixture.Appends.size());
  CHECK(Fixture.Appender.nextTimerAt() == Fixture.Now + 8ms);
  Fixture.wait(8ms);
  LONGS_EQUAL(2, Fixture.Appends.size());
}

TEST(RecordAppender, RetriesWithTheSameSequencesAfterALostAnswer) {
  Fixture.propose(1);
  Fixture.propose(2);
  Fixture.finish(append_status::Unknown);
  Fixture.wait(200ms);
  CHECK((Fixture.Appends[1] == batch{1, 2}));
  Fixture.recordApplied(1, 10);
  Fixture.recordApplied(1, 12, {rejection::Duplicate, log_offset{10}});
  LONGS_EQUAL(10, raw(Fixture.answer(1)->Offset));
}

TEST(RecordAppender, ReadBackDecidesEvenIfTheAppendsAnswerWasLost) {
  Fixture.propose(1);
  Fixture.finish(append_status::Unknown);
  Fixture.recordApplied(1, 10);
  Fixture.wait(5s);
  CHECK(Fixture.answered(1, proposal_outcome::Decided));
  LONGS_EQUAL(1, Fixture.Appends.size());
}

TEST(RecordAppender, IgnoresRecordsOfAnotherIncarnation) {
  Fixture.propose(1);
  Fixture.recordApplied(1, 10, {}, 6);
  CHECK(Fixture.Answers.empty());
}

TEST(RecordAppender, AppendsAgainAfterTheReadBackTimeout) {
  Fixture.propose(1);
  Fixture.finish(append_status::Appended);
  Fixture.wait(1s);
  LONGS_EQUAL(1, Fixture.Appends.size());
  Fixture.wait(5s);
  LONGS_EQUAL(2, Fixture.Appends.size());
}

TEST(RecordAppender, RejectsProposalsWhenTheQueueIsFull) {
  appender_settings Settings;
  Settings.MaxQueued = 2;
  appender_fixture Small(Settings);
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Small.propose(Id);
  CHECK(Small.answered(4, proposal_outcome::NotRun));
  CHECK(Small.answer(4)->Cause == not_run_cause::QueueFull);
  LONGS_EQUAL(1, Small.Answers.size());
}

TEST(RecordAppender, BoundsTheRecordsNotYetReadBack) {
  appender_settings Settings;
  Settings.MaxUndecided = 2;
  appender_fixture Small(Settings);
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Small.propose(Id);
  Small.finish(append_status::Appended);
  Small.finish(append_status::Appended);
  CHECK((Small.Appends == std::vector<batch>{{1}, {2}}));
  Small.recordApplied(1, 10);
  CHECK((Small.Appends.back() == batch{3}));
}

TEST(RecordAppender, RefusesNewProposalsAfterCloseAndFinishesTheOthers) {
  Fixture.propose(1);
  Fixture.send(appender_closed{});
  Fixture.propose(2);
  CHECK(Fixture.answer(2)->Cause == not_run_cause::ShuttingDown);
  Fixture.finish(append_status::Appended);
  Fixture.recordApplied(1, 10);
  CHECK(Fixture.answered(1, proposal_outcome::Decided));
  CHECK(Fixture.Appender.idle());
}

/// The outcome at the deadline depends on the results of the appends.
TEST(RecordAppender, AnswersAtTheDeadline) {
  struct {
    std::vector<append_status> Statuses;
    proposal_outcome Expected;
  } Cases[] = {
      {{append_status::NotAppended}, proposal_outcome::NotRun},
      {{append_status::NotAppended, append_status::NotAppended},
       proposal_outcome::NotRun},
      {{append_status::Unknown}, proposal_outcome::Undetermined},
      {{append_status::Appended}, proposal_outcome::Undetermined},
      {{append_status::Unknown, append_status::NotAppended},
       proposal_outcome::Undetermined},
      {{append_status::NotAppended, append_status::Unknown},
       proposal_outcome::Undetermined},
  };
  for (const auto &Case : Cases) {
    appender_settings Settings;
    Settings.MaxRetryDelay = 200ms;
    appender_fixture CaseFixture(Settings);
    CaseFixture.propose(1);
    for (append_status Status : Case.Statuses) {
      CaseFixture.finish(Status);
      CaseFixture.wait(300ms);
    }
    // The retry in flight is not appended either, so that the expected outcome
    // still holds at the deadline.
    if (!CaseFixture.Appender.idle() &&
        Case.Expected == proposal_outcome::NotRun)
      CaseFixture.finish(append_status::NotAppended);
    CaseFixture.wait(Timeout);
    CHECK(CaseFixture.answered(1, Case.Expected));
  }
}

TEST(RecordAppender, AnAppendInFlightAtTheDeadlineIsUndetermined) {
  Fixture.propose(1);
  Fixture.wait(Timeout);
  CHECK(Fixture.answered(1, proposal_outcome::Undetermined));
  Fixture.finish(append_status::NotAppended);
  CHECK(Fixture.Appender.idle());
}
