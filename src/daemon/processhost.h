#pragma once

#include "logging/logging.h"
#include "metrics/metrics.h"
#include "peercodec/peercodec.h"
#include "settings/types/settings.h"
#include "transport/connectionlimiter.h"
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

/// The parts of a daemon process that are the same in every role: event loop,
/// clients, servers, metrics and the reload of the settings.
class process_host {
public:
  explicit process_host(const settings &Settings);

  event_loop &loop() { return Loop; }
  peer_client &peers() { return Peers; }
  http_client &http() { return Http; }
  metric_registry &metrics() { return Metrics; }
  const peer_identity &identity() const { return Identity; }

  /// Binds both interfaces and prints their ports on standard output. Serves
  /// /healthz and /metrics itself and passes other requests to \p HttpHandler.
  /// \throws bind_error
  void listen(peer_handler PeerHandler, http_handler HttpHandler);
  /// Binds another HTTP interface and prints its address.
  void addHttpListener(const std::string &Listen, http_handler HttpHandler);
  std::string peerAddress() const;
  std::string httpAddress() const;
  /// Runs until stop(); calls \p OnTerminate on SIGTERM and SIGINT.
  void run(const std::function<void()> &OnTerminate);
  /// Reloads the settings file at \p Path on SIGHUP and when it changes, and
  /// passes the new settings to \p OnChange if they are valid.
  void watchSettings(std::string Path,
                     std::function<void(const settings &)> OnChange);
  /// Stops listening and ends run() once the last responses are written, or
  /// after a time limit.
  void stop();

private:
  void reloadSettings();
  void scheduleSettingsCheck();
  bool serveBuiltinPage(const http_request_view &Request,
                        ihttp_responder &Responder);
  void stopWhenIdle(time_point StoppedAt);
  std::size_t sumOverServers(std::size_t (http_server::*Count)() const) const;
  void registerTrafficMetrics();
  void registerLimitMetrics();

  const settings Settings;
  event_loop Loop;
  metric_registry Metrics;
  traffic_counter Traffic;
  peer_client Peers;
  http_client Http;
  std::shared_ptr<connection_limiter> Limiter; ///< for all HTTP listeners
  peer_identity Identity;
  std::unique_ptr<peer_server> PeerServer;
  std::unique_ptr<http_server> HttpServer;
  std::string SettingsPath;
  std::string SettingsText; ///< last valid settings, as printed
  std::function<void(const settings &)> OnSettingsChange;
  timer SettingsTimer;
  logger Log{"settings"};
  logger ProcessLog{"process"};
  std::vector<std::unique_ptr<http_server>> ExtraHttpServers;
};

} // namespace geraniumpaddle
