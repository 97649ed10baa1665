#include "core/ledger/audittrail.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

/// Truncates \p Text to at most \p MaxBytes without splitting a UTF-8 sequence.
void truncateUtf8(std::string &Text, std::size_t MaxBytes) {
  if (Text.size() <= MaxBytes)
    return;
  std::size_t End = MaxBytes;
  while (End > 0 && (static_cast<unsigned char>(Text[End]) & 0xC0U) == 0x80U)
    --End;
  Text.resize(End);
}

bool matches(const audit_event &Event, const audit_query &Query) {
  if (!Query.Customer.empty() && Event.Customer != Query.Customer)
    return false;
  return Query.Job.empty() || Event.Job == Query.Job;
}

} // namespace

void audit_trail::add(audit_event Event) {
  truncateUtf8(Event.Detail, MaxDetailBytes);
  if (Events.size() == MaxEvents)
    Events.pop_front();
  Events.push_back(std::move(Event));
}

std::vector<audit_event> audit_trail::find(const audit_query &Query) const {
  std::vector<audit_event> Found;
  for (auto Event = Events.rbegin(); Event != Events.rend(); ++Event) {
    if (Event->Offset < Query.Since || Found.size() == Query.Limit)
      break;
    if (matches(*Event, Query))
      Found.push_back(*Event);
  }
  std::reverse(Found.begin(), Found.end());
  return Found;
}

log_offset audit_trail::oldest() const {
  return Events.empty() ? log_offset{} : Events.front().Offset;
}

void audit_trail::restore(std::span<const audit_event> Kept) {
  Events.assign(Kept.begin(), Kept.end());
}

} // namespace geraniumpaddle
