#include "core/work/placementround.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace geraniumpaddle::work {

namespace {

/// Componentwise; what is free of both.
resources lesser(const resources &A, const resources &B) {
  return {std::min(A.Accelerators, B.Accelerators),
          std::min(A.MilliCores, B.MilliCores),
          std::min(A.MemoryMb, B.MemoryMb)};
}

} // namespace

placement_round::placement_round(const worker_pool &Pool, time_point Now)
    : Now(Now) {
  std::map<std::string_view, std::size_t> RackNumbers;
  for (const auto &[Id, Worker] : Pool.all()) {
    if (!Worker.usable(Now))
      continue;
    const std::string &Rack = Worker.Description.Rack;
    const auto [Known, IsNew] = RackNumbers.try_emplace(Rack, Racks.size());
    if (IsNew)
      Racks.push_back(Rack);
    slot Slot{.Worker = &Worker, .Now = Worker.free(), .Rack = Known->second};
    Slot.Soon = Slot.Now;
    Slot.Soon += Worker.Freed;
    Slots.push_back(Slot);
  }
}

void placement_round::prepare(const placement_request &Request) {
  const step_spec &Step = *Request.Step;
  for (slot &Slot : Slots) {
    const worker_description &Worker = Slot.Worker->Description;
    const bool Avoided =
        Request.Avoid && Request.Avoid->contains(Worker.Life.Worker);
    // A worker on probation gets one task at a time to show what it does.
    const bool Trusted =
        Slot.Worker->proven() ||
        (!Request.ProvenOnly &&
         (!Slot.Worker->OnProbation ||
          (Slot.Worker->Runs.empty() && !Slot.Probed && !Step.Gang)));
    Slot.Eligible =
        !Avoided && Trusted && Worker.Service == Request.Service &&
        (Step.RequiredLabel.empty() || Worker.hasLabel(Step.RequiredLabel));
    Slot.Placed = 0;
    for (const live_run *Sibling : Request.Siblings)
      Slot.Placed += Sibling->Worker == Worker.Life ? 1 : 0;
  }
}

/// What a task may use of a slot: the room that is kept for an earlier step
/// only if the task has ended by then.
resources placement_round::available(const slot &Slot, view View,
                                     const placement_request &Request) const {
  const bool InTime = Now + Request.Expected <= Slot.ReservedAt;
  if (!Slot.Reserved || InTime)
    return Slot.*View;
  return lesser(Slot.*View, Slot.Spare);
}

placement_round::slot *placement_round::choose(const placement_request &Request,
                                               view View, std::size_t Rack) {
  const step_spec &Step = *Request.Step;
  const resources Need = reservedResources(Step);
  slot *Best = nullptr;
  // Near the data first, then where least is left over.
  std::tuple<bool, std::int32_t, std::int64_t> BestKey;
  for (slot &Slot : Slots) {
    if (!Slot.Eligible || (Rack != AnyRack && Slot.Rack != Rack))
      continue;
    if (Step.MaxPerWorker > 0 && Slot.Placed >= Step.MaxPerWorker)
      continue;
    const resources Free = available(Slot, View, Request);
    if (!Free.covers(Need))
      continue;
    const bool Remote =
        !Step.DataRack.empty() && Racks[Slot.Rack] != Step.DataRack;
    const std::tuple Key(Remote, Free.Accelerators, Free.MilliCores);
    if (!Best || Key < BestKey) {
      Best = &Slot;
      BestKey = Key;
    }
  }
  return Best;
}

void placement_round::take(slot &Slot, const placement_request &Request) {
  const resources Need = reservedResources(*Request.Step);
  if (Slot.Worker->OnProbation) {
    Slot.Probed = true;
    Slot.Eligible = false;
  }
  Slot.Now -= Need;
  Slot.Soon -= Need;
  Slot.Later -= Need;
  if (Slot.Reserved && Now + Request.Expected > Slot.ReservedAt)
    Slot.Spare -= Need;
  ++Slot.Placed;
}

void placement_round::giveBack(const placement_request &Request,
                               std::span<const placed_task> Placed) {
  const resources Need = reservedResources(*Request.Step);
  for (const placed_task &Each : Placed) {
    if (Each.Slot->Worker->OnProbation) {
      Each.Slot->Probed = false;
      Each.Slot->Eligible = true;
    }
    Each.Slot->Now += Need;
    Each.Slot->Soon += Need;
    Each.Slot->Later += Need;
    if (Each.Slot->Reserved && Now + Request.Expected > Each.Slot->ReservedAt)
      Each.Slot->Spare += Need;
    --Each.Slot->Placed;
  }
}

std::vector<placement_round::placed_task>
placement_round::fill(const placement_request &Request, view View,
                      std::size_t Rack) {
  std::vector<placed_task> Placed;
  for (const task_position &Task : Request.Tasks) {
    slot *Slot = choose(Request, View, Rack);
    if (!Slot)
      break;
    take(*Slot, Request);
    Placed.push_back({Task, Slot});
  }
  return Placed;
}

