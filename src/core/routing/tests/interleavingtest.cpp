#include "routingsimulation.h"

#include <ostream>
#include <rapidcheck.h>

// After rapidcheck.h, whose templates do not compile with its macro for new.
#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t EntryCount = 2;
constexpr std::size_t AgentCount = 3;
constexpr duration ShortTimeout = 2s;

enum class step_kind : std::uint8_t {
  Request,
  DisconnectCaller,
  KillEntry,
  KillAgent,
  RestartAgent,
  PauseAgent,
  DrainAgent,
  BlackholeLink,
  SuspectAgent,
  BreakEndpoint,
  RepairEndpoint,
};

struct step {
  step_kind Kind = step_kind::Request;
  std::size_t Entry = 0;
  std::size_t Agent = 0;
  bool Idempotent = false;
  /// Time until the next step. Pauses, and the time until a restart is
  /// announced, are 10 times as long.
  int Millis = 0;

  friend std::ostream &operator<<(std::ostream &Out, const step &Step) {
    return Out << "step " << int(Step.Kind) << " e" << Step.Entry << " a"
               << Step.Agent << (Step.Idempotent ? " idempotent " : " once ")
               << Step.Millis << "ms";
  }
};

rc::Gen<step> genStep(rc::Gen<step_kind> Kind) {
  return rc::gen::build<step>(
      rc::gen::set(&step::Kind, std::move(Kind)),
      rc::gen::set(&step::Entry, rc::gen::inRange<std::size_t>(0, EntryCount)),
      rc::gen::set(&step::Agent, rc::gen::inRange<std::size_t>(0, AgentCount)),
      rc::gen::set(&step::Idempotent),
      rc::gen::set(&step::Millis, rc::gen::inRange(0, 120)));
}

rc::Gen<step_kind> genAnyKind() {
  return rc::gen::weightedOneOf<step_kind>(
      {{12, rc::gen::just(step_kind::Request)},
       {5, rc::gen::element(step_kind::DisconnectCaller, step_kind::KillEntry,
                            step_kind::KillAgent, step_kind::RestartAgent,
                            step_kind::PauseAgent, step_kind::DrainAgent,
                            step_kind::BlackholeLink, step_kind::SuspectAgent,
                            step_kind::BreakEndpoint,
                            step_kind::RepairEndpoint)}});
}

rc::Gen<std::vector<transmission>> genTransmissions() {
  return rc::gen::container<std::vector<transmission>>(
      rc::gen::weightedOneOf<transmission>(
          {{6, rc::gen::just(transmission::Deliver)},
           {3, rc::gen::element(transmission::Late, transmission::Duplicate,
                                transmission::Drop)}}));
}

void apply(routing_simulation &Simulation, const step &Step, duration Timeout) {
  const duration Length = std::chrono::milliseconds(Step.Millis * 10);
  switch (Step.Kind) {
  case step_kind::Request:
    Simulation.request(Step.Entry, Step.Idempotent, Timeout);
    break;
  case step_kind::DisconnectCaller:
    if (Simulation.callers() > 0)
      Simulation.disconnectCaller(Simulation.callers() - 1);
    break;
  case step_kind::KillEntry:
    Simulation.killEntry(Step.Entry);
    break;
  case step_kind::KillAgent:
    Simulation.killAgent(Step.Agent);
    break;
  case step_kind::RestartAgent:
    Simulation.restartAgent(Step.Agent, Length);
    break;
  case step_kind::PauseAgent:
    Simulation.pauseAgent(Step.Agent, Length);
    break;
  case step_kind::DrainAgent:
    Simulation.drainAgent(Step.Agent);
    break;
  case step_kind::BlackholeLink:
    Simulation.blackholeLink(Step.Entry, Step.Agent);
    break;
  case step_kind::SuspectAgent:
    Simulation.suspectAgent(Step.Agent);
    break;
  case step_kind::BreakEndpoint:
    Simulation.setEndpoint(Step.Agent, Step.Idempotent
                                           ? endpoint_fault::HalfBody
                                           : endpoint_fault::Down);
    break;
  case step_kind::RepairEndpoint:
    Simulation.setEndpoint(Step.Agent, endpoint_fault::None);
    break;
  }
  Simulation.run(std::chrono::milliseconds(Step.Millis));
}

/// Small enough that queues fill and attempts are evicted within a test case.
attempt_settings smallTable() {
  attempt_settings Settings;
  Settings.Slots = 2;
  Settings.QueueLimit = 2;
  Settings.Retention = ShortTimeout + 1s;
  Settings.MaxAnswerBytes = 300;
  return Settings;
}

router_settings fastRouter() {
  router_settings Settings;
  Settings.MaxTimeout = ShortTimeout;
  Settings.QueueLimit = 4;
  Settings.MinQueryDelay = 150ms;
  return Settings;
}

} // namespace

TEST_GROUP(Interleavings){};

TEST(Interleavings, EachCallerGetsExactlyOneCorrectOutcome) {
  const bool Holds = rc::check("exactly one correct outcome", [] {
    const auto Steps =
        *rc::gen::container<std::vector<step>>(genStep(genAnyKind()));
    const auto Transmissions = *genTransmissions();
    routing_simulation Simulation(EntryCount, AgentCount, fastRouter(),
                                  smallTable());
    Simulation.Service = 60ms;
    Simulation.Transmissions = Transmissions;
    for (const step &Step : Steps)
      apply(Simulation, Step, ShortTimeout);
    Simulation.run(10 * ShortTimeout);
    RC_ASSERT(Simulation.violation() == std::string());
    for (std::size_t E = 0; E < EntryCount; ++E)
      RC_ASSERT(Simulation.router(E).openRequests() == 0U);
  });
  CHECK(Holds);
}

/// If agents stop by graceful shutdown only, no request is aborted or refused
/// while another agent serves.
TEST(Interleavings, AGracefulShutdownAbortsNoRequest) {
  const bool Holds = rc::check("graceful shutdown", [] {
    const auto Steps = *rc::gen::container<std::vector<step>>(
        genStep(rc::gen::weightedElement<step_kind>(
            {{10, step_kind::Request}, {1, step_kind::DrainAgent}})));
    attempt_settings Table;
    Table.Slots = 2;
    Table.QueueLimit = 8;
    // Overload is not under test: let requests queue instead of shedding them.
    router_settings Router;
    Router.MaxQueueTime = Router.MaxTimeout;
    routing_simulation Simulation(EntryCount, AgentCount, Router, Table);
    Simulation.Service = 1200ms; // longer than DrainLinger
    for (step Step : Steps) {
      Step.Agent %= AgentCount - 1; // the last agent is never drained
      apply(Simulation, Step, 60s);
    }
    Simulation.run(90s);
    RC_ASSERT(Simulation.violation() == std::string());
    for (std::size_t I = 0; I < Simulation.callers(); ++I) {
      const request_outcome Outcome = Simulation.at(I).Outcomes.front();

      RC_ASSERT(name(Outcome.Kind) == name(outcome_kind::Answered));
      RC_ASSERT(name(Outcome.Reason) == name(not_run_reason::None));
    }
  });
  CHECK(Holds);
}
