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

/// Called when leadership is acquired or lost, and for the state of the last
/// leader and of this entry's agents.
class ielection_delegate {
public:
  virtual ~ielection_delegate() = default;

  /// \param TopicEnd progress before this offset was stored in earlier terms.
  virtual void onLeadershipAcquired(std::uint64_t Term,
                                    std::uint64_t TopicEnd) = 0;
  virtual void onLeadershipLost() = 0;
  /// Queries the state of the last known leader.
  virtual void queryLeader(std::function<void(leader_status)> Done) = 0;
  /// Number of agents that reported to this entry recently.
  virtual std::size_t recentAgentCount() = 0;
};

/// Executes the commands of the leader election.
class election_driver {
public:
  /// \param Incarnation start time of this process, in milliseconds.
  election_driver(ievent_loop &Loop, istore &Store, std::string Member,
                  const election_limits &Limits, std::uint64_t Incarnation,
                  ielection_delegate &Delegate);
  ~election_driver() { *Alive = false; }
  election_driver(const election_driver &) = delete;
  election_driver &operator=(const election_driver &) = delete;

  void start() { feed(election_timer_expired{}); }
  void feed(const election_event &Event);
  std::optional<std::uint64_t> term() const { return Election.term(); }
  /// Call when an append of the term that was sent at \p Sent was stored: no
  /// later term had begun at that time.
  void onAppendStored(time_point Sent) { LastStored = Sent; }
  /// Time at which the last successful append of the term was sent.
  time_point lastStored() const { return LastStored; }

private:
  void execute(const send_join &Command);
  void execute(const send_leave &Command);
  void execute(const query_leader &Command);
  void execute(const send_claim &Command);
  void execute(const leadership_acquired &Command);
  void execute(const leadership_lost &Command);
  void execute(const set_election_timer &Command);
  void logLeader(const leader_status &Leader);

  ievent_loop &Loop;
  istore &Store;
  const std::string Member;
  ielection_delegate &Delegate;
  const election_limits Limits;
  leader_election Election;
  time_point LastStored{};
  leader_status LastLeader; ///< as of the last query
  time_point LeaderLoggedAt{};
  timer ElectionTimer;
  logger Log{"office"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
