#pragma once

#include "core/gang/types/gangcommands.h"
#include "core/gang/types/gangevents.h"
#include "core/gang/types/gangtiming.h"

#include <map>
#include <span>
#include <vector>

namespace geraniumpaddle {

/// What happens to one gang at its lead.
using lead_event =
    std::variant<stop_gang, member_answered, report_answered, wakeup_due>;

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

  /// Decides on one event; also called once after construction, with
  /// wakeup_due.
  /// \returns commands in order, valid until the next call.
  std::span<const gang_command> handle(const lead_event &Event, time_point Now);

  lead_phase phase() const { return Phase; }
  /// When handle() wants to be called with wakeup_due.
  time_point nextWakeup() const { return Wakeup; }

private:
  struct member {
    gang_member_info Info;
    member_state State = member_state::Unknown;
    bool Answered = false;         ///< in the present round
    time_point LastSent{};         ///< last call in the present round
    time_point LastAnswer{};       ///< of any kind
    time_point LastPrepared{};     ///< last answer "prepared"
    time_point LeaseSent{};        ///< last call that grants a lease
    bool LeaseGranted = false;     ///< a lease was ever sent to it
    member_call_id FirstOfRound{}; ///< earlier calls' answers are old
  };

  void onStop(const stop_gang &Event, time_point Now);
  void onMemberAnswered(const member_answered &Event, time_point Now);
  void onReportAnswered(const report_answered &Event, time_point Now);
  void onWakeup(const wakeup_due &Event, time_point Now);

  /// Does what the present phase has to do at \p Now.
  void advance(time_point Now);
  void advancePreparing(time_point Now);
  void advanceRecording(time_point Now);
  void advanceOpening(time_point Now);
  void advanceStarting(time_point Now);
  void advanceRunning(time_point Now);
  void advanceStopping(time_point Now);
  void advanceReporting(time_point Now);
  void advanceDone(time_point Now);

  void enter(lead_phase Next, time_point Now);
  void beginRound(time_point Now);
  void beginStop(job_outcome Reason, worker_id Blamed, std::string Why,
                 time_point Now);
  void judgeMember(const member &Member, const member_report &Report,
                   time_point Now);
  void send(member &To, member_message Message, time_point Now);
  void sendPrepare(member &To, time_point Now);
  void sendToUnanswered(const member_message &Message, time_point Now);
  void repeatPrepare(time_point Now);
  bool allAre(member_state State) const;
  bool allStarted() const;
  bool roundAnswered() const;
  bool hasLapsed(const member &Member, time_point Now) const;
  void wakeAt(time_point At);
  member *find(const worker_id &Worker);

  const assign_gang Assignment;
  const gang_timing Timing;
  lead_phase Phase = lead_phase::Preparing;
  std::vector<member> Members;
  time_point PhaseSince{};
  time_point RoundSince{};
  time_point ReportSent{};
  bool ReportPending = false;
  job_outcome Outcome = job_outcome::Succeeded;
  worker_id BlamedWorker;
  std::string Detail;
  std::uint64_t LastCall = 0;
  time_point Wakeup = time_point::max();
  std::vector<gang_command> Commands;
};

} // namespace geraniumpaddle
