#pragma once

#include "core/topics/leaderelection.h"
#include "logging/logging.h"
#include "platform/istore.h"
#include "transport/ieventloop.h"
#include "transport/timer.h"

#include <functional>
#include <memory>
#include <string>

namespace geraniumpaddle {

/// What the owner of an office does when it comes and goes.
class ielection_delegate {
public:
  virtual ~ielection_delegate() = default;

  /// \param TopicEnd progress before it was recorded by earlier terms.
  virtual void onLeadershipAcquired(std::uint64_t Term,
                                    std::uint64_t TopicEnd) = 0;
  virtual void onLeadershipLost() = 0;
  /// Finds out about the entry that was in office last.
  virtual void queryLeader(std::function<void(leader_status)> Done) = 0;
  /// Agents that reported to this entry lately.
  virtual std::size_t recentAgentCount() = 0;
};

/// Carries out what the leader_election decides.
class election_driver {
public:
  /// \param Incarnation of this process, in milliseconds.
  election_driver(ievent_loop &Loop, istore &Store, std::string Member,
                  const election_limits &Limits, std::uint64_t Incarnation,
                  ielection_delegate &Delegate);
  ~election_driver() { *Alive = false; }
  election_driver(const election_driver &) = delete;
  election_driver &operator=(const election_driver &) = delete;

  void start() { feed(election_timer_expired{}); }
  void feed(const election_event &Event);
  std::optional<std::uint64_t> term() const { return Holder.term(); }
  /// An append of the term that was sent at \p Sent was stored: no later term
  /// had begun by then.
  void confirmed(time_point Sent) { LastStored = Sent; }
  /// When the last append of the term that was stored was sent.
  time_point lastStored() const { return LastStored; }

private:
  void execute(const send_join &Command);
  void execute(const send_leave &Command);
  void execute(const query_leader &Command);
  void execute(const send_claim &Command);
  void execute(const leadership_acquired &Command);
  void execute(const leadership_lost &Command);
  void execute(const set_election_timer &Command);

  ievent_loop &Loop;
  istore &Store;
  const std::string Member;
  ielection_delegate &Delegate;
  leader_election Holder;
  time_point LastStored{};
  leader_status LastLeader; ///< by the last answer
  timer Wake;
  logger Log{"office"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
