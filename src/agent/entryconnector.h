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

/// What the agent tells and learns on its links.
class ilink_content {
public:
  virtual ~ilink_content() = default;

  /// The agent's present state. \param WithRegistration the worker and the
  /// endpoint are described too.
  virtual proto::Heartbeat heartbeat(bool WithRegistration) = 0;
  /// A configuration that an entry has; it may be older than the one in force.
  virtual void learnCustomers(const proto::CustomersInForce &Customers) = 0;
};

/// Carries out the decisions of entry_links: heartbeats to the entries of the
/// region, and reports to any of them.
class entry_connector {
public:
  entry_connector(ievent_loop &Loop, ipeer_client &Peers,
                  const peer_identity &Self, const link_settings &Settings,
                  std::span<const std::string> Configured,
                  ilink_content &Content);

  void start();
  /// Sends a heartbeat on every link at once.
  void sendStateChange();
  std::size_t healthyLinks() const { return Links.healthyLinks(); }

  /// Asks entries, one after the other until one answers, to record a step.
  /// \param Done called once; not determined if no entry answered with a
  /// verdict.
  void report(const proto::JobReport &Report,
              std::function<void(const proto::RecordVerdict &)> Done);

private:
  struct pending_report;

  void push(link_event Event);
  void onSend(const send_heartbeat &Command);
  void onReplace(const replace_connection &Command);
  void onSetTimer(const set_links_timer &Command);
  void onAnswer(const std::string &Address, const peer_result &Result);
  void tryEntry(const std::shared_ptr<pending_report> &Report,
                const std::string &Address);

  ievent_loop &Loop;
  ipeer_client &Peers;
  const peer_identity Self;
  ilink_content &Content;
  entry_links Links;
  event_queue<link_event> Events;
  timer StateMachineTimer;
  /// Outlived by callbacks of calls in flight when the agent ends.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
