#include "core/gang/tests/gangsimulation.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::testing;
using namespace std::chrono_literals;

namespace {

/// A fault while a gang of three runs, and the outcome of the attempt.
struct fault_row {
  const char *Name;
  void (*Inject)(gang_simulation &);
  bool Survives; ///< the attempt still completes
  job_outcome Outcome;
};

const fault_row Faults[] = {
    {"a member's agent restarts",
     [](gang_simulation &Simulation) { Simulation.restart(1); }, true,
     job_outcome::Succeeded},
    {"the lead's agent restarts",
     [](gang_simulation &Simulation) { Simulation.restart(0); }, true,
     job_outcome::Succeeded},
    {"all agents restart at once",
     [](gang_simulation &Simulation) {
       for (int Agent = 0; Agent < gang_simulation::Agents; ++Agent)
         Simulation.restart(Agent);
     },
     true, job_outcome::Succeeded},
    {"the log is unavailable for the whole run",
     [](gang_simulation &Simulation) {
       Simulation.startLogOutage(gang_simulation::TaskRunTime);
     },
     true, job_outcome::Succeeded},
    {"a member pauses for a moment",
     [](gang_simulation &Simulation) { Simulation.pause(1, 3s); }, true,
     job_outcome::Succeeded},
    {"a worker loses answers after acting",
     [](gang_simulation &Simulation) { Simulation.dropWorkerAnswers(1, 3); },
     true, job_outcome::Succeeded},
    {"a member pauses past its lease",
     [](gang_simulation &Simulation) { Simulation.pause(1, 16s); }, false,
     job_outcome::LeaseExpired},
    {"the lead pauses past its lease",
     [](gang_simulation &Simulation) { Simulation.pause(0, 16s); }, false,
     job_outcome::LeaseExpired},
    {"a member is disconnected",
     [](gang_simulation &Simulation) { Simulation.disconnect(2, 60s); }, false,
     job_outcome::LeaseExpired},
    {"a worker does not respond",
     [](gang_simulation &Simulation) { Simulation.disconnectWorker(2, 60s); },
     false, job_outcome::LeaseExpired},
    {"a worker's machine is replaced",
     [](gang_simulation &Simulation) { Simulation.replaceWorker(1); }, false,
     job_outcome::LeaseExpired},
    {"the lead's machine is replaced",
     [](gang_simulation &Simulation) { Simulation.replaceWorker(0); }, false,
     job_outcome::LeaseExpired},
};

} // namespace

TEST_GROUP(GangFaults) {
  gang_simulation Simulation;

  bool waitUntilAllRun(gang_simulation & Target, fencing_token Token,
                       duration Limit = 2s) {
    return Target.runUntil([&] { return Target.allTasksRun(Token); }, Limit);
  }
  bool waitUntilEnded(gang_simulation & Target, fencing_token Token,
                      duration Limit = 120s) {
    return Target.runUntil([&] { return Target.gang(Token).Ended.has_value(); },
                           Limit);
  }
  void checkInvariants(const gang_simulation &Target) {
    const auto Violation = Target.violation();
    if (Violation)
      FAIL(Violation->c_str());
  }
  job_outcome outcome(fencing_token Token) {
    return Simulation.gang(Token).Ended->Outcome;
  }
};

TEST(GangFaults, RunsOnEveryMemberAndEnds) {
  const fencing_token Token = Simulation.place("job", {0, 1, 2}, 0b11);
  CHECK(waitUntilAllRun(Simulation, Token, 500ms));
  CHECK(waitUntilEnded(Simulation, Token));
  CHECK(outcome(Token) == job_outcome::Succeeded);
  CHECK(Simulation.longestPartial(Token) < 100ms);
  UNSIGNED_LONGS_EQUAL(3, Simulation.startCount(Token));
  checkInvariants(Simulation);
}

TEST(GangFaults, RunningGangsEndAsExpectedAfterFaults) {
  for (const fault_row &Row : Faults) {
    gang_simulation Faulty;
    const fencing_token Token = Faulty.place("job", {0, 1, 2}, 0b11);
    CHECK_TEXT(waitUntilAllRun(Faulty, Token), Row.Name);
    Faulty.runFor(7s);
    Row.Inject(Faulty);
    CHECK_TEXT(waitUntilEnded(Faulty, Token), Row.Name);
    CHECK_TEXT(Faulty.gang(Token).Ended->Outcome == Row.Outcome, Row.Name);
    CHECK_TEXT(Faulty.noTaskRuns(Token), Row.Name);
    UNSIGNED_LONGS_EQUAL_TEXT(3, Faulty.startCount(Token), Row.Name);
    checkInvariants(Faulty);
  }
}

TEST(GangFaults, AFailedTaskEndsTheGangAndBlamesItsWorker) {
  const fencing_token Token = Simulation.place("job", {0, 1, 2}, 1, "fail");
  CHECK(waitUntilEnded(Simulation, Token));
  CHECK(outcome(Token) == job_outcome::Failed);
  CHECK_FALSE(Simulation.gang(Token).Ended->BlamedWorker.empty());
  checkInvariants(Simulation);
}

TEST(GangFaults, CancellationAtEveryStepEndsTheAttempt) {
  for (duration Step = 0ms; Step < 60ms; Step += 1ms) {
    gang_simulation Cancelled;
    const fencing_token Token = Cancelled.place("job", {0, 1, 2}, 1);
    Cancelled.runFor(Step);
    Cancelled.stop(Token, job_outcome::Cancelled);
    CHECK(waitUntilEnded(Cancelled, Token, 5s));
    // The ledger may reject the start before the lead gets the stop request.
    const bool Refused =
        Cancelled.gang(Token).Ended->Outcome == job_outcome::Aborted &&
        Cancelled.startCount(Token) == 0;
    CHECK(Refused ||
          Cancelled.gang(Token).Ended->Outcome == job_outcome::Cancelled);
    CHECK(Cancelled.noTaskRuns(Token));
    checkInvariants(Cancelled);
  }
}

