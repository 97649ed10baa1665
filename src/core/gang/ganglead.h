#pragma once

#include "core/gang/types/gangcommands.h"
#include "core/gang/types/gangevents.h"
#include "core/gang/types/gangtiming.h"

#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Input events of a gang_lead.
using lead_event = std::variant<stop_gang, member_answered, report_answered,
                                gang_timer_expired>;

/// Phases of an attempt as its lead sees it, in order.
enum class lead_phase : std::uint8_t {
  Preparing,  ///< members free and reserve their accelerators
  Recording,  ///< all prepared; the start is being recorded
  Confirming, ///< the start is recorded; reservations are confirmed again
  Starting,   ///< the barrier is open; not every member has reported Running
  Running,    ///< leases are renewed in rounds
  Stopping,   ///< members stop, or their leases expire
  Reporting,  ///< nothing runs; the end is being recorded
  Done,       ///< the log has accepted or rejected the end
};

/// Coordinates one attempt of a gang from its placement to its recorded end:
/// two-phase start behind a barrier, lease renewal in rounds, and stop.
class gang_lead {
public:
  gang_lead(assign_gang Assignment, const gang_timing &Timing, time_point Now);

  /// Handles one event; the first is gang_timer_expired, right after
  /// construction. \returns commands in order, valid until the next call.
  std::span<const gang_command> handle(const lead_event &Event, time_point Now);

  lead_phase phase() const { return Phase; }
  /// When gang_timer_expired is due next; time_point::max(): no timer is
  /// needed.
  time_point nextTimerAt() const { return TimerAt; }

private:
  struct member {
    gang_member_info Info;
    member_state State = member_state::Unknown;
    bool CallPending = false; ///< a call is neither answered nor timed out
    bool Answered = false;    ///< in the current round
    bool Sent = false;        ///< a call was sent in the current round
    time_point SentAt{};
    time_point PreparedAt{}; ///< last report of Prepared
    time_point LeasedAt{};   ///< last call that may have granted a lease
    member_call_id Call{};   ///< the latest
  };

  void onStop(const stop_gang &Event, time_point Now);
  void onMemberAnswered(const member_answered &Event, time_point Now);
  void onReportAnswered(const report_answered &Event, time_point Now);
  void onTimerExpired(const gang_timer_expired &Event, time_point Now);

  void handlePreparing(member &Sender, const member_report &Report,
                       time_point Now);
  void handleRunning(member &Sender, const member_report &Report,
                     time_point Now);
  void handleStopping(member &Sender, const member_report &Report,
                      time_point Now);
  void ignoreReport(member &Sender, const member_report &Report,
                    time_point Now);

  void advance(time_point Now);
  void advancePreparing(time_point Now);
  void advanceRecording(time_point Now);
  void advanceConfirming(time_point Now);
  void advanceRunning(time_point Now);
  void advanceStopping(time_point Now);
  void advanceReporting(time_point Now);
  void advanceDone(time_point Now);

  void enter(lead_phase Next, time_point Now);
  void beginRound(time_point Previous, time_point Now);
  void beginStop(job_outcome Reason, const worker_id &Blamed,
                 std::string_view Cause, time_point Now);
  void send(member &To, member_message Message, time_point Now);
  void sendToUnanswered(const member_message &Message, time_point Now);
  void sendPrepare(member &To, time_point Now);
  void prepareAll(duration Interval, time_point Now);
  void sendReport(gang_command Report, time_point Now);
  bool isDue(time_point At, time_point Now);
  bool allMembersIn(member_state State) const;
  bool allPreparedSince(time_point Since) const;
  bool roundAnswered() const;
  member *find(const worker_id &Worker);

  const assign_gang Assignment;
  const gang_timing &Timing;
  lead_phase Phase = lead_phase::Preparing;
  std::vector<member> Members;
  time_point PhaseStartedAt{};
  time_point RoundStartedAt{};
  time_point PreviousRoundAt{}; ///< start of the previous round
  time_point ReportedAt{};
  bool ReportPending = false;
  job_outcome Outcome = job_outcome::Succeeded;
  bool OutcomeFinal = false; ///< set by a request or a failed task
  worker_id BlamedWorker;
  std::string Detail;
  std::uint64_t LastCall = 0;
  member_call_id FirstCallOfRound{}; ///< answers to earlier calls are ignored
  time_point TimerAt = time_point::max();
  std::vector<gang_command> Commands;
};

} // namespace geraniumpaddle
