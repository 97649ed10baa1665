#pragma once

#include "core/base/eventqueue.h"
#include "core/links/entrylinks.h"
#include "peercodec/peercodec.h"
#include "transport/ieventloop.h"
#include "transport/ipeerclient.h"
#include "transport/timer.h"

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace geraniumpaddle {

/// Provides the agent's heartbeats and receives the entries' configuration.
class ientry_connector_delegate {
public:
  virtual ~ientry_connector_delegate() = default;

  /// The agent's current state.
  /// \param WithRegistration whether to include the worker and the endpoint.
  virtual proto::Heartbeat makeHeartbeat(bool WithRegistration) = 0;
  /// An entry sent its configuration, which may be older than the one in force.
  virtual void
  onCustomersReceived(const proto::CustomersInForce &Customers) = 0;
};

/// Executes the commands of entry_links: sends heartbeats to the entries of the
/// region. Also sends job reports to any of these entries.
class entry_connector {
public:
  entry_connector(ievent_loop &Loop, ipeer_client &Peers,
                  const peer_identity &Self, const link_settings &Settings,
                  std::span<const std::string> ConfiguredAddresses,
                  ientry_connector_delegate &Delegate);

  void start();
  /// Sends a heartbeat with the changed state on every link immediately.
  void notifyStateChange();
  std::size_t healthyLinks() const { return Links.healthyLinks(); }

  /// Asks the entries to record a job step, one after the other until one
  /// answers. \param Done called once; the verdict is undetermined if no entry
  /// answered with one.
  void report(const proto::JobReport &Report,
              std::function<void(const proto::RecordVerdict &)> Done);

private:
  struct pending_report;

  void push(link_event Event);
  void onSend(const send_heartbeat &Command);
  void onReplace(const replace_connection &Command);
  void onSetTimer(const set_links_timer &Command);
  void onHeartbeatResult(const std::string &Address, const peer_result &Result);
  void sendReport(const std::shared_ptr<pending_report> &Report,
                  const std::string &Address);

  ievent_loop &Loop;
  ipeer_client &Peers;
  const peer_identity Self;
  ientry_connector_delegate &Delegate;
  entry_links Links;
  event_queue<link_event> Events;
  timer LinkTimer;
  /// Shared with the callbacks of calls in flight, which may outlive this.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
