#include "core/gang/tests/gangsimulation.h"

#include <algorithm>

#include <rapidcheck.h>

// Redefines new, which the headers above do not survive.
#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::testing;
using namespace std::chrono_literals;

namespace {

constexpr int Jobs = 4;

/// One thing that happens to the world.
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

/// Places, cancels and preempts as an entry would, and injects faults.
class scenario {
public:
  scenario(const network_faults &Faults, std::span<const int> Drifts)
      : World(Faults) {
    for (int Agent = 0; Agent < gang_world::Agents; ++Agent)
      World.setDrift(Agent, Drifts[static_cast<std::size_t>(Agent)]);
  }

  void run(const step &Step) {
    using action = void (scenario::*)(const step &);
    static constexpr action Actions[] = {
        &scenario::place,    &scenario::place,         &scenario::cancel,
        &scenario::restart,  &scenario::pause,         &scenario::silence,
        &scenario::replace,  &scenario::silenceWorker, &scenario::loseAnswers,
        &scenario::logOutage};
    (this->*Actions[Step.Kind])(Step);
    World.runFor(std::chrono::milliseconds(Step.WaitMs));
  }

  /// False if an attempt never ends although all faults are over.
  bool settles() {
    return World.runUntil(
        [this] {
          return std::ranges::all_of(Tokens, [this](fencing_token Token) {
            return World.gang(Token).Ended.has_value();
          });
        },
        600s);
  }

  gang_world World;

private:
  void place(const step &Step) {
    const int Job = Step.Amount % Jobs;
    const bool Idempotent = Job % 2 == 0;
    if (!mayPlace(Job, Idempotent))
      return;
    static const std::vector<int> Shapes[] = {
        {0, 1}, {1, 2}, {2, 0}, {0, 1, 2}};
    static constexpr const char *Commands[] = {"run", "fail",
                                               "checkpoint-never"};
    const auto Mask = static_cast<accelerator_mask>(1 + Step.Amount % 3);
    Latest[Job] =
        World.place("job" + std::to_string(Job), Shapes[Step.Target % 4], Mask,
                    Commands[Step.Amount % 3], Idempotent);
    Tokens.push_back(Latest[Job]);
  }
  bool mayPlace(int Job, bool Idempotent) const {
    if (Latest[Job] == fencing_token{})
      return true;
    const placed_gang &Gang = World.gang(Latest[Job]);
    const bool Over = Gang.Displaced || Gang.Ended;
    return Over && (Idempotent || !Gang.Started);
  }
  void cancel(const step &Step) {
    const fencing_token Token = Latest[Step.Amount % Jobs];
    if (Token != fencing_token{} && !World.gang(Token).Displaced)
      World.stop(Token, job_outcome::Cancelled);
  }
  void restart(const step &Step) { World.restart(agentOf(Step)); }
  void replace(const step &Step) { World.replaceWorker(agentOf(Step)); }
  void pause(const step &Step) { World.pause(agentOf(Step), length(Step)); }
  void silence(const step &Step) { World.silence(agentOf(Step), length(Step)); }
  void silenceWorker(const step &Step) {
    World.silenceWorker(agentOf(Step), length(Step));
  }
  void loseAnswers(const step &Step) {
    World.loseWorkerAnswers(agentOf(Step), 1 + Step.Amount % 3);
  }
  void logOutage(const step &Step) { World.logOutage(length(Step)); }

  static int agentOf(const step &Step) {
    return Step.Target % gang_world::Agents;
  }
  static duration length(const step &Step) {
    return std::chrono::milliseconds(200 * Step.Amount);
  }

  fencing_token Latest[Jobs]{};
  std::vector<fencing_token> Tokens;
};

rc::Gen<step> steps() {
  return rc::gen::build<step>(
      rc::gen::set(&step::Kind, rc::gen::inRange(0, 10)),
      rc::gen::set(&step::Target, rc::gen::inRange(0, 12)),
      rc::gen::set(&step::Amount, rc::gen::inRange(0, 100)),
      rc::gen::set(&step::WaitMs, rc::gen::weightedOneOf<int>(
                                      {{3, rc::gen::inRange(0, 300)},
                                       {2, rc::gen::inRange(0, 9000)}})));
}

network_faults anyFaults() {
  network_faults Faults;
  Faults.LossPercent = *rc::gen::element(0, 2, 20);
  Faults.DuplicatePercent = *rc::gen::element(0, 10, 40);
  Faults.MaxDelay = std::chrono::milliseconds(*rc::gen::element(2, 40, 400));
  Faults.Seed = *rc::gen::inRange(1U, 1000000U);
  return Faults;
}

} // namespace

TEST_GROUP(GangProperties){};

TEST(GangProperties, HoldOverInterleavingsOfFaults) {
  const bool Holds = rc::check("gangs run whole or not at all", [] {
    const auto Drifts = *rc::gen::container<std::vector<int>>(
        gang_world::Agents, rc::gen::element(-2, 0, 2));
    scenario Scenario(anyFaults(), Drifts);
    for (const step &Step : *rc::gen::container<std::vector<step>>(steps())) {
      Scenario.run(Step);
      const auto Violation = Scenario.World.violation();
      if (Violation)
        RC_FAIL(*Violation);
    }
    RC_ASSERT(Scenario.settles());
    const auto Violation = Scenario.World.violation();
    if (Violation)
      RC_FAIL(*Violation);
  });
  CHECK(Holds);
}
