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

/// Deduplicates the attempts that entries deliver to one incarnation of an
/// agent. Each attempt is sent to the endpoint at most once, however often it
/// is delivered: a refused, barred or finished attempt is kept for the
/// retention time.
///
/// After that only a watermark remains for each incarnation of an entry: the
/// largest attempt number that was evicted. An unknown attempt at or below the
/// watermark is never run and is reported as undetermined. Attempt numbers
/// increase and entries time out before the retention ends, so the watermark
/// affects only duplicates that no caller waits for.
class attempt_table {
public:
  attempt_table(const attempt_settings &Settings, incarnation Self);

  /// Handles one event. The returned commands are valid until the next call.
  std::span<const attempt_command> handle(const attempt_event &Event,
                                          time_point Now);

  agent_load load() const;
  bool draining() const { return Draining; }
  /// True if no attempt runs or is queued.
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
    std::vector<call_handle> WaitingCalls;
  };

  struct resolved_attempt {
    time_point At;
    attempt_id Id;
  };

  using entry_incarnation = std::pair<node_id, incarnation>;

  void onDelivery(const delivery_arrived &Event, time_point Now);
  void onQuery(const query_arrived &Event, time_point Now);
  void onEndpointFinished(const endpoint_finished &Event, time_point Now);
  void onDrain(const agent_drain_started &Event, time_point Now);
  void onTimerExpired(const agent_timer_expired &Event, time_point Now);

  void accept(const delivery_arrived &Event, time_point Now);
  void handleDuplicate(const delivery_arrived &Event, attempt &Known);
  void refuse(const delivery_arrived &Event, attempt_refusal Refusal,
              time_point Now);
  void bar(const query_arrived &Event, time_point Now);
  void enqueue(const attempt_id &Id, attempt &Attempt, time_point Now);
  void start(const attempt_id &Id, attempt &Attempt, time_point Now);
  void startQueued(time_point Now);
  void resolve(const attempt_id &Id, attempt &Attempt, phase Phase,
               attempt_refusal Refusal, time_point Now);
  void keepAnswer(const attempt_id &Id, attempt &Attempt);
  void expireQueued(time_point Now);
  void evictExpired(time_point Now);
  void evictOldest();
  void finishEvent(time_point Now);
  void report(call_handle Call, const attempt_id &Id, attempt_state State,
              attempt_refusal Refusal);
  void reportKnown(call_handle Call, const attempt_id &Id,
                   const attempt &Known);
  bool evicted(const attempt_id &Id) const;
  void finishDrain(time_point Now);
  time_point nextTimerAt() const;

  attempt_settings Settings;
  incarnation Self;
  bool Draining = false;
  bool DrainReported = false;
  time_point LastActivity; ///< last result, refusal or start of a drain
  std::uint32_t Running = 0;
  std::size_t AnswerBytes = 0;
  std::unordered_map<attempt_id, attempt> Attempts;
  fair_queue<attempt_id> Queue;
  /// Lower bound of the deadlines of the queued attempts.
  time_point QueueExpiry = time_point::max();
  std::deque<resolved_attempt> Resolved; ///< oldest first
  std::deque<attempt_id> Answers; ///< stored by the front end, oldest first
  std::map<entry_incarnation, std::uint64_t> Watermarks;
  time_point ArmedTimer = time_point::max();
  std::vector<attempt_command> Commands;
};

} // namespace geraniumpaddle
