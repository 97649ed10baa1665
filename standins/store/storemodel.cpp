#include "standins/store/storemodel.h"

#include <algorithm>

namespace geraniumpaddle::standins {

namespace {

/// The platform retains the results of this many last appends of a producer, to
/// answer duplicates.
constexpr std::size_t RetainedResults = 5;

} // namespace

append_result store_model::append(const std::string &Topic,
                                  const std::vector<store_record> &Records,
                                  const std::optional<producer_stamp> &Stamp) {
  topic &Log = Topics[Topic];
  append_result Answer;
  Answer.Offset = Log.First + Log.Records.size();
  Answer.End = Answer.Offset + Records.size();
  producer *Producer = Stamp ? &Log.Producers[Stamp->Producer] : nullptr;
  if (Producer) {
    if (Stamp->Term < Producer->Term)
      return {.Answer = store_result::Fenced};
    if (Stamp->Term > Producer->Term)
      *Producer = {.Term = Stamp->Term};
    if (Records.empty())
      return Answer;
    const auto Duplicate = Producer->Results.find(Stamp->Sequence);
    if (Duplicate != Producer->Results.end())
      return Duplicate->second;
    if (Producer->Appended && Stamp->Sequence != Producer->LastSequence + 1)
      return {.Answer = store_result::OutOfSequence,
              .Expected = Producer->LastSequence + 1};
  }
  for (const store_record &Record : Records) {
    const std::uint64_t Offset = Log.First + Log.Records.size();
    Log.Records.push_back(Record);
    const auto KeySize = static_cast<unsigned char>(Record.front());
    newest_record Newest{.Key = Record.substr(1, KeySize),
                         .Value = Record.substr(1 + KeySize),
                         .Offset = Offset};
    if (Newest.Value.empty())
      Log.Newest.erase(Newest.Key);
    else
      Log.Newest[Newest.Key] = Newest;
  }
  if (Producer) {
    Producer->Appended = true;
    Producer->LastSequence = Stamp->Sequence;
    Producer->Results[Stamp->Sequence] = Answer;
    if (Producer->Results.size() > RetainedResults)
      Producer->Results.erase(Producer->Results.begin());
  }
  return Answer;
}

read_result store_model::read(const std::string &Topic,
                              std::uint64_t From) const {
  const auto Found = Topics.find(Topic);
  if (Found == Topics.end())
    return {};
  const topic &Log = Found->second;
  read_result Read{.End = Log.First + Log.Records.size(), .First = Log.First};
  if (From < Log.First)
    Read.Answer = store_result::Truncated;
  else if (From < Read.End)
    Read.Records.assign(Log.Records.begin() +
                            static_cast<std::ptrdiff_t>(From - Log.First),
                        Log.Records.end());
  return Read;
}

std::vector<newest_record> store_model::newest(const std::string &Topic) const {
  std::vector<newest_record> Records;
  const auto Found = Topics.find(Topic);
  if (Found != Topics.end())
    for (const auto &[Key, Record] : Found->second.Newest)
      Records.push_back(Record);
  return Records;
}

std::uint64_t store_model::end(const std::string &Topic) const {
  const auto Found = Topics.find(Topic);
  return Found == Topics.end()
             ? 0
             : Found->second.First + Found->second.Records.size();
}

void store_model::compact() {
  for (auto &[Name, Log] : Topics) {
    Log.First += Log.Records.size();
    Log.Records.clear();
  }
}

void store_model::assignPartition(time_point Now) {
  std::erase_if(Members,
                [&](const auto &Each) { return Each.second.Until <= Now; });
  if (!Members.contains(Holder))
    Holder.clear();
  if (Members.contains(Assignee))
    return;
  const std::string Next = Members.empty() ? "" : Members.begin()->first;
  if (Next != Assignee) {
    Assignee = Next;
    ++Generation;
  }
}

join_result store_model::join(const std::string &Member,
                              std::uint64_t KnownGeneration,
                              duration TimeToLive, time_point Now) {
  assignPartition(Now);
  const bool IsNew = !Members.contains(Member);
  Members[Member] = {Now + TimeToLive, KnownGeneration};
  // The platform reassigns the partition whenever a member joins, often to the
  // new member.
  if (IsNew) {
    Assignee = Member;
    ++Generation;
  }
  assignPartition(Now);
  // The holder releases the partition when it joins with the generation that
  // assigned it to another member.
  if (Holder == Member && Assignee != Member && KnownGeneration >= Generation)
    Holder.clear();
  if (Holder.empty() && Assignee == Member)
    Holder = Member;
  return {.Generation = Generation,
          .IsHolder = Holder == Member && Assignee == Member};
}

void store_model::leave(const std::string &Member, time_point Now) {
  Members.erase(Member);
  ++Generation;
  assignPartition(Now);
}

} // namespace geraniumpaddle::standins
