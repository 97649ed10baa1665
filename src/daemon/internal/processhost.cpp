#include "daemon/processhost.h"

#include "settings/settingsreader.h"
#include "transport/address.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <utility>

namespace geraniumpaddle {

namespace {

/// Time for the last answers to be written out before the loop ends.
constexpr duration ExitDelay = std::chrono::milliseconds(200);
/// A kept connection of a caller may carry one more request until it closes.
constexpr int MaxExitDelays = 7;
/// The file may change without a signal; reading it takes under a millisecond.
constexpr duration SettingsInterval = std::chrono::seconds(5);

/// Later starts have larger incarnations, as long as a clock does not go back
/// by more than the time between two starts.
incarnation incarnationAt(wall_time Now) {
  return incarnation{
      static_cast<std::uint64_t>(Now.time_since_epoch().count())};
}

std::string withPort(const std::string &Listen, std::uint16_t Port) {
  socket_address Address = parseAddress(Listen);
  Address.Port = Port;
  return Address.str();
}

http_server_limits serverLimits(const settings &Settings) {
  http_server_limits Limits;
  Limits.MaxBodyBytes = static_cast<std::size_t>(Settings.MaxBodyBytes);
  Limits.MaxConnections = static_cast<std::size_t>(Settings.MaxConnections);
  return Limits;
}

} // namespace

process_host::process_host(const settings &Settings)
    : Settings(Settings), Peers(Loop, peer_client_settings{}, Traffic),
      Http(Loop, http_client_limits{}, Traffic), Self{node_id(Settings.Node),
                                                      incarnationAt(
                                                          Loop.wallNow())},
      SettingsLook(Loop) {
  registerTraffic();
}

void process_host::listen(peer_handler Peer, http_handler Handler) {
  PeerServer = std::make_unique<peer_server>(Loop, Settings.PeerListen,
                                             peer_server_settings{},
                                             std::move(Peer), Traffic);
  HttpServer = std::make_unique<http_server>(
      Loop, Settings.HttpListen, serverLimits(Settings),
      [this, Handler = std::move(Handler)](
          const http_request_view &Request,
          const std::shared_ptr<ihttp_responder> &Responder) {
        if (!servePage(Request, *Responder))
          Handler(Request, Responder);
      });
  std::printf("listening peer=%s http=%s\n", peerAddress().c_str(),
              httpAddress().c_str());
  std::fflush(stdout);
}

bool process_host::servePage(const http_request_view &Request,
                             ihttp_responder &Responder) {
  constexpr int Success = 200;
  if (Request.Path == "/healthz")
    Responder.respond(textResponse(Success, "ok\n"));
  else if (Request.Path == "/metrics")
    Responder.respond(textResponse(Success, Metrics.render()));
  else
    return false;
  return true;
}

void process_host::listenAlso(const std::string &Listen, http_handler Handler) {
  MoreServers.push_back(std::make_unique<http_server>(
      Loop, Listen, serverLimits(Settings), std::move(Handler)));
  std::printf("listening also=%s\n",
              withPort(Listen, MoreServers.back()->port()).c_str());
  std::fflush(stdout);
}

std::string process_host::peerAddress() const {
  return withPort(Settings.PeerListen, PeerServer->port());
}

std::string process_host::httpAddress() const {
  return withPort(Settings.HttpListen, HttpServer->port());
}

void process_host::watchSettings(std::string Path,
                                 std::function<void(const settings &)> Take) {
  SettingsPath = std::move(Path);
  SettingsText = printSettings(Settings);
  TakeSettings = std::move(Take);
  Loop.onSignal(SIGHUP, [this] { reloadSettings(); });
  lookAtSettings();
}

void process_host::lookAtSettings() {
  SettingsLook.start(SettingsInterval, [this] {
    reloadSettings();
    lookAtSettings();
  });
}

void process_host::reloadSettings() {
  try {
    const settings Next = readSettingsFile(SettingsPath);
    std::string Text = printSettings(Next);
    if (Text == SettingsText)
      return;
    SettingsText = std::move(Text);
    Log.event("settings_reloaded", {{"file", SettingsPath}});
    TakeSettings(Next);
  } catch (const error &Problem) {
    // The process goes on with the settings that it has.
    Log.warningEvent("settings_not_reloaded", {{"problem", Problem.what()}});
  }
}

void process_host::run(const std::function<void()> &Drain) {
  Loop.onSignal(SIGTERM, Drain);
  Loop.onSignal(SIGINT, Drain);
  Loop.run();
}

void process_host::stop() {
  HttpServer->stopAccepting();
  PeerServer->stopAccepting();
  for (const auto &Server : MoreServers)
    Server->stopAccepting();
  endWhenWritten(MaxExitDelays);
}

void process_host::endWhenWritten(int DelaysLeft) {
  Loop.startTimer(ExitDelay, [this, DelaysLeft] {
    const bool Busy = HttpServer->openConnections() > 0 ||
                      PeerServer->openCalls() > 0 ||
                      std::any_of(MoreServers.begin(), MoreServers.end(),
                                  [](const auto &Server) {
                                    return Server->openConnections() > 0;
                                  });
    if (Busy && DelaysLeft > 0)
      endWhenWritten(DelaysLeft - 1);
    else
      Loop.stop();
  });
}

void process_host::registerTraffic() {
  Metrics.onRender([this] {
    for (const auto &[Key, Count] : Traffic.counts()) {
      metric_labels Labels = {{"scope", Key.Scope}, {"cause", Key.Cause}};
      Metrics
          .getGauge("geraniumpaddle_bytes_in",
                    "Bytes received since the start, by cause.", Labels)
          .set(static_cast<double>(Count.BytesIn));
      Metrics
          .getGauge("geraniumpaddle_bytes_out",
                    "Bytes sent since the start, by cause.", Labels)
          .set(static_cast<double>(Count.BytesOut));
    }
  });
}

} // namespace geraniumpaddle
