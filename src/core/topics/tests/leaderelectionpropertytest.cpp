#include "core/topics/leaderelection.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t CandidateCount = 3;
constexpr unsigned Seeds = 300;
constexpr duration FaultyTime = 15s;
/// Calls that were lost may still be executed for this long.
constexpr duration MaxLateness = 3s;
/// Time in which a leader must be at work once no more faults occur.
constexpr duration ElectionTimeout = 5s;
constexpr duration CallTimeout = 700ms;
constexpr duration TermRepeatInterval = 500ms;
constexpr duration MemberTimeToLive = 1100ms;

/// Candidates of one group with a store, peers and calls that may be lost, late
/// or rejected, and with restarts of single candidates and of all of them.
class election_simulation {
public:
  explicit election_simulation(unsigned Seed) : Random(Seed) {
    for (std::size_t I = 0; I < CandidateCount; ++I)
      start(I);
    schedule(0ms, [this] { injectFault(); });
  }

  void runFor(duration Length) {
    const time_point End = Now + Length;
    while (!Events.empty() && Events.begin()->first <= End) {
      auto Next = Events.extract(Events.begin());
      Now = Next.key();
      Next.mapped()();
    }
    Now = End;
  }
  void endFaults() {
    Faulty = false;
    StoreDown = false;
    Silent.fill(false);
    CutOff.fill(false);
  }
  void cutOffLeader() { CutOff[*LastLeader] = true; }
  bool hasWorkingLeader() const {
    return std::any_of(Candidates.begin(), Candidates.end(),
                       [this](const auto &Each) {
                         return Each.Election->term() == Epoch &&
                                Now - Each.LastStored <= 2 * TermRepeatInterval;
                       });
  }
  /// A candidate that nothing will wake up again, if there is one.
  std::string deadEnd() const { return DeadEnd; }

private:
  struct candidate {
    std::unique_ptr<leader_election> Election;
    std::uint64_t Incarnation = 0;
    std::uint64_t TimerVersion = 0;
    bool TimerSet = false;
    bool JoinPending = false;
    time_point LastStored{};
    time_point ElectedAt{};
  };
  using fault = void (election_simulation::*)();

  int randomBelow(int Count) {
    return static_cast<int>(Random() % static_cast<unsigned>(Count));
  }
  std::size_t randomCandidate() { return Random() % CandidateCount; }

  void schedule(duration Delay, std::function<void()> Run) {
    Events.emplace(Now + Delay, std::move(Run));
  }
  /// Runs \p Run unless the candidate was restarted in between.
  void scheduleFor(std::size_t Which, duration Delay,
                   std::function<void()> Run) {
    schedule(Delay, [this, Which, Life = Candidates[Which].Incarnation,
                     Run = std::move(Run)] {
      if (Candidates[Which].Incarnation == Life)
        Run();
    });
  }

  void start(std::size_t Which) {
    candidate &Started = Candidates[Which];
    Started = {.Incarnation = ++Incarnations};
    Started.Election = std::make_unique<leader_election>(election_limits{},
                                                         Started.Incarnation);
    feed(Which, election_timer_expired{});
    repeatTerm(Which);
  }

  void feed(std::size_t Which, const election_event &Event) {
    const auto Commands = Candidates[Which].Election->handle(Event, Now);
    const std::vector<election_command> Issued(Commands.begin(),
                                               Commands.end());
    for (const election_command &Command : Issued)
      std::visit([&](const auto &Each) { execute(Which, Each); }, Command);
    const candidate &Fed = Candidates[Which];
    if (!Fed.Election->term() && !Fed.TimerSet && !Fed.JoinPending &&
        DeadEnd.empty())
      DeadEnd = "candidate " + std::to_string(Which) + " after event " +
                std::to_string(Event.index());
  }

  /// A call to the store: \p Execute runs when it arrives there, \p OnAnswer
  /// or \p OnFailure on the candidate afterwards.
  void callStore(std::size_t Which, const std::function<void()> &Execute,
                 const std::function<void()> &OnAnswer,
                 const std::function<void()> &OnFailure) {
    if (StoreDown || CutOff[Which]) {
      scheduleFor(Which, randomBelow(2) == 0 ? 4ms : CallTimeout, OnFailure);
    } else if (Faulty && randomBelow(4) == 0) {
      if (randomBelow(3) > 0)
        schedule(1ms * randomBelow(3000), Execute);
      scheduleFor(Which, CallTimeout, OnFailure);
    } else {
      Execute();
      scheduleFor(Which, Faulty ? 4ms * (1 + randomBelow(100)) : 4ms, OnAnswer);
    }
  }

