#include "jobentry/topicreader.h"

#include <algorithm>

namespace geraniumpaddle {

topic_reader::topic_reader(ievent_loop &Loop, istore &Store, store_topic Topic,
                           duration Wait, itopic_delegate &Delegate)
    : Loop(Loop), Store(Store), Topic(Topic), Wait(Wait), Delegate(Delegate),
      Wake(Loop), WaiterLimit(Loop) {}

void topic_reader::start() { feed(topic_timer_expired{}); }

void topic_reader::feed(const topic_event &Event) {
  const auto Commands = Follower.handle(Event, Loop.now());
  // Copied: what a record causes may feed this follower again.
  const std::vector<topic_command> Copy(Commands.begin(), Commands.end());
  for (const topic_command &Command : Copy)
    std::visit([this](const auto &Each) { execute(Each); }, Command);
  wakeWaiters();
}

void topic_reader::execute(const read_newest &Command) {
  Store.newest(Topic, Command.After,
               [this, Life = Alive](const newest_outcome &Outcome) {
                 if (!*Life)
                   return;
                 if (Outcome.Ok)
                   feed(Outcome.Page);
                 else
                   feed(topic_read_failed{});
               });
}

void topic_reader::execute(const read_topic &Command) {
  Store.read(Topic, Command.From, Wait,
             [this, Life = Alive](const read_outcome &Outcome) {
               if (!*Life)
                 return;
               if (Outcome.Ok != Answering)
                 Log.event(Outcome.Ok ? "topic_read_recovered"
                                      : "topic_read_failed",
                           {{"topic", static_cast<int>(Topic)},
                            {"next", Follower.next()}});
               Answering = Outcome.Ok;
               if (Outcome.Ok)
                 feed(Outcome.Batch);
               else if (Outcome.HistoryGone)
                 feed(history_truncated{});
               else
                 feed(topic_read_failed{});
             });
}

void topic_reader::execute(const deliver_record &Command) {
  Delegate.onRecord(Topic, Command.Record);
}

void topic_reader::execute(const topic_loaded &) { Delegate.onLoaded(Topic); }

void topic_reader::execute(const set_topic_timer &Command) {
  Wake.startAt(Command.At, [this] { feed(topic_timer_expired{}); });
}

void topic_reader::catchUp(duration Limit, std::function<void(bool)> Done) {
  Store.read(Topic, Follower.next(), duration{},
             [this, Limit, Life = Alive,
              Done = std::move(Done)](const read_outcome &Outcome) {
               if (!*Life)
                 return;
               if (Outcome.Ok)
                 whenReached(Outcome.Batch.End, Limit, Done);
               else
                 Done(false);
             });
}

void topic_reader::whenReached(std::uint64_t End, duration Limit,
                               std::function<void(bool)> Done) {
  Waiters.push_back({End, Loop.now() + Limit, std::move(Done)});
  wakeWaiters();
}

void topic_reader::wakeWaiters() {
  std::list<waiter> Over;
  for (auto It = Waiters.begin(); It != Waiters.end();) {
    const auto Next = std::next(It);
    const bool Reached = loaded() && Follower.next() >= It->End;
    if (Reached || It->Until <= Loop.now())
      Over.splice(Over.end(), Waiters, It);
    It = Next;
  }
  if (!Waiters.empty()) {
    const auto First = std::min_element(
        Waiters.begin(), Waiters.end(),
        [](const auto &A, const auto &B) { return A.Until < B.Until; });
    WaiterLimit.startAt(First->Until, [this] { wakeWaiters(); });
  }
  for (const waiter &Each : Over)
    Each.Done(loaded() && Follower.next() >= Each.End);
}

} // namespace geraniumpaddle
