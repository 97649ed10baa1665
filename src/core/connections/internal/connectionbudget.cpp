#include "core/connections/connectionbudget.h"

#include <algorithm>
#include <tuple>

namespace geraniumpaddle {

namespace {

/// Requests that are being handled may hold this part of all bytes; the rest is
/// for what is being received and sent.
constexpr std::size_t HandledDivisor = 2;

} // namespace

connection_id connection_budget::open(time_point Now) {
  const connection_id Id{++LastId};
  Connections.emplace(Id, connection{.ActiveAt = Now});
  ++Counts.Open;
  return Id;
}

void connection_budget::close(connection_id Id) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  Counts.BufferedBytes -= Found->second.Buffered;
  Awaiting -= Found->second.AwaitingResponse ? 1 : 0;
  --Counts.Open;
  Connections.erase(Found);
}

void connection_budget::setBuffered(connection_id Id, std::size_t Bytes) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  Counts.BufferedBytes += Bytes;
  Counts.BufferedBytes -= Found->second.Buffered;
  Found->second.Buffered = Bytes;
}

bool connection_budget::beginHandling(std::size_t Bytes) {
  const bool Alone = Counts.HandledBytes == 0;
  if (!Alone &&
      Counts.HandledBytes + Bytes > Limits.MaxHeldBytes / HandledDivisor) {
    ++Counts.RefusedRequests;
    return false;
  }
  Counts.HandledBytes += Bytes;
  return true;
}

void connection_budget::setAwaitingResponse(connection_id Id, bool IsAwaiting,
                                            time_point Now) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end() ||
      Found->second.AwaitingResponse == IsAwaiting)
    return;
  Found->second.AwaitingResponse = IsAwaiting;
  Found->second.ActiveAt = Now;
  Found->second.Completed |= !IsAwaiting;
  if (IsAwaiting)
    ++Awaiting;
  else
    --Awaiting;
}

std::optional<connection_id> connection_budget::largest() const {
  const auto Largest = std::max_element(
      Connections.begin(), Connections.end(), [](const auto &A, const auto &B) {
        return A.second.Buffered < B.second.Buffered;
      });
  if (Largest == Connections.end() || Largest->second.Buffered == 0)
    return std::nullopt;
  return Largest->first;
}

/// Never the newest connection, for which another one has to go.
std::optional<connection_id> connection_budget::mostDispensable() const {
  std::optional<connection_id> Best;
  std::tuple<bool, time_point> BestKey;
  for (const auto &[Id, Each] : Connections) {
    if (Each.AwaitingResponse || Id == connection_id{LastId})
      continue;
    const std::tuple Key(Each.Completed, Each.ActiveAt);
    if (!Best || Key < BestKey) {
      Best = Id;
      BestKey = Key;
    }
  }
  return Best;
}

std::vector<connection_id> connection_budget::takeExcess() {
  std::vector<connection_id> Excess;
  const auto Take = [&](connection_id Id, std::uint64_t &Closed) {
    ++Closed;
    Excess.push_back(Id);
    close(Id);
  };
  std::optional<connection_id> Id;
  while (holdsTooMuch() && (Id = largest()))
    Take(*Id, Counts.ClosedForBytes);
  while (!hasRoomFor(0) && (Id = mostDispensable()))
    Take(*Id, Counts.ClosedForPlace);
  return Excess;
}

bool connection_budget::acceptsConnections() const {
  return Counts.Open < Limits.MaxConnections || Awaiting < Counts.Open;
}

} // namespace geraniumpaddle