  void execute(std::size_t Which, const send_join &Command) {
    Candidates[Which].JoinPending = true;
    auto Answer = std::make_shared<join_succeeded>();
    const auto Feed = [this, Which](const election_event &Event) {
      Candidates[Which].JoinPending = false;
      feed(Which, Event);
    };
    callStore(
        Which, [=, this] { *Answer = join(Which, Command.Generation); },
        [=] { Feed(*Answer); }, [=] { Feed(join_failed{}); });
  }

  join_succeeded join(std::size_t Which, std::uint64_t KnownGeneration) {
    expireMembers();
    const bool IsNew = !Members.contains(Which);
    Members[Which] = Now + MemberTimeToLive;
    if (IsNew) {
      Assignee = Which;
      ++Generation;
    }
    if (Holder == Which && Assignee != Which && KnownGeneration >= Generation)
      Holder.reset();
    if (!Holder && Assignee == Which)
      Holder = Which;
    return {.Generation = Generation,
            .Assigned = Holder == Which && Assignee == Which,
            .Agents = 1};
  }
  void expireMembers() {
    std::erase_if(Members,
                  [this](const auto &Each) { return Each.second <= Now; });
    if (Holder && !Members.contains(*Holder))
      Holder.reset();
    if (Assignee && Members.contains(*Assignee))
      return;
    Assignee.reset();
    if (!Members.empty())
      Assignee = Members.begin()->first;
    ++Generation;
  }

  void execute(std::size_t Which, const send_leave &) {
    callStore(
        Which,
        [this, Which] {
          Members.erase(Which);
          expireMembers();
        },
        [] {}, [] {});
  }

  void execute(std::size_t Which, const query_leader &) {
    using enum leader_status::leader_state;
    leader_status Status{.CandidateAgents = 1};
    duration Delay = 2ms;
    if (LastLeader && *LastLeader != Which) {
      const candidate &Leader = Candidates[*LastLeader];
      if (Silent[*LastLeader] || Silent[Which]) {
        Status.State = NoAnswer;
        Status.OthersReachable = !Silent[Which];
        Delay = 900ms;
      } else if (Leader.Election->term()) {
        Status.State = Leading;
        Status.SinceLastAppend = Now - Leader.LastStored;
        Status.SinceElected = Now - Leader.ElectedAt;
        Status.Agents = 1;
      } else {
        Status.State = NotLeading;
      }
    }
    Status.Term = LastTerm;
    scheduleFor(Which, Delay, [=, this] { feed(Which, Status); });
  }

  void execute(std::size_t Which, const send_claim &Command) {
    auto Stored = std::make_shared<bool>();
    const time_point Sent = Now;
    callStore(
        Which, [=, this] { *Stored = append(Command.Term); },
        [=, this] {
          if (*Stored) {
            Candidates[Which].LastStored = Sent;
            feed(Which, claim_stored{Command.Term, 0});
          } else {
            feed(Which, term_fenced{Command.Term});
          }
        },
        [=, this] { feed(Which, claim_failed{}); });
  }
  bool append(std::uint64_t Term) {
    if (Term < Epoch)
      return false;
    Epoch = Term;
    return true;
  }

  void execute(std::size_t Which, const leadership_acquired &Command) {
    Candidates[Which].ElectedAt = Now;
    LastLeader = Which;
    LastTerm = std::max(LastTerm, Command.Term);
  }
  static void execute(std::size_t, const leadership_lost &) {}

  void execute(std::size_t Which, const set_election_timer &Command) {
    candidate &Owner = Candidates[Which];
    Owner.TimerSet = true;
    scheduleFor(Which, std::max(duration{}, Command.At - Now),
                [this, Which, Version = ++Owner.TimerVersion] {
                  if (Candidates[Which].TimerVersion != Version)
                    return;
                  Candidates[Which].TimerSet = false;
                  feed(Which, election_timer_expired{});
                });
  }

