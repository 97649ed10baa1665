#include "core/ledger/internal/recorddescriber.h"
#include "core/base/membertable.h"
#include "core/ledger/audittrail.h"

#include <string>

namespace geraniumpaddle {

namespace {

std::string number(std::uint64_t Value) { return std::to_string(Value); }

/// Appends " WORD id id ..." unless \p List is empty.
template <typename Items, typename Name>
void appendList(std::string &Text, std::string_view Word, const Items &List,
                Name NameOf) {
  if (List.empty())
    return;
  Text += ' ';
  Text += Word;
  for (const auto &Item : List) {
    if (Text.size() > audit_trail::MaxDetailBytes)
      return;
    Text += ' ';
    Text += NameOf(Item);
  }
}

} // namespace

void record_describer::describe(const record_body &Body,
                                audit_event &Event) const {
  using table = member_table<
      &record_describer::onCustomersChanged,
      &record_describer::onEntryAnnounced,
      &record_describer::onWorkerRegistered,
      &record_describer::onWorkerStateChanged,
      &record_describer::onJobSubmitted, &record_describer::onJobPlaced,
      &record_describer::onJobStarted, &record_describer::onJobEnded,
      &record_describer::onJobCancelled, &record_describer::onSnapshotChunk>;
  table::dispatch(*this, Body, &Event);
}

void record_describer::onCustomersChanged(const customers_changed &Change,
                                          audit_event *Event) const {
  Event->Detail = Change.Source == change_source::Sheet ? "sheet" : "command";
  if (!Change.SourceDetail.empty())
    Event->Detail += " " + Change.SourceDetail;
  Event->Detail += " base " + number(raw(Change.Base));
  appendList(Event->Detail, "put", Change.Put,
             [](const customer_config &Config) { return Config.Id.view(); });
  appendList(Event->Detail, "removed", Change.Removed,
             [](const customer_id &Id) { return Id.view(); });
  if (Change.Put.size() + Change.Removed.size() != 1)
    return;
  Event->Customer =
      Change.Put.empty() ? Change.Removed.front() : Change.Put.front().Id;
}

void record_describer::onEntryAnnounced(const entry_announced &Entry,
                                        audit_event *Event) const {
  Event->Detail = "entry " + Entry.Node.str() + " at " + Entry.PeerAddress;
}

void record_describer::onWorkerRegistered(const worker_registered &Registration,
                                          audit_event *Event) const {
  Event->Detail = "worker " + Registration.Worker.Id.str() + " agent " +
                  Registration.Agent.str() + " incarnation " +
                  number(raw(Registration.AgentIncarnation));
}

void record_describer::onWorkerStateChanged(const worker_state_changed &Change,
                                            audit_event *Event) const {
  Event->Detail = "worker " + Change.Worker.str() + " ";
  Event->Detail += name(Change.State);
  Event->Detail += ", ";
  Event->Detail += name(Change.Cause);
}

void record_describer::onJobSubmitted(const job_submitted &Submission,
                                      audit_event *Event) const {
  Event->Customer = Submission.Spec.Customer;
  Event->Job = Submission.Spec.Id;
  Event->Detail = number(Submission.Spec.Tasks.size()) + " tasks";
  if (Submission.Spec.Urgent)
    Event->Detail += ", urgent";
  if (!Submission.Spec.Idempotent)
    Event->Detail += ", non-idempotent";
}

void record_describer::onJobPlaced(const job_placed &Placement,
                                   audit_event *Event) const {
  Event->Job = Placement.Job;
  Event->Detail = "attempt " + number(Placement.Attempt);
  appendList(Event->Detail, "victims", Placement.Victims,
             [](fencing_token Token) { return number(raw(Token)); });
}

void record_describer::onJobStarted(const job_started &Start,
                                    audit_event *Event) const {
  Event->Job = Start.Job;
  Event->Detail = "token " + number(raw(Start.Token));
}

void record_describer::onJobEnded(const job_ended &End,
                                  audit_event *Event) const {
  Event->Job = End.Job;
  Event->Detail = "token " + number(raw(End.Token)) + " ";
  Event->Detail += name(End.Outcome);
  if (!End.BlamedWorker.empty())
    Event->Detail += ", worker " + End.BlamedWorker.str();
  if (!End.Detail.empty())
    Event->Detail += ": " + End.Detail;
}

void record_describer::onJobCancelled(const job_cancelled &Cancellation,
                                      audit_event *Event) const {
  Event->Job = Cancellation.Job;
}

void record_describer::onSnapshotChunk(const snapshot_chunk &Chunk,
                                       audit_event *Event) const {
  Event->Detail = "covers " + number(raw(Chunk.Covered)) + " chunk " +
                  number(Chunk.Index) + " of " + number(Chunk.Count);
}

} // namespace geraniumpaddle
