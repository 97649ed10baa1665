#include "core/ledger/producertable.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

bool sequenceLess(const sequence_verdict &Entry, std::uint64_t Sequence) {
  return Entry.Sequence < Sequence;
}

template <typename Window>
auto position(Window &Entries, std::uint64_t Sequence) {
  // Fast path: nearly every record has the highest sequence of its producer.
  if (Entries.empty() || Entries.back().Sequence < Sequence)
    return Entries.end();
  return std::lower_bound(Entries.begin(), Entries.end(), Sequence,
                          sequenceLess);
}

} // namespace

sequence_check producer_table::check(const producer &Key) const {
  auto Found = Producers.find(Key.Node);
  if (Found == Producers.end())
    return sequence_check::New;
  const state &State = Found->second;
  if (Key.Incarnation < State.Incarnation)
    return sequence_check::StaleIncarnation;
  if (Key.Incarnation > State.Incarnation)
    return sequence_check::New;
  if (Key.Sequence <= State.LowWatermark)
    return sequence_check::Duplicate;
  auto Entry = position(State.Window, Key.Sequence);
  bool Seen = Entry != State.Window.end() && Entry->Sequence == Key.Sequence;
  return Seen ? sequence_check::Duplicate : sequence_check::New;
}

void producer_table::add(const producer &Key, log_offset Offset,
                         const verdict &Verdict) {
  state &State = Producers[Key.Node];
  if (Key.Incarnation > State.Incarnation) {
    State.Incarnation = Key.Incarnation;
    State.LowWatermark = 0;
    State.Window.clear();
  }
  State.LastOffset = Offset;
  State.Window.insert(position(State.Window, Key.Sequence),
                      sequence_verdict{Key.Sequence, Offset, Verdict});
  if (State.Window.size() > SequenceWindow) {
    State.LowWatermark = State.Window.front().Sequence;
    State.Window.pop_front();
  }
  if (Producers.size() > MaxProducers)
    evictOldest();
}

std::optional<sequence_verdict>
producer_table::find(const producer &Key) const {
  auto Found = Producers.find(Key.Node);
  if (Found == Producers.end() || Found->second.Incarnation != Key.Incarnation)
    return std::nullopt;
  const auto &Window = Found->second.Window;
  auto Entry = position(Window, Key.Sequence);
  if (Entry == Window.end() || Entry->Sequence != Key.Sequence)
    return std::nullopt;
  return *Entry;
}

void producer_table::evictOldest() {
  auto Oldest = std::min_element(
      Producers.begin(), Producers.end(), [](const auto &A, const auto &B) {
        return A.second.LastOffset < B.second.LastOffset;
      });
  Producers.erase(Oldest);
}

std::vector<producer_entry> producer_table::image() const {
  std::vector<producer_entry> Image;
  Image.reserve(Producers.size());
  for (const auto &[Node, State] : Producers)
    Image.push_back({Node,
                     State.Incarnation,
                     State.LowWatermark,
                     State.LastOffset,
                     {State.Window.begin(), State.Window.end()}});
  std::sort(Image.begin(), Image.end(),
            [](const producer_entry &A, const producer_entry &B) {
              return A.Node < B.Node;
            });
  return Image;
}

void producer_table::restore(std::span<const producer_entry> Entries) {
  Producers.clear();
  for (const producer_entry &Entry : Entries) {
    state &State = Producers[Entry.Node];
    State.Incarnation = Entry.Incarnation;
    State.LowWatermark = Entry.LowWatermark;
    State.LastOffset = Entry.LastOffset;
    State.Window.assign(Entry.Window.begin(), Entry.Window.end());
  }
}

} // namespace geraniumpaddle
