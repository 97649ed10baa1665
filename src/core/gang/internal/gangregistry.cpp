#include "core/gang/gangregistry.h"

#include "core/base/membertable.h"

#include <algorithm>
#include <utility>

namespace geraniumpaddle {

namespace {

bool isMember(const assign_gang &Assignment, const worker_id &Worker) {
  return std::ranges::count(Assignment.Members, Worker,
                            &gang_member_info::Worker) == 1;
}

bool isValid(const assign_gang &Assignment) {
  const bool TasksHaveMembers =
      std::ranges::all_of(Assignment.Tasks, [&](const gang_task &Task) {
        return isMember(Assignment, Task.Assignment.Worker);
      });
  const bool MembersHaveTasks =
      std::ranges::all_of(Assignment.Members, [&](const auto &Member) {
        return std::ranges::any_of(Assignment.Tasks, [&](const auto &Task) {
          return Task.Assignment.Worker == Member.Worker;
        });
      });
  return !Assignment.Tasks.empty() && TasksHaveMembers && MembersHaveTasks;
}

} // namespace

gang_registry::gang_registry(worker_id OwnWorker, const gang_timing &Timing)
    : OwnWorker(std::move(OwnWorker)), Timing(Timing), Member(Timing) {}

std::span<const gang_command> gang_registry::handle(const gang_event &Event,
                                                    time_point Now) {
  using table = member_table<
      &gang_registry::onStarted, &gang_registry::onAssign,
      &gang_registry::onStopGang, &gang_registry::onPrepare,
      &gang_registry::onStart, &gang_registry::onRenew,
      &gang_registry::onStopTasks, &gang_registry::onMemberAnswered,
      &gang_registry::onReportAnswered, &gang_registry::onWorkerAnswered,
      &gang_registry::onTimerExpired>;
  Commands.clear();
  // Tasks whose lease has expired, e.g. during a pause, are stopped first.
  if (Now >= Member.nextTimerAt())
    notifyMember(gang_timer_expired{}, Now);
  table::dispatch(*this, Event, Now);
  routeCommands(Now);
  removeFinishedLeads(Now);
  requestTimer();
  return Commands;
}

void gang_registry::onStarted(const agent_started &Event, time_point Now) {
  notifyMember(Event, Now);
}

void gang_registry::onAssign(const peer_request<assign_gang> &Event,
                             time_point Now) {
  const fencing_token Token = Event.Body.Token;
  if (Ended.contains(Token))
    return reply(Event.Reply, gang_refusal::StaleToken);
  if (!isValid(Event.Body))
    return reply(Event.Reply, gang_refusal::Invalid);
  reply(Event.Reply, gang_refusal::None);
  if (Leads.try_emplace(Token, Event.Body, Timing, Now).second)
    notifyLead(Token, gang_timer_expired{}, Now);
}

void gang_registry::onStopGang(const peer_request<stop_gang> &Event,
                               time_point Now) {
  const fencing_token Token = Event.Body.Token;
  if (Ended.contains(Token))
    return reply(Event.Reply, gang_refusal::StaleToken);
  if (!Leads.contains(Token))
    return reply(Event.Reply, gang_refusal::NotReady);
  reply(Event.Reply, gang_refusal::None);
  notifyLead(Token, Event.Body, Now);
}

void gang_registry::onPrepare(const peer_request<prepare_tasks> &Event,
                              time_point Now) {
  notifyMember(Event, Now);
}

void gang_registry::onStart(const peer_request<start_tasks> &Event,
                            time_point Now) {
  notifyMember(Event, Now);
}

void gang_registry::onRenew(const peer_request<renew_tasks> &Event,
                            time_point Now) {
  notifyMember(Event, Now);
}

void gang_registry::onStopTasks(const peer_request<stop_tasks> &Event,
                                time_point Now) {
  notifyMember(Event, Now);
}

void gang_registry::onMemberAnswered(const member_answered &Event,
                                     time_point Now) {
  notifyLead(Event.Token, Event, Now);
}

void gang_registry::onReportAnswered(const report_answered &Event,
                                     time_point Now) {
  notifyLead(Event.Token, Event, Now);
}

void gang_registry::onWorkerAnswered(const worker_answered &Event,
                                     time_point Now) {
  notifyMember(Event, Now);
}

void gang_registry::onTimerExpired(const gang_timer_expired & /*Event*/,
                                   time_point Now) {
  for (auto &[Token, Lead] : Leads) {
    if (Now >= Lead.nextTimerAt())
      collect(Lead.handle(gang_timer_expired{}, Now));
  }
}

void gang_registry::notifyMember(const member_event &Event, time_point Now) {
  collect(Member.handle(Event, Now));
}

void gang_registry::notifyLead(fencing_token Token, const lead_event &Event,
                               time_point Now) {
  const auto Found = Leads.find(Token);
  if (Found != Leads.end())
    collect(Found->second.handle(Event, Now));
}

void gang_registry::reply(const reply_handle &Reply, gang_refusal Refusal) {
  Commands.emplace_back(gang_reply{Reply, {Refusal, {}, {}}});
}

void gang_registry::collect(std::span<const gang_command> NewCommands) {
  UnroutedCommands.insert(UnroutedCommands.end(), NewCommands.begin(),
                          NewCommands.end());
}

void gang_registry::routeCommands(time_point Now) {
  // Local deliveries append to UnroutedCommands.
  for (std::size_t Index = 0; Index < UnroutedCommands.size(); ++Index) {
    const gang_command Command = std::move(UnroutedCommands[Index]);
    const auto *Call = std::get_if<send_to_member>(&Command);
    const auto *Reply = std::get_if<gang_reply>(&Command);
    if (Call && Call->Worker == OwnWorker)
      deliverLocalCall(*Call, Now);
    else if (Reply && Reply->Reply.Origin == call_origin::LocalLead)
      deliverLocalReply(*Reply, Now);
    else
      Commands.push_back(Command);
  }
  UnroutedCommands.clear();
}

void gang_registry::deliverLocalCall(const send_to_member &Command,
                                     time_point Now) {
  const reply_handle Reply{call_origin::LocalLead, ++LastLocalCall};
  LocalCalls.emplace(Reply.Id, local_call{Command.Token, Command.Call});
  const auto Deliver = [&](const auto &Message) {
    using message_type = std::decay_t<decltype(Message)>;
    notifyMember(peer_request<message_type>{Reply, Message}, Now);
  };
  std::visit(Deliver, Command.Message);
}

void gang_registry::deliverLocalReply(const gang_reply &Command,
                                      time_point Now) {
  const auto Found = LocalCalls.find(Command.Reply.Id);
  if (Found == LocalCalls.end())
    return;
  const local_call Call = Found->second;
  LocalCalls.erase(Found);
  notifyLead(
      Call.Token,
      member_answered{Call.Token, OwnWorker, Call.Call, true, Command.Report},
      Now);
}

void gang_registry::removeFinishedLeads(time_point Now) {
  for (auto &[Token, Lead] : Leads) {
    if (Lead.phase() == lead_phase::Done)
      Ended.emplace(Token, Now + Timing.Retention);
  }
  std::erase_if(Leads, [](const auto &Entry) {
    return Entry.second.phase() == lead_phase::Done;
  });
  std::erase_if(Ended, [&](const auto &Entry) { return Now >= Entry.second; });
}

void gang_registry::requestTimer() {
  time_point At = Member.nextTimerAt();
  for (const auto &[Token, Lead] : Leads)
    At = std::min(At, Lead.nextTimerAt());
  Commands.emplace_back(set_gang_timer{At});
}

} // namespace geraniumpaddle
