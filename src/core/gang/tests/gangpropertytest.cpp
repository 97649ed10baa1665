#include "core/gang/tests/gangsimulation.h"

#include <algorithm>

#include <rapidcheck.h>

// Redefines new, so it must come after the other headers.
#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::testing;
using namespace std::chrono_literals;

namespace {

constexpr int Jobs = 4;

/// One action on the simulation, followed by a wait.
struct step {
  int Kind = 0;
  int Target = 0;
  int Amount = 0;
  int WaitMs = 0;
};

std::ostream &operator<<(std::ostream &Out, const step &Step) {
  return Out << '{' << Step.Kind << ',' << Step.Target << ',' << Step.Amount
             << ',' << Step.WaitMs << '}';
}

/// Places, cancels and preempts jobs as an entry would, and injects faults.
class scenario {
public:
  scenario(const network_faults &Faults, std::span<const int> Drifts)
      : Simulation(Faults) {
    for (int Agent = 0; Agent < gang_simulation::Agents; ++Agent)
      Simulation.setDrift(Agent, Drifts[static_cast<std::size_t>(Agent)]);
  }

  void run(const step &Step) {
    using action = void (scenario::*)(const step &);
    static constexpr action Actions[] = {
        &scenario::place,       &scenario::place,
        &scenario::cancel,      &scenario::restart,
        &scenario::pause,       &scenario::disconnect,
        &scenario::replace,     &scenario::disconnectWorker,
        &scenario::dropAnswers, &scenario::startLogOutage};
    (this->*Actions[Step.Kind])(Step);
    Simulation.runFor(std::chrono::milliseconds(Step.WaitMs));
  }

  /// False if an attempt does not end although all faults are over.
  bool allAttemptsEnd() {
    return Simulation.runUntil(
        [this] {
          return std::ranges::all_of(Tokens, [this](fencing_token Token) {
            return Simulation.gang(Token).Ended.has_value();
          });
        },
        600s);
  }

  gang_simulation Simulation;

private:
  void place(const step &Step) {
    const int Job = Step.Amount % Jobs;
    const bool Idempotent = Job % 2 == 0;
    if (!mayPlace(Job, Idempotent))
      return;
    static const std::vector<int> WorkerSets[] = {
        {0, 1}, {1, 2}, {2, 0}, {0, 1, 2}};
    static constexpr const char *Commands[] = {"run", "fail",
                                               "checkpoint-never"};
    const auto Mask = static_cast<accelerator_mask>(1 + Step.Amount % 3);
    LatestToken[Job] = Simulation.place("job" + std::to_string(Job),
                                        WorkerSets[Step.Target % 4], Mask,
                                        Commands[Step.Amount % 3], Idempotent);
    Tokens.push_back(LatestToken[Job]);
  }
  bool mayPlace(int Job, bool Idempotent) const {
    if (LatestToken[Job] == fencing_token{})
      return true;
    const placed_gang &Gang = Simulation.gang(LatestToken[Job]);
    const bool Over = Gang.Superseded || Gang.Ended;
    return Over && (Idempotent || !Gang.Started);
  }
  void cancel(const step &Step) {
    const fencing_token Token = LatestToken[Step.Amount % Jobs];
    if (Token != fencing_token{} && !Simulation.gang(Token).Superseded)
      Simulation.stop(Token, job_outcome::Cancelled);
  }
  void restart(const step &Step) { Simulation.restart(agentOf(Step)); }
  void replace(const step &Step) { Simulation.replaceWorker(agentOf(Step)); }
  void pause(const step &Step) {
    Simulation.pause(agentOf(Step), durationOf(Step));
  }
  void disconnect(const step &Step) {
    Simulation.disconnect(agentOf(Step), durationOf(Step));
  }
  void disconnectWorker(const step &Step) {
    Simulation.disconnectWorker(agentOf(Step), durationOf(Step));
  }
  void dropAnswers(const step &Step) {
    Simulation.dropWorkerAnswers(agentOf(Step), 1 + Step.Amount % 3);
  }
  void startLogOutage(const step &Step) {
    Simulation.startLogOutage(durationOf(Step));
  }

  static int agentOf(const step &Step) {
    return Step.Target % gang_simulation::Agents;
  }
  static duration durationOf(const step &Step) {
    return std::chrono::milliseconds(200 * Step.Amount);
  }

  fencing_token LatestToken[Jobs]{};
  std::vector<fencing_token> Tokens;
};

rc::Gen<step> genStep() {
  return rc::gen::build<step>(
      rc::gen::set(&step::Kind, rc::gen::inRange(0, 10)),
      rc::gen::set(&step::Target, rc::gen::inRange(0, 12)),
      rc::gen::set(&step::Amount, rc::gen::inRange(0, 100)),
      rc::gen::set(&step::WaitMs, rc::gen::weightedOneOf<int>(
                                      {{3, rc::gen::inRange(0, 300)},
                                       {2, rc::gen::inRange(0, 9000)}})));
}

network_faults genFaults() {
  network_faults Faults;
  Faults.LossPercent = *rc::gen::element(0, 2, 20);
  Faults.DuplicatePercent = *rc::gen::element(0, 10, 40);
  Faults.MaxDelay = std::chrono::milliseconds(*rc::gen::element(2, 40, 400));
  Faults.Seed = *rc::gen::inRange(1U, 1000000U);
  return Faults;
}

} // namespace

TEST_GROUP(GangProperties){};

TEST(GangProperties, InvariantsHoldUnderInterleavedFaults) {
  const bool Passed = rc::check("gangs run whole or not at all", [] {
    const auto Drifts = *rc::gen::container<std::vector<int>>(
        gang_simulation::Agents, rc::gen::element(-2, 0, 2));
    scenario Scenario(genFaults(), Drifts);
    for (const step &Step : *rc::gen::container<std::vector<step>>(genStep())) {
      Scenario.run(Step);
      const auto Violation = Scenario.Simulation.violation();
      if (Violation)
        RC_FAIL(*Violation);
    }
    RC_ASSERT(Scenario.allAttemptsEnd());
    const auto Violation = Scenario.Simulation.violation();
    if (Violation)
      RC_FAIL(*Violation);
  });
  CHECK(Passed);
}
