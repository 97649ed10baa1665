#include "core/work/placementround.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace geraniumpaddle::work {

namespace {

/// Core-seconds that a stop throws away; an accelerator counts as 8 cores.
double lostWork(const live_run &Run, time_point Now) {
  constexpr double AcceleratorCores = 8;
  constexpr double MilliCoresPerCore = 1000;
  const double Cores =
      static_cast<double>(Run.Need.MilliCores) / MilliCoresPerCore +
      AcceleratorCores * Run.Need.Accelerators;
  const double Seconds =
      std::chrono::duration<double>(Now - Run.PlacedAt).count();
  // A checkpoint is at most a second or two old.
  constexpr double CheckpointAge = 1;
  return Cores * (Run.Checkpointing ? std::min(Seconds, CheckpointAge)
                                    : Seconds);
}

} // namespace

placement_round::placement_round(const worker_pool &Pool) {
  for (const auto &[Id, Worker] : Pool.all()) {
    if (!Worker.usable())
      continue;
    resources Free = Worker.free();
    resources Soon = Free;
    Soon += Worker.Freed;
    Slots.push_back({&Worker, Free, Soon});
  }
}

bool placement_round::eligible(const slot &Slot,
                               const placement_request &Request) const {
  const worker_description &Worker = Slot.Worker->Description;
  const step_spec &Step = *Request.Step;
  if (Worker.Service != Request.Service)
    return false;
  if (!Step.RequiredLabel.empty() && !Worker.hasLabel(Step.RequiredLabel))
    return false;
  return Step.MaxPerWorker == 0 ||
         Request.TasksOn(Worker.Life.Worker) + Slot.Placed < Step.MaxPerWorker;
}

placement_round::slot *placement_round::choose(const placement_request &Request,
                                               view View,
                                               std::string_view Rack) {
  const resources Need = heldBy(*Request.Step);
  slot *Best = nullptr;
  // Near the data first, then where least is left over.
  std::tuple<bool, std::int32_t, std::int64_t> BestKey;
  for (slot &Slot : Slots) {
    const worker_description &Worker = Slot.Worker->Description;
    if (!Rack.empty() && Worker.Rack != Rack)
      continue;
    if (!(Slot.*View).covers(Need) || !eligible(Slot, Request))
      continue;
    const std::string &DataRack = Request.Step->DataRack;
    const std::tuple Key(!DataRack.empty() && Worker.Rack != DataRack,
                         (Slot.*View).Accelerators, (Slot.*View).MilliCores);
    if (!Best || Key < BestKey) {
      Best = &Slot;
      BestKey = Key;
    }
  }
  return Best;
}

std::vector<assignment> placement_round::fill(const placement_request &Request,
                                              view View,
                                              std::string_view Rack) {
  const resources Need = heldBy(*Request.Step);
  std::vector<assignment> Assignments;
  for (const task_position &Task : Request.Tasks) {
    slot *Slot = choose(Request, View, Rack);
    if (!Slot)
      break;
    Slot->Now -= Need;
    Slot->Soon -= Need;
    ++Slot->Placed;
    Assignments.push_back({Task, Slot->Worker->Description.Life});
  }
  return Assignments;
}

void placement_round::undo(const placement_request &Request,
                           std::span<const assignment> Assignments) {
  const resources Need = heldBy(*Request.Step);
  for (const assignment &Each : Assignments)
    for (slot &Slot : Slots)
      if (Slot.Worker->Description.Life == Each.Worker) {
        Slot.Now += Need;
        Slot.Soon += Need;
        --Slot.Placed;
      }
}

std::vector<std::string>
placement_round::rackChoices(const placement_request &Request) const {
  if (!Request.Step->SameRack)
    return {""};
  std::set<std::string> Racks;
  for (const slot &Slot : Slots)
    if (Slot.Worker->Description.Service == Request.Service)
      Racks.insert(Slot.Worker->Description.Rack);
  std::vector<std::string> Choices(Racks.begin(), Racks.end());
  // The rack that holds the data or already has tasks of the step goes first.
  auto Rank = [&](const std::string &Rack) {
    std::uint32_t Present = 0;
    for (const slot &Slot : Slots)
      if (Slot.Worker->Description.Rack == Rack)
        Present += Request.TasksOn(Slot.Worker->Description.Life.Worker);
    return std::pair(Present > 0, Rack == Request.Step->DataRack);
  };
  std::stable_sort(
      Choices.begin(), Choices.end(),
      [&](const auto &A, const auto &B) { return Rank(A) > Rank(B); });
  return Choices;
}

