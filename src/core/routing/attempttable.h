#pragma once

#include "core/routing/fairqueue.h"
#include "core/routing/types/attemptmessages.h"
#include "core/routing/types/attemptsettings.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace geraniumpaddle {

/// The attempts that entries delivered to one run of an agent. Each attempt is
/// sent to the endpoint at most once, however often it is delivered: a refused,
/// barred or finished attempt is remembered for the retention time.
///
/// After that, a floor remains for each run of an entry: the largest number
/// that was forgotten. An unknown attempt at or below the floor is never run,
/// and is reported as undetermined. Attempt numbers rise, and entries give up
/// before the retention is over, so that the floor hits only copies that nobody
/// waits for any more.
class attempt_table {
public:
  attempt_table(const attempt_settings &Settings, incarnation Self);

  /// Decides on one event. The commands are valid until the next call.
  std::span<const attempt_command> handle(const attempt_event &Event,
                                          time_point Now);

  agent_load load() const;
  bool draining() const { return Draining; }
  /// True if nothing runs and nothing is queued.
  bool idle() const { return Running == 0 && Queue.empty(); }

private:
  enum class phase : std::uint8_t {
    Queued,
    Running,
    Answered,
    NotRun,
    Undetermined,
  };

  struct attempt {
    customer_id Customer;
    phase Phase = phase::Queued;
    attempt_refusal Refusal = attempt_refusal::None;
    time_point Deadline;
    std::uint32_t AnswerBytes = 0;
    std::vector<call_handle> Waiting;
  };

  struct settled_attempt {
    time_point At;
    attempt_id Id;
  };

  using entry_run = std::pair<node_id, incarnation>;

  void onDelivery(const delivery_arrived &Event, time_point Now);
  void onQuery(const query_arrived &Event, time_point Now);
  void onEndpointFinished(const endpoint_finished &Event, time_point Now);
  void onDrain(const agent_drain_started &Event, time_point Now);
  void onTimer(const agent_timer_fired &Event, time_point Now);

  void accept(const delivery_arrived &Event, time_point Now);
  void repeat(const delivery_arrived &Event, attempt &Known);
  void refuse(const delivery_arrived &Event, attempt_refusal Refusal,
              time_point Now);
  void bar(const query_arrived &Event, time_point Now);
  void enqueue(const attempt_id &Id, attempt &Attempt, time_point Now);
  void start(const attempt_id &Id, attempt &Attempt, time_point Now);
  void startQueued(time_point Now);
  void settle(const attempt_id &Id, attempt &Attempt, phase Phase,
              attempt_refusal Refusal, time_point Now);
  void keepAnswer(const attempt_id &Id, attempt &Attempt);
  void expireQueued(time_point Now);
  void forgetOld(time_point Now);
  void forgetOldest();
  void finishEvent(time_point Now);
  void report(call_handle Call, const attempt_id &Id, attempt_state State,
              attempt_refusal Refusal);
  void reportKnown(call_handle Call, const attempt_id &Id,
                   const attempt &Known);
  bool forgotten(const attempt_id &Id) const;
  void finishDrain(time_point Now);
  time_point nextWake() const;

  attempt_settings Settings;
  incarnation Self;
  bool Draining = false;
  bool DrainReported = false;
  time_point QuietSince; ///< last answer, refusal or start of a drain
  std::uint32_t Running = 0;
  std::size_t AnswerBytes = 0;
  std::unordered_map<attempt_id, attempt> Attempts;
  fair_queue<attempt_id> Queue;
  time_point QueueExpiry = time_point::max(); ///< no deadline is earlier
  std::deque<settled_attempt> Settled;        ///< oldest first
  std::deque<attempt_id> Answers; ///< kept by the front end, oldest first
  std::map<entry_run, std::uint64_t> Floors;
  time_point ArmedWake = time_point::max();
  std::vector<attempt_command> Commands;
};

} // namespace geraniumpaddle
