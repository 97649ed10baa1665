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

/// Receives the records of a topic.
class itopic_delegate {
public:
  virtual ~itopic_delegate() = default;

  /// Called once for each record, in the order of the topic.
  virtual void onRecord(store_topic Topic, const keyed_record &Record) = 0;
  /// Called once all records that were there when reading began are delivered.
  virtual void onLoaded(store_topic Topic) = 0;
};

/// Follows one topic: reads its records and waits for new ones.
class topic_reader {
public:
  /// \param ReadWait how long a read may wait for a record.
  /// \param ReadPause pause after a read that brought records.
  topic_reader(ievent_loop &Loop, istore &Store, store_topic Topic,
               duration ReadWait, duration ReadPause,
               itopic_delegate &Delegate);
  ~topic_reader() { *Alive = false; }
  topic_reader(const topic_reader &) = delete;
  topic_reader &operator=(const topic_reader &) = delete;

  void start();
  bool loaded() const { return Follower.loaded(); }
  time_point lastAnswer() const { return Follower.lastAnswer(); }

  /// Calls \p Done with true once every record that is in the topic now has
  /// been delivered, with false if the store does not return the end of the
  /// topic or \p Timeout expires.
  void catchUp(duration Timeout, std::function<void(bool)> Done);
  /// Like catchUp(), but the end may be that of an earlier state. Waits for no
  /// append, which the store may queue for seconds.
  void readToEnd(duration Timeout, std::function<void(bool)> Done);
  /// Like catchUp(), for the records before offset \p End.
  void waitForOffset(std::uint64_t End, duration Timeout,
                     std::function<void(bool)> Done);

private:
  struct waiter {
    std::uint64_t End;
    time_point Deadline;
    std::function<void(bool)> Done;
  };

  void feed(const topic_event &Event);
  void execute(const read_newest &Command);
  void execute(const read_topic &Command);
  void execute(const deliver_record &Command);
  void execute(const topic_loaded &Command);
  void execute(const set_topic_timer &Command);
  void completeWaiters();

  ievent_loop &Loop;
  istore &Store;
  store_topic Topic;
  duration ReadWait;
  itopic_delegate &Delegate;
  topic_follower Follower;
  timer TopicTimer;
  timer WaiterTimer;
  std::list<waiter> Waiters;
  logger Log{"topic"};
  bool StoreReachable = true;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
