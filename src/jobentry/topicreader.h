#pragma once

#include "core/topics/topicfollower.h"
#include "logging/logging.h"
#include "platform/istore.h"
#include "transport/ieventloop.h"
#include "transport/timer.h"

#include <functional>
#include <list>
#include <memory>
#include <string_view>

namespace geraniumpaddle {

/// What becomes of the records of a topic.
class itopic_delegate {
public:
  virtual ~itopic_delegate() = default;

  /// Called once for each record, in the order of the topic.
  virtual void onRecord(store_topic Topic, const keyed_record &Record) = 0;
  /// All that was there when the reading began has been handed over.
  virtual void onLoaded(store_topic Topic) = 0;
};

/// Reads one topic for ever.
class topic_reader {
public:
  /// \param Wait how long a read waits for a record.
  topic_reader(ievent_loop &Loop, istore &Store, store_topic Topic,
               duration Wait, itopic_delegate &Delegate);
  ~topic_reader() { *Alive = false; }
  topic_reader(const topic_reader &) = delete;
  topic_reader &operator=(const topic_reader &) = delete;

  void start();
  bool loaded() const { return Follower.loaded(); }
  time_point lastAnswer() const { return Follower.lastAnswer(); }

  /// Calls \p Done with true once every record that is in the topic now was
  /// handed over; with false if the store does not tell or \p Limit passes.
  void catchUp(duration Limit, std::function<void(bool)> Done);
  /// As above, for the records before \p End.
  void whenReached(std::uint64_t End, duration Limit,
                   std::function<void(bool)> Done);

private:
  struct waiter {
    std::uint64_t End;
    time_point Until;
    std::function<void(bool)> Done;
  };

  void feed(const topic_event &Event);
  void execute(const read_newest &Command);
  void execute(const read_topic &Command);
  void execute(const deliver_record &Command);
  void execute(const topic_loaded &Command);
  void execute(const set_topic_timer &Command);
  void wakeWaiters();

  ievent_loop &Loop;
  istore &Store;
  store_topic Topic;
  duration Wait;
  itopic_delegate &Delegate;
  topic_follower Follower;
  timer Wake;
  timer WaiterLimit;
  std::list<waiter> Waiters;
  logger Log{"topic"};
  bool Answering = true;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
