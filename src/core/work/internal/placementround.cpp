#include "core/work/placementround.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>

namespace geraniumpaddle::work {

namespace {

resources componentwiseMin(const resources &A, const resources &B) {
  return {std::min(A.Accelerators, B.Accelerators),
          std::min(A.MilliCores, B.MilliCores),
          std::min(A.MemoryMb, B.MemoryMb)};
}

} // namespace

placement_round::placement_round(const worker_pool &Pool,
                                 const speed_ranks &Speeds, time_point Now)
    : Now(Now) {
  std::map<std::string_view, std::size_t> RackNumbers;
  for (const auto &[Id, Worker] : Pool.all()) {
    if (!Worker.available())
      continue;
    const std::string &Rack = Worker.Description.Rack;
    const auto [Known, IsNew] = RackNumbers.try_emplace(Rack, Racks.size());
    if (IsNew)
      Racks.push_back(Rack);
    host_capacity Target{
        .Worker = &Worker, .Free = Worker.free(), .Rack = Known->second};
    if (const auto Speed = Speeds.find(Id); Speed != Speeds.end())
      Target.Speed = Speed->second;
    Target.FreeAfterStops = Target.Free;
    Target.FreeAfterStops += Worker.Freeing;
    Hosts.push_back(Target);
  }
  std::stable_sort(Hosts.begin(), Hosts.end(),
                   [](const host_capacity &A, const host_capacity &B) {
                     return A.Rack < B.Rack;
                   });
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    if (Hosts[I].Rack == RackBegins.size())
      RackBegins.push_back(I);
    HostOf.emplace(Hosts[I].Worker->Description.Instance.Worker, I);
  }
  RackBegins.push_back(Hosts.size());
}

std::span<placement_round::host_capacity>
placement_round::hostsOf(std::size_t Rack) {
  std::span<host_capacity> Selected(Hosts);
  if (Rack != AnyRack)
    Selected = Selected.subspan(RackBegins[Rack],
                                RackBegins[Rack + 1] - RackBegins[Rack]);
  Examined += Selected.size();
  return Selected;
}

void placement_round::prepare(const placement_request &Request) {
  const step_spec &Step = *Request.Step;
  for (host_capacity &Target : hostsOf(AnyRack)) {
    const worker_description &Worker = Target.Worker->Description;
    const bool Avoided =
        Request.Avoid && Request.Avoid->contains(Worker.Instance.Worker);
    // A worker on probation gets one task at a time until a run succeeds.
    const bool Trusted =
        Target.Worker->reliable() ||
        (!Request.ReliableOnly &&
         (!Target.Worker->OnProbation ||
          (Target.Worker->Runs.empty() && !Target.Probed && !Step.Gang)));
    const bool Suitable =
        Worker.Service == Request.Service &&
        (Step.RequiredLabel.empty() || Worker.hasLabel(Step.RequiredLabel));
    Target.Doubtful = Avoided || !Trusted || !Target.Worker->usable(Now);
    const bool InScope =
        !Target.Doubtful ||
        (Request.Scope == placement_scope::All && !Target.Probed);
    Target.Eligible = Suitable && InScope;
    Target.Placed = 0;
  }
  countSiblings(Request);
}

void placement_round::countSiblings(const placement_request &Request) {
  for (const live_run *Sibling : Request.Siblings) {
    const auto Found = HostOf.find(Sibling->Worker.Worker);
    if (Found == HostOf.end())
      continue;
    host_capacity &Target = Hosts[Found->second];
    Target.Placed +=
        Target.Worker->Description.Instance == Sibling->Worker ? 1 : 0;
  }
}

/// Capacity of a worker that a task may use. Capacity that is reserved for an
/// earlier step counts only if the task ends before the reservation starts.
resources placement_round::available(const host_capacity &Target,
                                     capacity_view View,
                                     const placement_request &Request) const {
  const bool EndsBefore = Now + Request.ExpectedDuration <= Target.ReservedAt;
  const bool Ignored =
      Request.Scope != placement_scope::Preferred && !Request.KeepsReservations;
  if (!Target.Reserved || EndsBefore || Ignored)
    return Target.*View;
  return componentwiseMin(Target.*View, Target.Spare);
}

