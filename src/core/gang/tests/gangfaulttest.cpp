#include "core/gang/tests/gangsimulation.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::testing;
using namespace std::chrono_literals;

namespace {

/// A fault while a gang of three runs, and how the attempt then ends.
struct fault_row {
  const char *Name;
  void (*Inject)(gang_world &);
  bool Survives; ///< the attempt runs to its own end
  job_outcome Outcome;
};

const fault_row Faults[] = {
    {"a member's agent restarts", [](gang_world &World) { World.restart(1); },
     true, job_outcome::Succeeded},
    {"the lead's agent restarts", [](gang_world &World) { World.restart(0); },
     true, job_outcome::Succeeded},
    {"all agents restart at once",
     [](gang_world &World) {
       for (int Agent = 0; Agent < gang_world::Agents; ++Agent)
         World.restart(Agent);
     },
     true, job_outcome::Succeeded},
    {"the log is down for the whole run",
     [](gang_world &World) { World.logOutage(gang_world::RunTime); }, true,
     job_outcome::Succeeded},
    {"a member pauses for a moment",
     [](gang_world &World) { World.pause(1, 3s); }, true,
     job_outcome::Succeeded},
    {"a worker loses answers after acting",
     [](gang_world &World) { World.loseWorkerAnswers(1, 3); }, true,
     job_outcome::Succeeded},
    {"a member pauses past its lease",
     [](gang_world &World) { World.pause(1, 16s); }, false,
     job_outcome::LeaseExpired},
    {"the lead pauses past its lease",
     [](gang_world &World) { World.pause(0, 16s); }, false,
     job_outcome::LeaseExpired},
    {"a member is silent", [](gang_world &World) { World.silence(2, 60s); },
     false, job_outcome::LeaseExpired},
    {"a worker is silent",
     [](gang_world &World) { World.silenceWorker(2, 60s); }, false,
     job_outcome::LeaseExpired},
    {"a worker's machine is replaced",
     [](gang_world &World) { World.replaceWorker(1); }, false,
     job_outcome::LeaseExpired},
    {"the lead's machine is replaced",
     [](gang_world &World) { World.replaceWorker(0); }, false,
     job_outcome::LeaseExpired},
};

} // namespace

TEST_GROUP(GangFaults) {
  gang_world World;

  bool runs(gang_world & In, fencing_token Token, duration Limit = 2s) {
    return In.runUntil([&] { return In.allRun(Token); }, Limit);
  }
  bool ends(gang_world & In, fencing_token Token, duration Limit = 120s) {
    return In.runUntil([&] { return In.gang(Token).Ended.has_value(); }, Limit);
  }
  void holds(const gang_world &In) {
    const auto Violation = In.violation();
    if (Violation)
      FAIL(Violation->c_str());
  }
  job_outcome outcome(fencing_token Token) {
    return World.gang(Token).Ended->Outcome;
  }
};

TEST(GangFaults, RunsOnEveryMemberAndEnds) {
  const fencing_token Token = World.place("job", {0, 1, 2}, 0b11);
  CHECK(runs(World, Token, 500ms));
  CHECK(ends(World, Token));
  CHECK(outcome(Token) == job_outcome::Succeeded);
  CHECK(World.longestPartial(Token) < 100ms);
  UNSIGNED_LONGS_EQUAL(3, World.starts(Token));
  holds(World);
}

TEST(GangFaults, RunningGangsMeetFaults) {
  for (const fault_row &Row : Faults) {
    gang_world Faulty;
    const fencing_token Token = Faulty.place("job", {0, 1, 2}, 0b11);
    CHECK_TEXT(runs(Faulty, Token), Row.Name);
    Faulty.runFor(7s);
    Row.Inject(Faulty);
    CHECK_TEXT(ends(Faulty, Token), Row.Name);
    CHECK_TEXT(Faulty.gang(Token).Ended->Outcome == Row.Outcome, Row.Name);
    CHECK_TEXT(Faulty.noneRun(Token), Row.Name);
    UNSIGNED_LONGS_EQUAL_TEXT(3, Faulty.starts(Token), Row.Name);
    holds(Faulty);
  }
}

TEST(GangFaults, AFailedTaskEndsTheGangAndBlamesItsWorker) {
  const fencing_token Token = World.place("job", {0, 1, 2}, 1, "fail");
  CHECK(ends(World, Token));
  CHECK(outcome(Token) == job_outcome::Failed);
  CHECK_FALSE(World.gang(Token).Ended->BlamedWorker.empty());
  holds(World);
}

