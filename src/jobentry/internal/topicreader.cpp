#include "jobentry/topicreader.h"

#include <algorithm>

namespace geraniumpaddle {

namespace {

/// Timeout of the append that returns the end of the topic.
constexpr duration EndTimeout = std::chrono::milliseconds(600);

} // namespace

topic_reader::topic_reader(ievent_loop &Loop, istore &Store, store_topic Topic,
                           duration ReadWait, duration ReadPause,
                           itopic_delegate &Delegate)
    : Loop(Loop), Store(Store), Topic(Topic), ReadWait(ReadWait),
      Delegate(Delegate), Follower(ReadPause), TopicTimer(Loop),
      WaiterTimer(Loop) {}

void topic_reader::start() { feed(topic_timer_expired{}); }

void topic_reader::feed(const topic_event &Event) {
  const auto Commands = Follower.handle(Event, Loop.now());
  // Copied: handling a record may feed another event and replace the commands.
  const std::vector<topic_command> Pending(Commands.begin(), Commands.end());
  for (const topic_command &Command : Pending)
    std::visit([this](const auto &Each) { execute(Each); }, Command);
  completeWaiters();
}

void topic_reader::execute(const read_newest &Command) {
  Store.newest(Topic, Command.After,
               [this, Alive = Alive](const newest_outcome &Outcome) {
                 if (!*Alive)
                   return;
                 if (Outcome.Ok)
                   feed(Outcome.Page);
                 else
                   feed(topic_read_failed{});
               });
}

void topic_reader::execute(const read_topic &Command) {
  Store.read(Topic, Command.From, ReadWait,
             [this, Alive = Alive](const read_outcome &Outcome) {
               if (!*Alive)
                 return;
               if (Outcome.Ok != StoreReachable)
                 Log.event(Outcome.Ok ? "topic_read_recovered"
                                      : "topic_read_failed",
                           {{"topic", static_cast<int>(Topic)},
                            {"next", Follower.next()}});
               StoreReachable = Outcome.Ok;
               if (Outcome.Ok)
                 feed(Outcome.Batch);
               else if (Outcome.HistoryTruncated)
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
  TopicTimer.startAt(Command.At, [this] { feed(topic_timer_expired{}); });
}

void topic_reader::catchUp(duration Timeout, std::function<void(bool)> Done) {
  // An append without records returns the end of the topic. A read may be
  // answered from an earlier state of it.
  Store.append({.Topic = Topic, .Timeout = std::min(Timeout, EndTimeout)},
               [this, Timeout, Alive = Alive,
                Done = std::move(Done)](const append_outcome &Outcome) {
                 if (!*Alive)
                   return;
                 if (Outcome.Status == store_append_status::Stored)
                   waitForOffset(Outcome.End, Timeout, Done);
                 else
                   Done(false);
               });
}

void topic_reader::readToEnd(duration Timeout, std::function<void(bool)> Done) {
  Store.read(Topic, Follower.next(), duration{},
             [this, Timeout, Alive = Alive,
              Done = std::move(Done)](const read_outcome &Outcome) {
               if (!*Alive)
                 return;
               if (Outcome.Ok)
                 waitForOffset(Outcome.Batch.End, Timeout, Done);
               else
                 Done(false);
             });
}

void topic_reader::waitForOffset(std::uint64_t End, duration Timeout,
                                 std::function<void(bool)> Done) {
  Waiters.push_back({End, Loop.now() + Timeout, std::move(Done)});
  if (Follower.reached(End))
    completeWaiters();
  else
    feed(topic_read_needed{});
}

void topic_reader::completeWaiters() {
  std::list<waiter> Completed;
  for (auto It = Waiters.begin(); It != Waiters.end();) {
    const auto Next = std::next(It);
    const bool Reached = Follower.reached(It->End);
    if (Reached || It->Deadline <= Loop.now())
      Completed.splice(Completed.end(), Waiters, It);
    It = Next;
  }
  if (!Waiters.empty()) {
    const auto Earliest = std::min_element(
        Waiters.begin(), Waiters.end(),
        [](const auto &A, const auto &B) { return A.Deadline < B.Deadline; });
    WaiterTimer.startAt(Earliest->Deadline, [this] { completeWaiters(); });
  }
  for (const waiter &Each : Completed) {
    const bool Reached = Follower.reached(Each.End);
    Log.event(Reached ? "offset_reached" : "offset_not_reached",
              {{"topic", static_cast<int>(Topic)},
               {"end", Each.End},
               {"next", Follower.next()},
               {"answer_age_ms",
                millisecondsOf(Loop.now() - Follower.lastAnswer())}});
    Each.Done(Reached);
  }
}

} // namespace geraniumpaddle