/// Lower values are preferred. Urgent steps get the fastest workers. Others get
/// the slowest, one after the other, so that the members of a gang run on
/// workers of like speed. Very slow workers come last.
std::pair<bool, int>
placement_round::speedPreference(const host_capacity &Target,
                                 const placement_request &Request) {
  const bool Urgent = Request.Priority == 0;
  return {Target.Speed.TooSlow,
          Urgent ? -Target.Speed.Step : Target.Speed.Step};
}

placement_round::host_capacity *
placement_round::bestFit(const placement_request &Request, capacity_view View,
                         std::size_t Rack) {
  const step_spec &Step = *Request.Step;
  const resources Need = reservedResources(Step);
  host_capacity *Best = nullptr;
  // Prefers workers without doubts, then the rack of the data, then the worker
  // that suits by its speed, then the one with the least free capacity.
  std::tuple<bool, bool, std::pair<bool, int>, std::int32_t, std::int64_t>
      BestKey;
  for (host_capacity &Target : hostsOf(Rack)) {
    if (!Target.Eligible)
      continue;
    if (Step.MaxPerWorker > 0 && Target.Placed >= Step.MaxPerWorker)
      continue;
    const resources Free = available(Target, View, Request);
    if (!Free.covers(Need))
      continue;
    const bool Remote =
        !Step.DataRack.empty() && Racks[Target.Rack] != Step.DataRack;
    const std::tuple Key(Target.Doubtful, Remote,
                         speedPreference(Target, Request), Free.Accelerators,
                         Free.MilliCores);
    if (!Best || Key < BestKey) {
      Best = &Target;
      BestKey = Key;
    }
  }
  return Best;
}

void placement_round::allocate(host_capacity &Target,
                               const placement_request &Request) {
  const resources Need = reservedResources(*Request.Step);
  if (Target.Worker->OnProbation && !Request.Step->Gang) {
    Target.Probed = true;
    Target.Eligible = false;
  }
  Target.Free -= Need;
  Target.FreeAfterStops -= Need;
  Target.Projected -= Need;
  if (Target.Reserved && Now + Request.ExpectedDuration > Target.ReservedAt)
    Target.Spare -= Need;
  ++Target.Placed;
}

void placement_round::deallocate(const placement_request &Request,
                                 std::span<const placed_task> Placed) {
  const resources Need = reservedResources(*Request.Step);
  for (const placed_task &Each : Placed) {
    if (Each.Target->Worker->OnProbation && !Request.Step->Gang) {
      Each.Target->Probed = false;
      Each.Target->Eligible = true;
    }
    Each.Target->Free += Need;
    Each.Target->FreeAfterStops += Need;
    Each.Target->Projected += Need;
    if (Each.Target->Reserved &&
        Now + Request.ExpectedDuration > Each.Target->ReservedAt)
      Each.Target->Spare += Need;
    --Each.Target->Placed;
  }
}

std::vector<placement_round::placed_task>
placement_round::fill(const placement_request &Request, capacity_view View,
                      std::size_t Rack) {
  std::vector<placed_task> Placed;
  for (const task_position &Task : Request.Tasks) {
    host_capacity *Target = bestFit(Request, View, Rack);
    if (!Target)
      break;
    allocate(*Target, Request);
    Placed.push_back({Task, Target});
  }
  return Placed;
}

std::vector<std::size_t>
placement_round::rackOrder(const placement_request &Request) const {
  if (!Request.Step->SameRack)
    return {AnyRack};
  struct rack_score {
    std::uint32_t PlacedTasks = 0;
    bool HasData = false;
    bool Eligible = false;
  };
  std::vector<rack_score> Scores(Racks.size());
  for (const host_capacity &Target : Hosts) {
    rack_score &Score = Scores[Target.Rack];
    Score.PlacedTasks += Target.Placed;
    Score.Eligible |= Target.Eligible;
    Score.HasData = Racks[Target.Rack] == Request.Step->DataRack;
  }
  std::vector<std::size_t> Order;
  for (std::size_t I = 0; I < Racks.size(); ++I)
    if (Scores[I].Eligible)
      Order.push_back(I);
  // The rack that already has tasks of the step, or its data, goes first.
  auto Key = [&](std::size_t I) {
    return std::pair(Scores[I].PlacedTasks, Scores[I].HasData);
  };
  std::stable_sort(Order.begin(), Order.end(),
                   [&](auto A, auto B) { return Key(A) > Key(B); });
  return Order;
}

