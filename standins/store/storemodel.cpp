#include "standins/store/storemodel.h"

#include <algorithm>

namespace geraniumpaddle::standins {

namespace {

/// The platform knows the answers of this many last appends of a producer.
constexpr std::size_t KnownAnswers = 5;

} // namespace

store_append store_model::append(const std::string &Topic,
                                 const std::vector<store_record> &Records,
                                 const std::optional<store_stamp> &Stamp) {
  topic &Log = Topics[Topic];
  store_append Answer;
  Answer.Offset = Log.First + Log.Records.size();
  Answer.End = Answer.Offset + Records.size();
  producer *Producer = Stamp ? &Log.Producers[Stamp->Producer] : nullptr;
  if (Producer) {
    if (Stamp->Term < Producer->Term)
      return {.Answer = store_answer::Fenced};
    if (Stamp->Term > Producer->Term)
      *Producer = {.Term = Stamp->Term};
    if (Records.empty())
      return Answer;
    const auto Known = Producer->Answers.find(Stamp->Sequence);
    if (Known != Producer->Answers.end())
      return Known->second;
    if (Producer->Appended && Stamp->Sequence != Producer->LastSequence + 1)
      return {.Answer = store_answer::OutOfSequence,
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
    Producer->Answers[Stamp->Sequence] = Answer;
    if (Producer->Answers.size() > KnownAnswers)
      Producer->Answers.erase(Producer->Answers.begin());
  }
  return Answer;
}

store_read store_model::read(const std::string &Topic,
                             std::uint64_t From) const {
  const auto Found = Topics.find(Topic);
  if (Found == Topics.end())
    return {};
  const topic &Log = Found->second;
  store_read Read{.End = Log.First + Log.Records.size(), .First = Log.First};
  if (From < Log.First)
    Read.Answer = store_answer::Gone;
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

void store_model::deal(time_point Now) {
  std::erase_if(Members,
                [&](const auto &Each) { return Each.second.Until <= Now; });
  if (!Members.contains(Holder))
    Holder.clear();
  if (Members.contains(Assigned))
    return;
  const std::string Next = Members.empty() ? "" : Members.begin()->first;
  if (Next != Assigned) {
    Assigned = Next;
    ++Generation;
  }
}

group_answer store_model::join(const std::string &Member,
                               std::uint64_t SeenGeneration,
                               duration TimeToLive, time_point Now) {
  deal(Now);
  const bool IsNew = !Members.contains(Member);
  Members[Member] = {Now + TimeToLive, SeenGeneration};
  // The platform deals anew whenever a member comes, often to that one.
  if (IsNew) {
    Assigned = Member;
    ++Generation;
  }
  deal(Now);
  // The holder gives the partition up when it joins with the generation that
  // took it away.
  if (Holder == Member && Assigned != Member && SeenGeneration >= Generation)
    Holder.clear();
  if (Holder.empty() && Assigned == Member)
    Holder = Member;
  return {.Generation = Generation,
          .Holds = Holder == Member && Assigned == Member};
}

void store_model::leave(const std::string &Member, time_point Now) {
  Members.erase(Member);
  ++Generation;
  deal(Now);
}

} // namespace geraniumpaddle::standins