  /// The leader's own appends.
  void repeatTerm(std::size_t Which) {
    scheduleFor(Which, TermRepeatInterval, [this, Which] {
      repeatTerm(Which);
      const auto Term = Candidates[Which].Election->term();
      if (!Term)
        return;
      auto Stored = std::make_shared<bool>();
      const time_point Sent = Now;
      callStore(
          Which, [=, this] { *Stored = append(*Term); },
          [=, this] {
            if (!*Stored)
              feed(Which, term_fenced{*Term});
            else if (Candidates[Which].Election->term() == Term)
              Candidates[Which].LastStored = Sent;
          },
          [] {});
    });
  }

  void injectFault() {
    static constexpr auto Faults = std::to_array<fault>(
        {&election_simulation::restartOne, &election_simulation::restartAll,
         &election_simulation::toggleStore, &election_simulation::toggleStore,
         &election_simulation::toggleLink, &election_simulation::toggleCut,
         &election_simulation::toggleCut, &election_simulation::resetGroup,
         &election_simulation::reassign, &election_simulation::reportLeader});
    if (!Faulty)
      return;
    (this->*Faults[Random() % Faults.size()])();
    schedule(1ms * randomBelow(1500), [this] { injectFault(); });
  }
  void restartOne() { start(randomCandidate()); }
  void restartAll() {
    for (std::size_t I = 0; I < CandidateCount; ++I)
      start(I);
  }
  void toggleStore() { StoreDown = !StoreDown; }
  void toggleLink() {
    bool &Changed = Silent[randomCandidate()];
    Changed = !Changed;
  }
  void toggleCut() {
    bool &Changed = CutOff[randomCandidate()];
    Changed = !Changed;
  }
  void resetGroup() {
    Members.clear();
    Holder.reset();
    Assignee.reset();
    Generation = 0;
  }
  void reassign() {
    Generation += Random() % 100;
    Holder.reset();
    Assignee.reset();
    expireMembers();
  }
  void reportLeader() {
    const std::size_t Which = randomCandidate();
    feed(Which, strength_compared{Random() % 5});
    feed(Which, leader_active{});
  }

  std::mt19937 Random;
  time_point Now{std::chrono::hours(1)};
  std::multimap<time_point, std::function<void()>> Events;
  std::array<candidate, CandidateCount> Candidates;
  std::uint64_t Incarnations = 1'772'000'000;
  bool Faulty = true;
  bool StoreDown = false;
  std::array<bool, CandidateCount> Silent{}; ///< cut off from its peers
  std::array<bool, CandidateCount> CutOff{}; ///< from the store
  std::string DeadEnd;
  // The store.
  std::map<std::size_t, time_point> Members; ///< and end of their membership
  std::optional<std::size_t> Assignee;
  std::optional<std::size_t> Holder;
  std::uint64_t Generation = 0;
  std::uint64_t Epoch = 0;
  // What the topics show.
  std::optional<std::size_t> LastLeader;
  std::uint64_t LastTerm = 0;
};

} // namespace

TEST_GROUP(LeaderElectionProperty){};

TEST(LeaderElectionProperty, ACandidateAlwaysWaitsForATimerOrAJoin) {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    election_simulation Simulation(Seed);
    Simulation.runFor(FaultyTime);
    STRCMP_EQUAL_TEXT("", Simulation.deadEnd().c_str(),
                      ("seed " + std::to_string(Seed)).c_str());
  }
}

// The leader still answers its peers.
TEST(LeaderElectionProperty, ALeaderThatIsCutOffFromTheStoreIsReplaced) {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    election_simulation Simulation(Seed);
    Simulation.runFor(FaultyTime);
    Simulation.endFaults();
    Simulation.runFor(MaxLateness + ElectionTimeout);
    Simulation.cutOffLeader();
    Simulation.runFor(ElectionTimeout);
    CHECK_TEXT(Simulation.hasWorkingLeader(),
               ("seed " + std::to_string(Seed)).c_str());
  }
}

TEST(LeaderElectionProperty, ALeaderIsAtWorkSoonAfterTheLastFault) {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    election_simulation Simulation(Seed);
    Simulation.runFor(FaultyTime);
    Simulation.endFaults();
    Simulation.runFor(MaxLateness + ElectionTimeout);
    CHECK_TEXT(Simulation.hasWorkingLeader(),
               ("seed " + std::to_string(Seed)).c_str());
  }
}