std::vector<std::size_t>
placement_round::rackChoices(const placement_request &Request) const {
  if (!Request.Step->SameRack)
    return {AnyRack};
  struct rack_rank {
    std::uint32_t Present = 0;
    bool HasData = false;
    bool Eligible = false;
  };
  std::vector<rack_rank> Ranks(Racks.size());
  for (const slot &Slot : Slots) {
    rack_rank &Rank = Ranks[Slot.Rack];
    Rank.Present += Slot.Placed;
    Rank.Eligible |= Slot.Eligible;
    Rank.HasData = Racks[Slot.Rack] == Request.Step->DataRack;
  }
  std::vector<std::size_t> Choices;
  for (std::size_t I = 0; I < Racks.size(); ++I)
    if (Ranks[I].Eligible)
      Choices.push_back(I);
  // The rack that already has tasks of the step, or its data, goes first.
  auto Key = [&](std::size_t I) {
    return std::pair(Ranks[I].Present, Ranks[I].HasData);
  };
  std::stable_sort(Choices.begin(), Choices.end(),
                   [&](auto A, auto B) { return Key(A) > Key(B); });
  return Choices;
}

bool placement_round::fitsInOneRack(const placement_request &Request) const {
  const resources Need = reservedResources(*Request.Step);
  std::vector<std::size_t> Room(Racks.size());
  for (const slot &Slot : Slots) {
    if (!Slot.Eligible)
      continue;
    resources Capacity = Slot.Worker->Description.Capacity;
    std::size_t &Count = Room[Slot.Rack];
    while (Count < Request.Tasks.size() && Capacity.covers(Need)) {
      Capacity -= Need;
      ++Count;
    }
    if (Count >= Request.Tasks.size())
      return true;
  }
  return false;
}

std::vector<placement_round::placed_task>
placement_round::placeIn(const placement_request &Request, view View) {
  const step_spec &Step = *Request.Step;
  for (const std::size_t Rack : rackChoices(Request)) {
    std::vector<placed_task> Placed = fill(Request, View, Rack);
    if (Placed.size() == Request.Tasks.size() || (!Step.SameRack && !Step.Gang))
      return Placed;
    giveBack(Request, Placed);
  }
  // A step that no rack could ever hold is spread over several.
  if (Step.SameRack && !fitsInOneRack(Request)) {
    std::vector<placed_task> Placed = fill(Request, View, AnyRack);
    if (Placed.size() == Request.Tasks.size() || !Step.Gang)
      return Placed;
    giveBack(Request, Placed);
  }
  return {};
}

std::vector<assignment>
placement_round::place(const placement_request &Request) {
  prepare(Request);
  std::vector<assignment> Assignments;
  for (const placed_task &Each : placeIn(Request, &slot::Now))
    Assignments.push_back({Each.Task, Each.Slot->Worker->Description.Life});
  return Assignments;
}

bool placement_round::fitsIn(const placement_request &Request, view View) {
  const std::vector<placed_task> Placed = placeIn(Request, View);
  giveBack(Request, Placed);
  return Placed.size() == Request.Tasks.size();
}

bool placement_round::reserveFreed(const placement_request &Request) {
  prepare(Request);
  const std::vector<placed_task> Placed = placeIn(Request, &slot::Soon);
  if (Placed.size() == Request.Tasks.size())
    return true;
  giveBack(Request, Placed);
  return false;
}

bool placement_round::everFits(const placement_request &Request) {
  prepare(Request);
  for (slot &Slot : Slots)
    Slot.Later = Slot.Worker->Description.Capacity;
  return fitsIn(Request, &slot::Later);
}