/// Number of tasks that \p Target could have at once if all its runs that end
/// by themselves had ended; no more than are asked for.
std::size_t
placement_round::mostTasksOn(const host_capacity &Target,
                             const placement_request &Request) const {
  const step_spec &Step = *Request.Step;
  const resources Need = reservedResources(Step);
  resources Capacity = Target.Worker->Description.Capacity;
  for (const live_run *Run : Target.Worker->Runs)
    if (Run->LongRunning)
      Capacity -= Run->Need;
  std::size_t Most = Request.Tasks.size();
  if (Target.Worker->OnProbation)
    Most = std::min<std::size_t>(Most, 1);
  if (Step.MaxPerWorker > 0) {
    const std::uint32_t Lasting = Step.LongRunning ? Target.Placed : 0;
    const std::uint32_t Left =
        Step.MaxPerWorker - std::min(Lasting, Step.MaxPerWorker);
    Most = std::min<std::size_t>(Most, Left);
  }
  std::size_t Count = 0;
  while (Count < Most && Capacity.covers(Need)) {
    Capacity -= Need;
    ++Count;
  }
  return Count;
}

bool placement_round::fitsInOneRack(const placement_request &Request) {
  std::vector<std::size_t> Fitting(Racks.size());
  for (const host_capacity &Target : hostsOf(AnyRack)) {
    if (!Target.Eligible)
      continue;
    Fitting[Target.Rack] += mostTasksOn(Target, Request);
    if (Fitting[Target.Rack] >= Request.Tasks.size())
      return true;
  }
  return false;
}

std::vector<placement_round::placed_task>
placement_round::tryPlace(const placement_request &Request,
                          capacity_view View) {
  const step_spec &Step = *Request.Step;
  for (const std::size_t Rack : rackOrder(Request)) {
    std::vector<placed_task> Placed = fill(Request, View, Rack);
    if (Placed.size() == Request.Tasks.size() || (!Step.SameRack && !Step.Gang))
      return Placed;
    deallocate(Request, Placed);
  }
  // A step that does not fit in any rack, even an empty one, is spread over
  // several, and so is one that must not wait for a rack.
  const bool MaySpread = Request.Scope != placement_scope::Preferred;
  if (Step.SameRack && (MaySpread || !fitsInOneRack(Request))) {
    std::vector<placed_task> Placed = fill(Request, View, AnyRack);
    if (Placed.size() == Request.Tasks.size() || !Step.Gang)
      return Placed;
    deallocate(Request, Placed);
  }
  return {};
}

std::vector<assignment>
placement_round::place(const placement_request &Request) {
  prepare(Request);
  std::vector<assignment> Assignments;
  for (const placed_task &Each : tryPlace(Request, &host_capacity::Free))
    Assignments.push_back(
        {Each.Task, Each.Target->Worker->Description.Instance});
  return Assignments;
}

bool placement_round::fitsIn(const placement_request &Request,
                             capacity_view View) {
  const std::vector<placed_task> Placed = tryPlace(Request, View);
  deallocate(Request, Placed);
  return Placed.size() == Request.Tasks.size();
}

bool placement_round::reserveFreed(const placement_request &Request) {
  prepare(Request);
  const std::vector<placed_task> Placed =
      tryPlace(Request, &host_capacity::FreeAfterStops);
  if (Placed.size() == Request.Tasks.size())
    return true;
  deallocate(Request, Placed);
  return false;
}

bool placement_round::fitsEmptyWorkers(const placement_request &Request) {
  prepare(Request);
  for (host_capacity &Target : hostsOf(AnyRack))
    Target.Projected = Target.Worker->Description.Capacity;
  return fitsIn(Request, &host_capacity::Projected);
}

std::optional<time_point>
placement_round::earliestFit(const placement_request &Request) {
  prepare(Request);
  std::vector<std::tuple<time_point, host_capacity *, const live_run *>> Ends;
  for (host_capacity &Target : Hosts) {
    if (!Target.Eligible)
      continue;
    for (const live_run *Run : Target.Worker->Runs)
      if (!Run->Stopping && !Run->LongRunning)
        Ends.emplace_back(expectedEnd(*Run, Now), &Target, Run);
  }
  Examined += Ends.size();
  std::sort(Ends.begin(), Ends.end(), [](const auto &A, const auto &B) {
    return std::get<time_point>(A) < std::get<time_point>(B);
  });
  // Free capacity only grows with time, so a binary search finds the first end
  // after which all tasks fit.
  auto FitsAfter = [&](std::size_t Count) {
    for (host_capacity &Target : hostsOf(AnyRack))
      Target.Projected = Target.FreeAfterStops;
    for (std::size_t I = 0; I < Count; ++I)
      std::get<host_capacity *>(Ends[I])->Projected +=
          std::get<const live_run *>(Ends[I])->Need;
    return fitsIn(Request, &host_capacity::Projected);
  };
  if (!FitsAfter(Ends.size()))
    return std::nullopt;
  std::size_t Low = 0;
  std::size_t High = Ends.size();
  while (Low < High) {
    const std::size_t Middle = (Low + High) / 2;
    if (FitsAfter(Middle))
      High = Middle;
    else
      Low = Middle + 1;
  }
  return Low == 0 ? Now : std::get<time_point>(Ends[Low - 1]);
}