bool placement_round::fitsInOneRack(const placement_request &Request) const {
  const resources Need = heldBy(*Request.Step);
  std::map<std::string, std::size_t> Room;
  for (const slot &Slot : Slots) {
    if (!eligible(Slot, Request))
      continue;
    resources Capacity = Slot.Worker->Description.Capacity;
    std::size_t &Count = Room[Slot.Worker->Description.Rack];
    while (Count < Request.Tasks.size() && Capacity.covers(Need)) {
      Capacity -= Need;
      ++Count;
    }
    if (Count >= Request.Tasks.size())
      return true;
  }
  return false;
}

std::vector<assignment>
placement_round::placeIn(const placement_request &Request, view View) {
  for (slot &Slot : Slots)
    Slot.Placed = 0;
  for (const std::string &Rack : rackChoices(Request)) {
    std::vector<assignment> Assignments = fill(Request, View, Rack);
    if (Assignments.size() == Request.Tasks.size())
      return Assignments;
    if (!Request.Step->SameRack && !Request.Step->Gang)
      return Assignments;
    undo(Request, Assignments);
  }
  // A step that no rack could ever hold is spread over several.
  if (Request.Step->SameRack && !fitsInOneRack(Request)) {
    std::vector<assignment> Assignments = fill(Request, View, "");
    if (Assignments.size() == Request.Tasks.size() || !Request.Step->Gang)
      return Assignments;
    undo(Request, Assignments);
  }
  return {};
}

std::vector<assignment>
placement_round::place(const placement_request &Request) {
  return placeIn(Request, &slot::Now);
}

bool placement_round::reserve(const placement_request &Request) {
  std::vector<assignment> Assignments = placeIn(Request, &slot::Soon);
  if (Assignments.size() == Request.Tasks.size())
    return true;
  undo(Request, Assignments);
  return false;
}

std::optional<std::vector<run_ref>>
placement_round::preempt(const placement_request &Request,
                         std::span<const live_run> Runs, time_point Now) {
  std::vector<slot> Before = Slots;
  std::vector<const live_run *> Candidates;
  for (const live_run &Run : Runs)
    if (!Run.Stopping)
      Candidates.push_back(&Run);
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const live_run *A, const live_run *B) {
              return std::tuple(B->Priority, lostWork(*A, Now)) <
                     std::tuple(A->Priority, lostWork(*B, Now));
            });
  // Adds victims, cheapest first, until the request fits; then drops those
  // that it fits without.
  std::vector<const live_run *> Victims;
  auto Change = [&](const live_run &Run, bool Free) {
    for (slot &Slot : Slots)
      if (Slot.Worker->Description.Life == Run.Worker) {
        if (Free)
          Slot.Soon += Run.Need;
        else
          Slot.Soon -= Run.Need;
      }
  };
  auto Fits = [&] {
    std::vector<assignment> Trial = placeIn(Request, &slot::Soon);
    undo(Request, Trial);
    return Trial.size() == Request.Tasks.size();
  };
  bool Enough = Fits();
  for (std::size_t I = 0; I < Candidates.size() && !Enough; ++I) {
    Change(*Candidates[I], true);
    Victims.push_back(Candidates[I]);
    Enough = Fits();
  }
  if (!Enough) {
    Slots = std::move(Before);
    return std::nullopt;
  }
  for (std::size_t I = Victims.size(); I-- > 0;) {
    Change(*Victims[I], false);
    if (Fits())
      Victims.erase(Victims.begin() + static_cast<std::ptrdiff_t>(I));
    else
      Change(*Victims[I], true);
  }
  placeIn(Request, &slot::Soon);
  std::vector<run_ref> Chosen;
  for (const live_run *Victim : Victims)
    Chosen.push_back(Victim->Run);
  return Chosen;
}

} // namespace geraniumpaddle::work