TEST(GangFaults, CancellationAtEveryStepEndsTheAttempt) {
  for (duration Step = 0ms; Step < 60ms; Step += 1ms) {
    gang_world Cancelled;
    const fencing_token Token = Cancelled.place("job", {0, 1, 2}, 1);
    Cancelled.runFor(Step);
    Cancelled.stop(Token, job_outcome::Cancelled);
    CHECK(ends(Cancelled, Token, 5s));
    // The ledger may refuse the start before the lead hears of the reason.
    const bool Refused =
        Cancelled.gang(Token).Ended->Outcome == job_outcome::Aborted &&
        Cancelled.starts(Token) == 0;
    CHECK(Refused ||
          Cancelled.gang(Token).Ended->Outcome == job_outcome::Cancelled);
    CHECK(Cancelled.noneRun(Token));
    holds(Cancelled);
  }
}

TEST(GangFaults, UrgentAttemptTakesAcceleratorsWithinTwoSeconds) {
  for (const char *Command : {"run", "checkpoint-never"}) {
    gang_world Busy;
    const fencing_token Victim = Busy.place("low", {0, 1, 2}, 0b11, Command);
    CHECK(runs(Busy, Victim));
    const fencing_token Urgent = Busy.place("high", {1, 2}, 0b01);
    CHECK_TEXT(runs(Busy, Urgent, 2s), Command);
    CHECK(ends(Busy, Victim));
    CHECK(Busy.gang(Victim).Ended->Outcome == job_outcome::Preempted);
    holds(Busy);
  }
}

TEST(GangFaults, VictimWithASilentLeadIsDisplacedByItsMembers) {
  const fencing_token Victim = World.place("low", {0, 1}, 1);
  CHECK(runs(World, Victim));
  World.silence(0, 60s);
  const fencing_token Next = World.place("high", {1}, 1);
  CHECK(runs(World, Next, 2s));
  holds(World);
}

TEST(GangFaults, VictimOnASilentWorkerIsWaitedForUntilItsLeaseLapses) {
  const fencing_token Victim = World.place("low", {1}, 1);
  CHECK(runs(World, Victim));
  World.silenceWorker(1, 9s);
  const fencing_token Next = World.place("high", {1}, 1);
  World.runFor(8s);
  CHECK(World.memberState(1, Next) == member_state::Waiting);
  CHECK(runs(World, Next, 20s));
  holds(World);
}

TEST(GangFaults, BarrierStaysShutWhileTheStartIsUndetermined) {
  World.logOutage(300s);
  const fencing_token Token = World.place("job", {0, 1}, 1, "run", false);
  World.runFor(299s);
  UNSIGNED_LONGS_EQUAL(0, World.starts(Token));
  CHECK(World.memberState(1, Token) == member_state::Prepared);
  CHECK(runs(World, Token, 5s));
  holds(World);
}

TEST(GangFaults, MemberThatLosesItsHoldDuringAnOutageTakesItAnew) {
  World.logOutage(30s);
  const fencing_token Token = World.place("job", {0, 1}, 1);
  World.runFor(5s);
  World.restart(1);
  CHECK(runs(World, Token, 30s));
  holds(World);
}

TEST(GangFaults, NonIdempotentGangIsNotOpenedAgainAfterItsMachinesAreReplaced) {
  const fencing_token Token = World.place("job", {0, 1}, 1, "run", false);
  CHECK(runs(World, Token));
  World.replaceWorker(0);
  World.replaceWorker(1);
  CHECK(ends(World, Token));
  UNSIGNED_LONGS_EQUAL(2, World.starts(Token));
  holds(World);
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

TEST(GangMember, IsNotReadyWhileStartsOfAnEarlierRunMayArrive) {
  Member.handle(agent_started{}, Now);
  describe();
  CHECK_FALSE(Member.ready());
  CHECK(call(prepare()).Refusal == gang_refusal::NotReady);
  Now += Timing.DeliveryMargin;
  Member.handle(gang_timer_expired{}, Now);
  describe();
  CHECK(Member.ready());
}

TEST(GangMember, ACallThatWaitedThroughAPauseGrantsNoLease) {
  becomeReady();
  CHECK(call(prepare()).State == member_state::Prepared);
  Now += 5s;
  CHECK(call(start_tasks{Token, 10s}).Refusal == gang_refusal::NotReady);
  CHECK_FALSE(Member.busy());
  Now += Timing.DeliveryMargin;
  call(start_tasks{Token, 10s});
  CHECK(Member.busy());
}