void placement_round::reserveAt(const placement_request &Request,
                                time_point At) {
  prepare(Request);
  for (host_capacity &Target : Hosts) {
    Target.Projected = Target.FreeAfterStops;
    for (const live_run *Run : Target.Worker->Runs)
      if (!Run->Stopping && expectedEnd(*Run, Now) <= At)
        Target.Projected += Run->Need;
  }
  const std::vector<placed_task> Placed =
      tryPlace(Request, &host_capacity::Projected);
  // Until At the capacity stays available; the reservation only starts then.
  const resources Need = reservedResources(*Request.Step);
  for (const placed_task &Each : Placed) {
    Each.Target->Free += Need;
    Each.Target->FreeAfterStops += Need;
    Each.Target->ReservedAt =
        Each.Target->Reserved ? std::min(Each.Target->ReservedAt, At) : At;
    Each.Target->Reserved = true;
    Each.Target->Spare = Each.Target->Projected;
  }
}

std::optional<preemption>
placement_round::victimsOn(const host_capacity &Target, const resources &Need,
                           std::uint32_t Priority,
                           std::span<const run_ref> Chosen) {
  Examined += Target.Worker->Runs.size();
  std::vector<std::pair<double, const live_run *>> Candidates;
  for (const live_run *Run : Target.Worker->Runs) {
    const bool AlreadyChosen =
        std::find(Chosen.begin(), Chosen.end(), Run->Run) != Chosen.end();
    if (Run->Stopping || AlreadyChosen || Run->Priority <= Priority)
      continue;
    Candidates.emplace_back(unsavedCoreSeconds(*Run, Now) * Run->GangSize, Run);
  }
  std::sort(Candidates.begin(), Candidates.end());
  resources Available = Target.Projected;
  preemption Plan;
  std::vector<const live_run *> Victims;
  for (const auto &[Cost, Run] : Candidates) {
    if (Available.covers(Need))
      break;
    Available += Run->Need;
    Victims.push_back(Run);
  }
  if (!Available.covers(Need))
    return std::nullopt;
  // Drops victims that turned out not to be needed, the most expensive first.
  for (std::size_t I = Victims.size(); I-- > 0;) {
    resources Without = Available;
    Without -= Victims[I]->Need;
    if (Without.covers(Need)) {
      Available = Without;
      continue;
    }
    Plan.Victims.push_back(Victims[I]->Run);
    Plan.LostCoreSeconds +=
        unsavedCoreSeconds(*Victims[I], Now) * Victims[I]->GangSize;
  }
  return Plan;
}

/// Victims on \p Target for one more task, if it may take one.
/// \param Planned tasks that the plan has put there.
std::optional<preemption> placement_round::victimsFor(
    const host_capacity &Target, const placement_request &Request,
    std::uint32_t Planned, std::span<const run_ref> Chosen) {
  const step_spec &Step = *Request.Step;
  const bool Full =
      Step.MaxPerWorker > 0 && Target.Placed + Planned >= Step.MaxPerWorker;
  if (!Target.Eligible || Full)
    return std::nullopt;
  return victimsOn(Target, reservedResources(Step), Request.Priority, Chosen);
}

