#include "core/supervision/gangsupervisor.h"

#include <CppUTest/TestHarness.h>
#include <chrono>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

constexpr fencing_token Token{10};
const worker_id Lead("w1");
const worker_id Member("w2");
constexpr time_point Start{};

class switchable_owner final : public iattempt_owner {
public:
  bool owns(fencing_token) const override { return Owns; }
  bool Owns = true;
};

template <typename Command>
std::vector<Command> commandsOf(std::span<const supervision_command> Commands) {
  std::vector<Command> Found;
  for (const supervision_command &Candidate : Commands)
    if (const auto *Match = std::get_if<Command>(&Candidate))
      Found.push_back(*Match);
  return Found;
}

} // namespace

TEST_GROUP(GangSupervisor) {
  switchable_owner Owner;
  supervision_settings Settings;
  gang_supervisor Supervisor{Settings, Owner};

  std::span<const supervision_command> place() {
    return Supervisor.handle(attempt_placed{job_id("j"), Token, {Lead, Member}},
                             Start);
  }
  void placeAndAcknowledge() {
    place();
    Supervisor.handle(assignment_answered{Token, true}, Start);
  }
};

TEST(GangSupervisor, SendsTheAssignmentUntilTheLeadAcknowledges) {
  LONGS_EQUAL(1, commandsOf<send_assignment>(place()).size());
  Supervisor.handle(assignment_answered{Token, false}, Start);
  auto Again = Supervisor.handle(supervision_timer_expired{}, Start + 1s);
  LONGS_EQUAL(1, commandsOf<send_assignment>(Again).size());
  Supervisor.handle(assignment_answered{Token, true}, Start + 1s);
  auto Later = Supervisor.handle(supervision_timer_expired{}, Start + 60s);
  LONGS_EQUAL(0, commandsOf<send_assignment>(Later).size());
}

TEST(GangSupervisor, SendsTheAssignmentAgainAfterTheLeadsAgentRestarted) {
  placeAndAcknowledge();
  auto Commands = Supervisor.handle(worker_returned{Lead}, Start + 5s);
  LONGS_EQUAL(1, commandsOf<send_assignment>(Commands).size());
}

TEST(GangSupervisor, TakesOverWhenItBecomesTheOwner) {
  Owner.Owns = false;
  LONGS_EQUAL(0, commandsOf<send_assignment>(place()).size());
  Owner.Owns = true;
  auto Commands = Supervisor.handle(ownership_changed{}, Start + 1s);
  LONGS_EQUAL(1, commandsOf<send_assignment>(Commands).size());
}

TEST(GangSupervisor, EndsAStartedGangOnlyAfterItsLeasesExpired) {
  placeAndAcknowledge();
  Supervisor.handle(attempt_started{Token}, Start);
  auto AtOnce = Supervisor.handle(worker_lost{Lead}, Start);
  LONGS_EQUAL(0, commandsOf<propose_lease_expired>(AtOnce).size());
  auto Before = Supervisor.handle(supervision_timer_expired{},
                                  Start + Settings.LeaseExpiryBound - 1us);
  LONGS_EQUAL(0, commandsOf<propose_lease_expired>(Before).size());
  auto Due = Supervisor.handle(supervision_timer_expired{},
                               Start + Settings.LeaseExpiryBound);
  LONGS_EQUAL(1, commandsOf<propose_lease_expired>(Due).size());
}

TEST(GangSupervisor, AGangThatNeverStartedIsEndedAtOnce) {
  placeAndAcknowledge();
  auto AtOnce = Supervisor.handle(worker_lost{Lead}, Start);
  LONGS_EQUAL(1, commandsOf<propose_lease_expired>(AtOnce).size());
}

TEST(GangSupervisor, ALeadThatReturnsBeforeTheLeasesExpireKeepsItsGang) {
  placeAndAcknowledge();
  Supervisor.handle(attempt_started{Token}, Start);
  Supervisor.handle(worker_lost{Lead}, Start);
  Supervisor.handle(worker_returned{Lead}, Start + 1s);
  auto Later = Supervisor.handle(supervision_timer_expired{},
                                 Start + Settings.LeaseExpiryBound + 1s);
  LONGS_EQUAL(0, commandsOf<propose_lease_expired>(Later).size());
}

TEST(GangSupervisor, AGangWithExpiredLeasesIsStoppedOnEveryWorkerThatAnswers) {
  placeAndAcknowledge();
  auto Commands = commandsOf<send_stop>(Supervisor.handle(
      attempt_ended{Token, job_outcome::LeaseExpired}, Start));
  LONGS_EQUAL(2, Commands.size());
  Supervisor.handle(stop_answered{Token, Member, true}, Start);
  Supervisor.handle(stop_answered{Token, Lead, false}, Start);
  auto AfterReturn = commandsOf<send_stop>(
      Supervisor.handle(worker_returned{Lead}, Start + 3600s));
  LONGS_EQUAL(1, AfterReturn.size());
  CHECK(AfterReturn[0].Worker == Lead);
  Supervisor.handle(stop_answered{Token, Lead, true}, Start + 3600s);
  LONGS_EQUAL(0, Supervisor.pendingStops());
}

TEST(GangSupervisor, ACancelledGangIsStoppedThroughItsLead) {
  placeAndAcknowledge();
  auto Commands = commandsOf<send_stop>(Supervisor.handle(
      attempt_stop_requested{Token, job_outcome::Cancelled}, Start));
  LONGS_EQUAL(1, Commands.size());
  CHECK(Commands[0].ToLead);
}
