#include "core/ledger/ledger.h"
#include "core/base/error.h"
#include "core/base/membertable.h"
#include "core/ledger/internal/recorddescriber.h"

#include <algorithm>
#include <string>

namespace geraniumpaddle {

ledger::ledger(const ledger_image &Image)
    : LastApplied(Image.LastApplied), Version(Image.Version),
      VersionOffset(Image.VersionOffset), LastSheet(Image.LastSheet),
      Counts(Image.Counts), Customers(Image.Customers),
      RemovedByCommand(Image.RemovedByCommand), Entries(Image.Entries),
      Workers(Image.Workers),
      Account(capacity_account::fromImage(Image.Capacity)) {
  Jobs.restore(Image.Jobs);
  Producers.restore(Image.Producers);
  Audit.restore(Image.Audit);
}

ledger_image ledger::image() const {
  ledger_image Image;
  Image.LastApplied = LastApplied;
  Image.Version = Version;
  Image.VersionOffset = VersionOffset;
  Image.LastSheet = LastSheet;
  Image.Counts = Counts;
  Image.Customers = Customers;
  Image.RemovedByCommand = RemovedByCommand;
  Image.Entries = Entries;
  Image.Workers = Workers;
  Image.Jobs = Jobs.image();
  Image.Producers = Producers.image();
  Image.Audit.assign(Audit.events().begin(), Audit.events().end());
  Image.Capacity = Account.image();
  return Image;
}

void ledger::advance(log_offset Offset) {
  if (Offset != next(LastApplied))
    throw internal_error("ledger: offset " + std::to_string(raw(Offset)) +
                         " does not follow " +
                         std::to_string(raw(LastApplied)));
  LastApplied = Offset;
}

verdict ledger::apply(log_offset Offset, const record &Record) {
  advance(Offset);
  const context Context{Offset, Record};
  const verdict Verdict = applyIfNew(Context);
  countVerdict(Verdict);
  addAuditEvent(Context, Verdict);
  return Verdict;
}

void ledger::skip(log_offset Offset, std::string_view Detail) {
  advance(Offset);
  ++Counts.Malformed;
  Counts.LastMalformed = Offset;
  audit_event Event;
  Event.Offset = Offset;
  Event.Verdict.Reason = rejection::InvalidRecord;
  Event.Detail = Detail.substr(0, audit_trail::MaxDetailBytes);
  Audit.add(std::move(Event));
}

verdict ledger::applyIfNew(const context &Context) {
  using table =
      member_table<&ledger::onCustomersChanged, &ledger::onEntryAnnounced,
                   &ledger::onWorkerRegistered, &ledger::onWorkerStateChanged,
                   &ledger::onJobSubmitted, &ledger::onJobPlaced,
                   &ledger::onJobStarted, &ledger::onJobEnded,
                   &ledger::onJobCancelled, &ledger::onSnapshotChunk>;
  const producer &Producer = Context.Record.Producer;
  if (Producer.Node.empty() || Producer.Sequence == 0)
    return {rejection::InvalidRecord};
  switch (Producers.check(Producer)) {
  case sequence_check::Duplicate:
    return {rejection::Duplicate, firstOffsetOf(Producer)};
  case sequence_check::StaleIncarnation:
    return {rejection::StaleIncarnation};
  case sequence_check::New:
    break;
  }
  const verdict Verdict = table::dispatch(*this, Context.Record.Body, Context);
  Producers.add(Producer, Context.Offset, Verdict);
  return Verdict;
}

log_offset ledger::firstOffsetOf(const producer &Producer) const {
  auto First = Producers.find(Producer);
  return First ? First->Offset : log_offset{};
}

void ledger::countVerdict(const verdict &Verdict) {
  if (Verdict.accepted())
    ++Counts.Accepted;
  else if (Verdict.Reason == rejection::Duplicate)
    ++Counts.Duplicate;
  else
    ++Counts.Rejected;
}

void ledger::addAuditEvent(const context &Context, const verdict &Verdict) {
  const record &Record = Context.Record;
  const record_kind Kind = kindOf(Record.Body);
  // Duplicates change nothing, and snapshot chunks only carry state that the
  // audited records have produced.
  if (Verdict.Reason == rejection::Duplicate ||
      (Kind == record_kind::SnapshotChunk && Verdict.accepted()))
    return;
  audit_event Event;
  Event.Offset = Context.Offset;
  Event.At = Record.At;
  Event.Actor = Record.Actor;
  Event.Producer = Record.Producer.Node;
  Event.Kind = Kind;
  Event.Verdict = Verdict;
  record_describer{}.describe(Record.Body, Event);
  if (Event.Customer.empty() && !Event.Job.empty())
    if (const job_entry *Job = Jobs.find(Event.Job))
      Event.Customer = Job->Spec.Customer;
  Audit.add(std::move(Event));
}

verdict ledger::onEntryAnnounced(const entry_announced &Entry,
                                 const context &Context) {
  const record &Record = Context.Record;
  if (Entry.Node != Record.Producer.Node || Entry.PeerAddress.empty())
    return {rejection::InvalidRecord};
  auto Position = std::lower_bound(
      Entries.begin(), Entries.end(), Entry.Node,
      [](const entry_member &A, const node_id &B) { return A.Node < B; });
  if (Position == Entries.end() || Position->Node != Entry.Node)
    Position = Entries.insert(Position, entry_member{});
  *Position = {Entry.Node,        Record.Producer.Incarnation,
               Entry.Region,      Entry.Zone,
               Entry.PeerAddress, Entry.HttpAddress,
               Context.Offset,    Record.At};
  if (Entries.size() > MaxEntries)
    Entries.erase(
        std::min_element(Entries.begin(), Entries.end(),
                         [](const entry_member &A, const entry_member &B) {
                           return A.Announced < B.Announced;
                         }));
  return {};
}

verdict ledger::onSnapshotChunk(const snapshot_chunk &Chunk,
                                const context &Context) {
  // The snapshot_assembler assembles the chunks; they do not change the ledger.
  const bool Usable =
      Chunk.Index < Chunk.Count && Chunk.Covered < Context.Offset;
  return {Usable ? rejection::None : rejection::SnapshotNotUsable};
}

} // namespace geraniumpaddle
