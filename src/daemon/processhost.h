#pragma once

#include "logging/logging.h"
#include "metrics/metrics.h"
#include "peercodec/peercodec.h"
#include "settings/types/settings.h"
#include "transport/eventloop.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/peerclient.h"
#include "transport/peerserver.h"
#include "transport/timer.h"
#include "transport/traffic.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// What every role is built on: the loop, the clients and the two servers.
class process_host {
public:
  explicit process_host(const settings &Settings);

  event_loop &loop() { return Loop; }
  peer_client &peers() { return Peers; }
  http_client &http() { return Http; }
  metric_registry &metrics() { return Metrics; }
  const peer_identity &identity() const { return Self; }

  /// Binds both interfaces and prints their ports on standard output. /healthz
  /// and /metrics are served here; \p Http has the rest.
  /// \throws bind_error
  void listen(peer_handler Peer, http_handler Http);
  /// Binds one more HTTP interface.
  void listenAlso(const std::string &Listen, http_handler Handler);
  std::string peerAddress() const;
  std::string httpAddress() const;
  /// Runs until stop(); \p Drain is called on SIGTERM and SIGINT.
  void run(const std::function<void()> &Drain);
  /// Reads the settings at \p Path again on SIGHUP and when the file changes,
  /// and hands valid ones to \p Take.
  void watchSettings(std::string Path,
                     std::function<void(const settings &)> Take);
  /// Stops listening and ends run() once the last answers are written out.
  void stop();

private:
  void reloadSettings();
  void lookAtSettings();
  bool servePage(const http_request_view &Request, ihttp_responder &Responder);
  void endWhenWritten(int DelaysLeft);
  void registerTraffic();

  const settings Settings;
  event_loop Loop;
  metric_registry Metrics;
  traffic_counter Traffic;
  peer_client Peers;
  http_client Http;
  peer_identity Self;
  std::unique_ptr<peer_server> PeerServer;
  std::unique_ptr<http_server> HttpServer;
  std::string SettingsPath;
  std::string SettingsText; ///< as last read
  std::function<void(const settings &)> TakeSettings;
  timer SettingsLook;
  logger Log{"settings"};
  std::vector<std::unique_ptr<http_server>> MoreServers;
};

} // namespace geraniumpaddle