TEST(GangFaults, UrgentAttemptTakesAcceleratorsWithinTwoSeconds) {
  for (const char *Command : {"run", "checkpoint-never"}) {
    gang_simulation Busy;
    const fencing_token Victim = Busy.place("low", {0, 1, 2}, 0b11, Command);
    CHECK(waitUntilAllRun(Busy, Victim));
    const fencing_token Urgent = Busy.place("high", {1, 2}, 0b01);
    CHECK_TEXT(waitUntilAllRun(Busy, Urgent, 2s), Command);
    CHECK(waitUntilEnded(Busy, Victim));
    CHECK(Busy.gang(Victim).Ended->Outcome == job_outcome::Preempted);
    checkInvariants(Busy);
  }
}

TEST(GangFaults, VictimWithADisconnectedLeadIsStoppedByItsMembers) {
  const fencing_token Victim = Simulation.place("low", {0, 1}, 1);
  CHECK(waitUntilAllRun(Simulation, Victim));
  Simulation.disconnect(0, 60s);
  const fencing_token Next = Simulation.place("high", {1}, 1);
  CHECK(waitUntilAllRun(Simulation, Next, 2s));
  checkInvariants(Simulation);
}

TEST(GangFaults,
     VictimOnAnUnresponsiveWorkerHoldsItsAcceleratorsUntilItsLeaseExpires) {
  const fencing_token Victim = Simulation.place("low", {1}, 1);
  CHECK(waitUntilAllRun(Simulation, Victim));
  Simulation.disconnectWorker(1, 9s);
  const fencing_token Next = Simulation.place("high", {1}, 1);
  Simulation.runFor(8s);
  CHECK(Simulation.memberState(1, Next) == member_state::Waiting);
  CHECK(waitUntilAllRun(Simulation, Next, 20s));
  checkInvariants(Simulation);
}

TEST(GangFaults, BarrierStaysClosedWhileTheStartRecordIsUndetermined) {
  Simulation.startLogOutage(300s);
  const fencing_token Token = Simulation.place("job", {0, 1}, 1, "run", false);
  Simulation.runFor(299s);
  UNSIGNED_LONGS_EQUAL(0, Simulation.startCount(Token));
  CHECK(Simulation.memberState(1, Token) == member_state::Prepared);
  CHECK(waitUntilAllRun(Simulation, Token, 5s));
  checkInvariants(Simulation);
}

TEST(GangFaults, MemberThatRestartsDuringALogOutageIsPreparedAgain) {
  Simulation.startLogOutage(30s);
  const fencing_token Token = Simulation.place("job", {0, 1}, 1);
  Simulation.runFor(5s);
  Simulation.restart(1);
  CHECK(waitUntilAllRun(Simulation, Token, 30s));
  checkInvariants(Simulation);
}

TEST(GangFaults, NonIdempotentGangIsNotRestartedAfterItsMachinesAreReplaced) {
  const fencing_token Token = Simulation.place("job", {0, 1}, 1, "run", false);
  CHECK(waitUntilAllRun(Simulation, Token));
  Simulation.replaceWorker(0);
  Simulation.replaceWorker(1);
  CHECK(waitUntilEnded(Simulation, Token));
  UNSIGNED_LONGS_EQUAL(2, Simulation.startCount(Token));
  checkInvariants(Simulation);
}

TEST_GROUP(GangMember) {
  const fencing_token Token{10};
  const gang_timing Timing{};
  time_point Now{1h};
  gang_member Member{Timing};
  std::uint64_t Described = 0;

  template <typename Message> member_report call(const Message &Body) {
    const reply_handle Reply{call_origin::Peer, 1};
    for (const gang_command &Command :
         Member.handle(peer_request<Message>{Reply, Body}, Now)) {
      if (const auto *Answer = std::get_if<gang_reply>(&Command))
        return Answer->Report;
    }
    return {};
  }
  void describe() {
    Member.handle(
        worker_answered{
            worker_call_id{++Described}, worker_answer::Answered, true, {}},
        Now);
  }
  void becomeReady() {
    Member.handle(agent_started{}, Now);
    Now += Timing.DeliveryMargin;
    describe();
    describe();
  }
  prepare_tasks prepare() const {
    return {job_id("job"),
            Token,
            "run",
            {{{0, worker_id("w0"), 1, false}, {}}},
            {}};
  }
};

TEST(GangMember, LateMessagesOfAStoppedAttemptAreRefused) {
  becomeReady();
  call(stop_tasks{Token});
  CHECK(call(prepare()).Refusal == gang_refusal::StaleToken);
}

TEST(GangMember, IsNotReadyWhileStartsOfThePreviousIncarnationMayArrive) {
  Member.handle(agent_started{}, Now);
  describe();
  CHECK_FALSE(Member.ready());
  CHECK(call(prepare()).Refusal == gang_refusal::NotReady);
  Now += Timing.DeliveryMargin;
  Member.handle(gang_timer_expired{}, Now);
  describe();
  CHECK(Member.ready());
}

TEST(GangMember, ACallQueuedDuringAPauseGrantsNoLease) {
  becomeReady();
  CHECK(call(prepare()).State == member_state::Prepared);
  Now += 5s;
  CHECK(call(start_tasks{Token, 10s}).Refusal == gang_refusal::NotReady);
  CHECK_FALSE(Member.busy());
  Now += Timing.DeliveryMargin;
  call(start_tasks{Token, 10s});
  CHECK(Member.busy());
}