std::optional<time_point>
placement_round::earliestRoom(const placement_request &Request) {
  prepare(Request);
  std::vector<std::tuple<time_point, slot *, const live_run *>> Ends;
  for (slot &Slot : Slots) {
    if (!Slot.Eligible)
      continue;
    for (const live_run *Run : Slot.Worker->Runs)
      if (!Run->Stopping && !Run->LongRunning)
        Ends.emplace_back(expectedEnd(*Run, Now), &Slot, Run);
  }
  std::sort(Ends.begin(), Ends.end(), [](const auto &A, const auto &B) {
    return std::get<time_point>(A) < std::get<time_point>(B);
  });
  // Room only grows with time, so the first moment is found by halving.
  auto FitsAfter = [&](std::size_t Count) {
    for (slot &Slot : Slots)
      Slot.Later = Slot.Soon;
    for (std::size_t I = 0; I < Count; ++I)
      std::get<slot *>(Ends[I])->Later +=
          std::get<const live_run *>(Ends[I])->Need;
    return fitsIn(Request, &slot::Later);
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
  for (slot &Slot : Slots) {
    Slot.Later = Slot.Soon;
    for (const live_run *Run : Slot.Worker->Runs)
      if (!Run->Stopping && expectedEnd(*Run, Now) <= At)
        Slot.Later += Run->Need;
  }
  const std::vector<placed_task> Placed = placeIn(Request, &slot::Later);
  // The room is needed at that time only.
  const resources Need = reservedResources(*Request.Step);
  for (const placed_task &Each : Placed) {
    Each.Slot->Now += Need;
    Each.Slot->Soon += Need;
    Each.Slot->ReservedAt =
        Each.Slot->Reserved ? std::min(Each.Slot->ReservedAt, At) : At;
    Each.Slot->Reserved = true;
    Each.Slot->Spare = Each.Slot->Later;
  }
}

std::optional<preemption>
placement_round::victimsOn(const slot &Slot, const resources &Need,
                           std::uint32_t Priority,
                           std::span<const run_ref> Chosen) const {
  std::vector<std::pair<double, const live_run *>> Candidates;
  for (const live_run *Run : Slot.Worker->Runs) {
    const bool Taken =
        std::find(Chosen.begin(), Chosen.end(), Run->Run) != Chosen.end();
    if (Run->Stopping || Taken || Run->Priority <= Priority)
      continue;
    Candidates.emplace_back(unsavedWork(*Run, Now) * Run->GangSize, Run);
  }
  std::sort(Candidates.begin(), Candidates.end());
  resources Room = Slot.Later;
  preemption Plan;
  std::vector<const live_run *> Victims;
  for (const auto &[Cost, Run] : Candidates) {
    if (Room.covers(Need))
      break;
    Room += Run->Need;
    Victims.push_back(Run);
  }
  if (!Room.covers(Need))
    return std::nullopt;
  // Drops those that turned out not to be needed, the dearest first.
  for (std::size_t I = Victims.size(); I-- > 0;) {
    resources Without = Room;
    Without -= Victims[I]->Need;
    if (Without.covers(Need)) {
      Room = Without;
      continue;
    }
    Plan.Victims.push_back(Victims[I]->Run);
    Plan.LostCoreSeconds +=
        unsavedWork(*Victims[I], Now) * Victims[I]->GangSize;
  }
  return Plan;
}

std::optional<preemption>
placement_round::planIn(const placement_request &Request, std::size_t Rack) {
  const resources Need = reservedResources(*Request.Step);
  const std::uint32_t MaxPerWorker = Request.Step->MaxPerWorker;
  for (slot &Slot : Slots)
    Slot.Later = Slot.Soon;
  std::vector<std::uint32_t> Placed(Slots.size());
  preemption Plan;
  for (std::size_t Count = 0; Count < Request.Tasks.size(); ++Count) {
    std::optional<preemption> Best;
    std::size_t BestSlot = 0;
    for (std::size_t I = 0; I < Slots.size(); ++I) {
      const slot &Slot = Slots[I];
      const bool Full =
          MaxPerWorker > 0 && Slot.Placed + Placed[I] >= MaxPerWorker;
      if (!Slot.Eligible || Full || (Rack != AnyRack && Slot.Rack != Rack))
        continue;
      auto Here = victimsOn(Slot, Need, Request.Priority, Plan.Victims);
      if (Here && (!Best || Here->LostCoreSeconds < Best->LostCoreSeconds)) {
        Best = std::move(Here);
        BestSlot = I;
      }
    }
    if (!Best)
      return std::nullopt;
    slot &Slot = Slots[BestSlot];
    for (const live_run *Run : Slot.Worker->Runs)
      if (std::find(Best->Victims.begin(), Best->Victims.end(), Run->Run) !=
          Best->Victims.end())
        Slot.Later += Run->Need;
    Slot.Later -= Need;
    ++Placed[BestSlot];
    Plan.LostCoreSeconds += Best->LostCoreSeconds;
    Plan.Victims.insert(Plan.Victims.end(), Best->Victims.begin(),
                        Best->Victims.end());
  }
  return Plan;
}

std::optional<preemption>
placement_round::planPreemption(const placement_request &Request) {
  prepare(Request);
  std::optional<preemption> Best;
  for (const std::size_t Rack : rackChoices(Request)) {
    auto Plan = planIn(Request, Rack);
    if (Plan && (!Best || Plan->LostCoreSeconds < Best->LostCoreSeconds))
      Best = std::move(Plan);
  }
  if (!Best && Request.Step->SameRack && !fitsInOneRack(Request))
    Best = planIn(Request, AnyRack);
  return Best;
}

void placement_round::reservePreempted(const placement_request &Request,
                                       const preemption &Plan) {
  for (slot &Slot : Slots)
    for (const live_run *Run : Slot.Worker->Runs)
      if (std::find(Plan.Victims.begin(), Plan.Victims.end(), Run->Run) !=
          Plan.Victims.end())
        Slot.Soon += Run->Need;
  reserveFreed(Request);
}

} // namespace geraniumpaddle::work
