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
  CallerGone,
  KillEntry,
  KillAgent,
  RestartAgent,
  PauseAgent,
  DrainAgent,
  SilenceLink,
  SuspectAgent,
  BreakEndpoint,
  MendEndpoint,
};

struct step {
  step_kind Kind = step_kind::Request;
  std::size_t Entry = 0;
  std::size_t Agent = 0;
  bool Idempotent = false;
  int Millis = 0; ///< until the next step, and of what the step starts

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
       {5,
        rc::gen::element(step_kind::CallerGone, step_kind::KillEntry,
                         step_kind::KillAgent, step_kind::RestartAgent,
                         step_kind::PauseAgent, step_kind::DrainAgent,
                         step_kind::SilenceLink, step_kind::SuspectAgent,
                         step_kind::BreakEndpoint, step_kind::MendEndpoint)}});
}

rc::Gen<std::vector<fate>> genFates() {
  return rc::gen::container<std::vector<fate>>(rc::gen::weightedOneOf<fate>(
      {{6, rc::gen::just(fate::Deliver)},
       {3, rc::gen::element(fate::Late, fate::Duplicate, fate::Drop)}}));
}

void apply(routing_simulation &World, const step &Step, duration Timeout) {
  const duration Length = std::chrono::milliseconds(Step.Millis * 10);
  switch (Step.Kind) {
  case step_kind::Request:
    World.request(Step.Entry, Step.Idempotent, Timeout);
    break;
  case step_kind::CallerGone:
    if (World.callers() > 0)
      World.leaveCaller(World.callers() - 1);
    break;
  case step_kind::KillEntry:
    World.killEntry(Step.Entry);
    break;
  case step_kind::KillAgent:
    World.killAgent(Step.Agent);
    break;
  case step_kind::RestartAgent:
    World.restartAgent(Step.Agent, Length);
    break;
  case step_kind::PauseAgent:
    World.pauseAgent(Step.Agent, Length);
    break;
  case step_kind::DrainAgent:
    World.drainAgent(Step.Agent);
    break;
  case step_kind::SilenceLink:
    World.silenceLink(Step.Entry, Step.Agent);
    break;
  case step_kind::SuspectAgent:
    World.suspectAgent(Step.Agent);
    break;
  case step_kind::BreakEndpoint:
    World.setEndpoint(Step.Agent, Step.Idempotent ? endpoint_fault::HalfBody
                                                  : endpoint_fault::Down);
    break;
  case step_kind::MendEndpoint:
    World.setEndpoint(Step.Agent, endpoint_fault::None);
    break;
  }
  World.run(std::chrono::milliseconds(Step.Millis));
}

/// Small enough that queues fill and attempts are forgotten within a case.
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
  Settings.MinSilence = 150ms;
  return Settings;
}

} // namespace

TEST_GROUP(Interleavings){};

TEST(Interleavings, EachCallerGetsExactlyOneCorrectOutcome) {
  const bool Holds = rc::check("one true outcome", [] {
    const auto Steps =
        *rc::gen::container<std::vector<step>>(genStep(genAnyKind()));
    const auto Fates = *genFates();
    routing_simulation World(EntryCount, AgentCount, fastRouter(),
                             smallTable());
    World.Service = 60ms;
    World.Fates = Fates;
    for (const step &Step : Steps)
      apply(World, Step, ShortTimeout);
    World.run(10 * ShortTimeout);
    RC_ASSERT(World.violation() == std::string());
    for (std::size_t E = 0; E < EntryCount; ++E)
      RC_ASSERT(World.router(E).openRequests() == 0U);
  });
  CHECK(Holds);
}

/// With nothing but graceful shutdowns, no request is cut off or refused while
/// another agent serves.
TEST(Interleavings, AGracefulShutdownAbortsNoRequest) {
  const bool Holds = rc::check("drains", [] {
    const auto Steps = *rc::gen::container<std::vector<step>>(
        genStep(rc::gen::weightedElement<step_kind>(
            {{10, step_kind::Request}, {1, step_kind::DrainAgent}})));
    attempt_settings Table;
    Table.Slots = 2;
    Table.QueueLimit = 8;
    // Overload is not what is looked at here: requests may queue.
    router_settings Router;
    Router.MaxQueueTime = Router.MaxTimeout;
    routing_simulation World(EntryCount, AgentCount, Router, Table);
    World.Service = 1200ms; // longer than an idle agent stays
    for (step Step : Steps) {
      Step.Agent %= AgentCount - 1; // the last one goes on
      apply(World, Step, 60s);
    }
    World.run(90s);
    RC_ASSERT(World.violation() == std::string());
    for (std::size_t I = 0; I < World.callers(); ++I) {
      const request_outcome Outcome = World.at(I).Outcomes.front();

      RC_ASSERT(name(Outcome.Kind) == name(outcome_kind::Answered));
      RC_ASSERT(name(Outcome.Reason) == name(not_run_reason::None));
    }
  });
  CHECK(Holds);
}
