#pragma once

#include "core/topics/officeholder.h"
#include "logging/logging.h"
#include "platform/istore.h"
#include "transport/ieventloop.h"
#include "transport/timer.h"

#include <functional>
#include <memory>
#include <string>

namespace geraniumpaddle {

/// Called when leadership is gained or lost, and for what the election needs to
/// know.
class ioffice_content {
public:
  virtual ~ioffice_content() = default;

  /// \param TopicEnd progress before this offset was stored in earlier terms.
  virtual void onOfficeWon(std::uint64_t Term, std::uint64_t TopicEnd) = 0;
  virtual void onOfficeLost() = 0;
  /// Queries the state of the last known leader.
  virtual void askHolder(std::function<void(holder_answered)> Done) = 0;
  /// Number of agents that reported to this entry recently.
  virtual std::size_t agentsHeard() = 0;
};

/// Executes the commands of the leader election.
class office_driver {
public:
  /// \param Incarnation start time of this process, in milliseconds.
  office_driver(ievent_loop &Loop, istore &Store, std::string Member,
                const office_limits &Limits, std::uint64_t Incarnation,
                ioffice_content &Content);
  ~office_driver() { *Alive = false; }
  office_driver(const office_driver &) = delete;
  office_driver &operator=(const office_driver &) = delete;

  void start() { feed(office_time_passed{}); }
  void feed(const office_event &Event);
  std::optional<std::uint64_t> term() const { return Election.term(); }
  /// Call when an append of the term that was sent at \p Sent was stored: no
  /// later term had begun at that time.
  void onAppendStored(time_point Sent) { LastStored = Sent; }
  /// Time at which the last successful append of the term was sent.
  time_point lastStored() const { return LastStored; }

private:
  void carryOut(const send_join &Command);
  void carryOut(const send_leave &Command);
  void carryOut(const ask_holder &Command);
  void carryOut(const send_claim &Command);
  void carryOut(const office_won &Command);
  void carryOut(const office_lost &Command);
  void carryOut(const office_wake_at &Command);

  ievent_loop &Loop;
  istore &Store;
  const std::string Member;
  ioffice_content &Content;
  office_holder Election;
  time_point LastStored{};
  holder_answered LastHolder; ///< as of the last query
  timer WakeTimer;
  logger Log{"office"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