std::optional<preemption>
placement_round::planPreemptionIn(const placement_request &Request,
                                  std::size_t Rack) {
  const resources Need = reservedResources(*Request.Step);
  const std::span<host_capacity> Targets = hostsOf(Rack);
  std::vector<std::uint32_t> Planned(Targets.size());
  std::vector<std::optional<preemption>> Plans;
  for (host_capacity &Target : Targets) {
    Target.Projected = Target.FreeAfterStops;
    Plans.push_back(victimsFor(Target, Request, 0, {}));
  }
  preemption Plan;
  for (std::size_t Count = 0; Count < Request.Tasks.size(); ++Count) {
    std::optional<std::size_t> Best;
    for (std::size_t I = 0; I < Plans.size(); ++I)
      if (Plans[I] &&
          (!Best || Plans[I]->LostCoreSeconds < Plans[*Best]->LostCoreSeconds))
        Best = I;
    if (!Best)
      return std::nullopt;
    host_capacity &Target = Targets[*Best];
    const preemption Chosen = std::move(*Plans[*Best]);
    for (const live_run *Run : Target.Worker->Runs)
      if (std::find(Chosen.Victims.begin(), Chosen.Victims.end(), Run->Run) !=
          Chosen.Victims.end())
        Target.Projected += Run->Need;
    Target.Projected -= Need;
    Plan.LostCoreSeconds += Chosen.LostCoreSeconds;
    Plan.Victims.insert(Plan.Victims.end(), Chosen.Victims.begin(),
                        Chosen.Victims.end());
    Plans[*Best] = victimsFor(Target, Request, ++Planned[*Best], Plan.Victims);
  }
  return Plan;
}

std::optional<preemption>
placement_round::planPreemption(const placement_request &Request) {
  prepare(Request);
  std::optional<preemption> Best;
  for (const std::size_t Rack : rackOrder(Request)) {
    auto Plan = planPreemptionIn(Request, Rack);
    if (Plan && (!Best || Plan->LostCoreSeconds < Best->LostCoreSeconds))
      Best = std::move(Plan);
  }
  if (!Best && Request.Step->SameRack && !fitsInOneRack(Request))
    Best = planPreemptionIn(Request, AnyRack);
  return Best;
}

void placement_round::reservePreempted(const placement_request &Request,
                                       const preemption &Plan) {
  for (host_capacity &Target : Hosts)
    for (const live_run *Run : Target.Worker->Runs)
      if (std::find(Plan.Victims.begin(), Plan.Victims.end(), Run->Run) !=
          Plan.Victims.end())
        Target.FreeAfterStops += Run->Need;
  reserveFreed(Request);
}

bool placement_round::fitsPartly(const placement_request &Request) {
  prepare(Request);
  const std::vector<placed_task> Placed =
      tryPlace(Request, &host_capacity::Free);
  deallocate(Request, Placed);
  return !Placed.empty();
}

placement_obstacle placement_round::obstacle(placement_request Request) {
  const auto Serves = [&](const host_capacity &Target) {
    return Target.Worker->Description.Service == Request.Service;
  };
  if (std::none_of(Hosts.begin(), Hosts.end(), Serves))
    return placement_obstacle::NoWorker;
  const std::string &Label = Request.Step->RequiredLabel;
  const auto HasLabel = [&](const host_capacity &Target) {
    return Serves(Target) && Target.Worker->Description.hasLabel(Label);
  };
  if (!Label.empty() && std::none_of(Hosts.begin(), Hosts.end(), HasLabel))
    return placement_obstacle::Label;
  Request.Scope = placement_scope::All;
  if (!fitsPartly(Request))
    return placement_obstacle::Room;
  Request.Scope = placement_scope::Trusted;
  if (!fitsPartly(Request))
    return placement_obstacle::SetAside;
  return Request.Step->SameRack ? placement_obstacle::Rack
                                : placement_obstacle::Reserved;
}

bool placement_round::halfIdle(const service_id &Service) {
  const auto [Known, IsNew] = HalfIdle.try_emplace(Service, false);
  if (!IsNew)
    return Known->second;
  resources Free;
  resources Total;
  for (const host_capacity &Target : hostsOf(AnyRack)) {
    if (Target.Worker->Description.Service != Service)
      continue;
    Free += Target.Free;
    Total += Target.Worker->Description.Capacity;
  }
  Known->second = 2 * Free.MilliCores > Total.MilliCores ||
                  2 * coreEquivalents(Free) > coreEquivalents(Total);
  return Known->second;
}

std::string_view name(placement_scope Scope) {
  static constexpr std::array<std::string_view, 3> Names{"", "trusted", "all"};
  return Names.at(static_cast<std::size_t>(Scope));
}

std::string_view name(placement_obstacle Obstacle) {
  static constexpr std::array<std::string_view, 6> Names{
      "no_worker", "label", "no_room", "set_aside", "rack_busy", "reserved"};
  return Names.at(static_cast<std::size_t>(Obstacle));
}

} // namespace geraniumpaddle::work
