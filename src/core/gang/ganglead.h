#pragma once

#include "core/gang/types/gangcommands.h"
#include "core/gang/types/gangevents.h"
#include "core/gang/types/gangtiming.h"

#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// What happens to one gang at its lead.
using lead_event = std::variant<stop_gang, member_answered, report_answered,
                                gang_timer_expired>;

/// Steps of an attempt at its lead, in their order.
enum class lead_phase : std::uint8_t {
  Preparing, ///< members make room and hold their accelerators
  Recording, ///< all prepared; the start is being recorded
  Opening,   ///< the start is recorded; holds are confirmed once more
  Starting,  ///< the barrier is open; not every member has told that it runs
  Running,   ///< leases are renewed in rounds
  Stopping,  ///< members stop or their leases lapse
  Reporting, ///< nothing runs; the end is being recorded
  Done,      ///< the end has a verdict
};

/// Drives one attempt of a gang from its placement to its recorded end.
class gang_lead {
public:
  gang_lead(assign_gang Assignment, const gang_timing &Timing, time_point Now);

  /// Decides on one event; the first is gang_timer_expired, right after
  /// construction. \returns commands in order, valid until the next call.
  std::span<const gang_command> handle(const lead_event &Event, time_point Now);

  lead_phase phase() const { return Phase; }
  /// When handle() wants to be called with gang_timer_expired.
  time_point nextWakeup() const { return Wakeup; }

private:
  struct member {
    gang_member_info Info;
    member_state State = member_state::Unknown;
    bool Open = false;     ///< a call has not been answered or given up
    bool Answered = false; ///< the present round
    bool Sent = false;     ///< a call of the present round
    time_point SentAt{};
    time_point PreparedAt{}; ///< last answer "prepared"
    time_point LeasedAt{};   ///< last call that may have granted a lease
    member_call_id Call{};   ///< the newest
  };

  void onStop(const stop_gang &Event, time_point Now);
  void onMemberAnswered(const member_answered &Event, time_point Now);
  void onReportAnswered(const report_answered &Event, time_point Now);
  void onWakeup(const gang_timer_expired &Event, time_point Now);

  void judgePreparing(member &From, const member_report &Report,
                      time_point Now);
  void judgeRunning(member &From, const member_report &Report, time_point Now);
  void judgeStopping(member &From, const member_report &Report, time_point Now);
  void ignoreReport(member &From, const member_report &Report, time_point Now);

  void advance(time_point Now);
  void advancePreparing(time_point Now);
  void advanceRecording(time_point Now);
  void advanceOpening(time_point Now);
  void advanceRunning(time_point Now);
  void advanceStopping(time_point Now);
  void advanceReporting(time_point Now);
  void advanceDone(time_point Now);

  void enter(lead_phase Next, time_point Now);
  void beginRound(time_point Previous, time_point Now);
  void beginStop(job_outcome Reason, const worker_id &Blamed,
                 std::string_view Why, time_point Now);
  void send(member &To, member_message Message, time_point Now);
  void sendToUnanswered(const member_message &Message, time_point Now);
  void sendPrepare(member &To, time_point Now);
  void prepareAll(duration Interval, time_point Now);
  void report(gang_command Report, time_point Now);
  bool dueAt(time_point At, time_point Now);
  bool allAre(member_state State) const;
  bool allPreparedSince(time_point Since) const;
  bool roundAnswered() const;
  member *find(const worker_id &Worker);

  const assign_gang Assignment;
  const gang_timing &Timing;
  lead_phase Phase = lead_phase::Preparing;
  std::vector<member> Members;
  time_point PhaseSince{};
  time_point RoundSince{};
  time_point LeasesFrom{}; ///< beginning of the previous round
  time_point ReportedAt{};
  bool ReportOpen = false;
  job_outcome Outcome = job_outcome::Succeeded;
  bool OutcomeKnown = false; ///< asked for, or a task failed
  worker_id BlamedWorker;
  std::string Detail;
  std::uint64_t LastCall = 0;
  member_call_id RoundStart{}; ///< answers to earlier calls are old
  time_point Wakeup = time_point::max();
  std::vector<gang_command> Commands;
};

} // namespace geraniumpaddle
