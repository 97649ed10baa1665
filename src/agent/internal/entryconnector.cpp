#include "agent/entryconnector.h"

#include "core/base/membertable.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace geraniumpaddle {

namespace {

/// Long enough for the entry to append to the log before it answers.
constexpr duration ReportTimeout = std::chrono::seconds(10);

duration delayUntil(time_point At, time_point Now) {
  return std::max(At - Now, duration::zero());
}

} // namespace

struct entry_connector::pending_report {
  proto::PeerRequest Request;
  std::size_t TriesLeft = 0;
  std::function<void(const proto::RecordVerdict &)> Done;
};

entry_connector::entry_connector(
    ievent_loop &Loop, ipeer_client &Peers, const peer_identity &Self,
    const link_settings &Settings,
    std::span<const std::string> ConfiguredAddresses,
    ientry_connector_delegate &Delegate)
    : Loop(Loop), Peers(Peers), Self(Self), Delegate(Delegate),
      Links(Settings, ConfiguredAddresses), LinkTimer(Loop) {}

void entry_connector::start() { push(links_started{}); }

void entry_connector::notifyStateChange() { push(agent_state_changed{}); }

void entry_connector::report(
    const proto::JobReport &Report,
    std::function<void(const proto::RecordVerdict &)> Done) {
  auto Pending = std::make_shared<pending_report>();
  Pending->Request = makeRequest(Self);
  *Pending->Request.mutable_job_report() = Report;
  Pending->TriesLeft = std::max<std::size_t>(Links.healthyLinks(), 1);
  Pending->Done = std::move(Done);
  auto First = Links.preferred();
  if (!First) {
    Loop.startTimer(duration::zero(),
                    [Pending] { Pending->Done(proto::RecordVerdict()); });
    return;
  }
  sendReport(Pending, std::string(*First));
}

void entry_connector::sendReport(const std::shared_ptr<pending_report> &Report,
                                 const std::string &Address) {
  Report->TriesLeft--;
  Peers.call(Address, Report->Request, ReportTimeout,
             [this, Report, Address, Alive = Alive](const peer_result &Result) {
               if (!*Alive)
                 return;
               bool Answered = Result.Status == call_status::Completed &&
                               Result.Response.has_verdict();
               if (Answered)
                 return Report->Done(Result.Response.verdict());
               if (Report->TriesLeft == 0)
                 return Report->Done(proto::RecordVerdict());
               sendReport(Report, std::string(Links.nextHealthy(Address)));
             });
}

void entry_connector::push(link_event Event) {
  using table =
      member_table<&entry_connector::onSend, &entry_connector::onReplace,
                   &entry_connector::onSetTimer>;
  Events.push(std::move(Event), [this](const link_event &Next) {
    for (const link_command &Command : Links.handle(Next, Loop.now()))
      table::dispatch(*this, Command);
  });
}

void entry_connector::onSend(const send_heartbeat &Command) {
  proto::PeerRequest Request = makeRequest(Self);
  *Request.mutable_heartbeat() =
      Delegate.makeHeartbeat(Command.WithRegistration);
  Peers.call(Command.Address, Request, Command.Timeout,
             [this, Address = Command.Address,
              Alive = Alive](const peer_result &Result) {
               if (*Alive)
                 onHeartbeatResult(Address, Result);
             });
}

void entry_connector::onReplace(const replace_connection &Command) {
  Peers.reconnect(Command.Address);
}

void entry_connector::onSetTimer(const set_links_timer &Command) {
  LinkTimer.start(delayUntil(Command.At, Loop.now()),
                  [this] { push(links_timer_expired{}); });
}

void entry_connector::onHeartbeatResult(const std::string &Address,
                                        const peer_result &Result) {
  bool Answered = Result.Status == call_status::Completed &&
                  Result.Response.has_heartbeat();
  if (!Answered)
    return push(heartbeat_failed{Address});
  const proto::HeartbeatReply &Reply = Result.Response.heartbeat();
  if (Reply.has_customers())
    Delegate.onCustomersReceived(Reply.customers());
  heartbeat_answered Event{Address,
                           std::chrono::milliseconds(Reply.interval_ms()),
                           Reply.registration_wanted(),
                           {}};
  for (const proto::EntryAnnounced &Entry : Reply.entries())
    Event.Entries.push_back(Entry.peer_address());
  push(std::move(Event));
}

} // namespace geraniumpaddle
