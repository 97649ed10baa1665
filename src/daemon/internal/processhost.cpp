#include "daemon/processhost.h"

#include "settings/settingsreader.h"
#include "transport/address.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <utility>

namespace geraniumpaddle {

namespace {

/// Time between two checks whether the last responses are written.
constexpr duration ExitCheckInterval = std::chrono::milliseconds(200);
/// A caller may send one more request on a keep-alive connection, so the
/// process waits for open connections before it exits.
constexpr duration MaxConnectionWait = std::chrono::milliseconds(1400);
/// Limit of the wait for responses. With the drain of a role before it, the
/// process exits within the 6 s after which the platform kills it.
constexpr duration MaxResponseWait = std::chrono::milliseconds(2600);
/// The file may change without a SIGHUP, so it is checked periodically. Reading
/// it takes less than a millisecond.
constexpr duration SettingsCheckInterval = std::chrono::seconds(5);

/// Incarnations increase with every start, as long as the clock is not set back
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
  return Limits;
}

/// Parts of the VM's memory and of the process's descriptors that callers may
/// take up. The rest is for the process itself, the store, agents and entries.
constexpr std::int64_t HeldMemoryDivisor = 8;
constexpr std::int64_t CallerDescriptorsDivisor = 2;
constexpr std::int64_t BytesPerMb = std::int64_t{1024} * 1024;

/// What callers or peers may make the process hold. At least one body fits.
std::int64_t maxHeldBytes(const settings &Settings) {
  return std::max(Settings.MemoryMb * BytesPerMb / HeldMemoryDivisor,
                  Settings.MaxBodyBytes);
}

connection_limits connectionLimits(const settings &Settings) {
  return {.MaxConnections = static_cast<std::size_t>(
              std::min(Settings.MaxConnections,
                       Settings.MaxDescriptors / CallerDescriptorsDivisor)),
          .MaxHeldBytes = static_cast<std::size_t>(maxHeldBytes(Settings))};
}

peer_server_settings peerServerSettings(const settings &Settings) {
  // A message is held twice while it is decoded.
  constexpr std::int64_t CopiesOfMessage = 2;
  return {.BufferBytes = static_cast<std::size_t>(maxHeldBytes(Settings) /
                                                  CopiesOfMessage)};
}

} // namespace

process_host::process_host(const settings &Settings)
    : Settings(Settings), Peers(Loop, peer_client_settings{}, Traffic),
      Http(Loop, http_client_limits{}, Traffic),
      Limiter(std::make_shared<connection_limiter>(Loop,
                                                   connectionLimits(Settings))),
      Identity{node_id(Settings.Node), incarnationAt(Loop.wallNow())},
      SettingsTimer(Loop) {
  registerTrafficMetrics();
  registerLimitMetrics();
}

void process_host::listen(peer_handler PeerHandler, http_handler HttpHandler) {
  PeerServer = std::make_unique<peer_server>(Loop, Settings.PeerListen,
                                             peerServerSettings(Settings),
                                             std::move(PeerHandler), Traffic);
  HttpServer = std::make_unique<http_server>(
      Loop, Settings.HttpListen, serverLimits(Settings), Limiter,
      [this, HttpHandler = std::move(HttpHandler)](
          const http_request_view &Request,
          const std::shared_ptr<ihttp_responder> &Responder) {
        if (!serveBuiltinPage(Request, *Responder))
          HttpHandler(Request, Responder);
      });
  std::printf("listening peer=%s http=%s\n", peerAddress().c_str(),
              httpAddress().c_str());
  std::fflush(stdout);
}

bool process_host::serveBuiltinPage(const http_request_view &Request,
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

void process_host::addHttpListener(const std::string &Listen,
                                   http_handler HttpHandler) {
  ExtraHttpServers.push_back(std::make_unique<http_server>(
      Loop, Listen, serverLimits(Settings), Limiter, std::move(HttpHandler)));
  std::printf("listening also=%s\n",
              withPort(Listen, ExtraHttpServers.back()->port()).c_str());
  std::fflush(stdout);
}

std::string process_host::peerAddress() const {
  return withPort(Settings.PeerListen, PeerServer->port());
}

std::string process_host::httpAddress() const {
  return withPort(Settings.HttpListen, HttpServer->port());
}

void process_host::watchSettings(
    std::string Path, std::function<void(const settings &)> OnChange) {
  SettingsPath = std::move(Path);
  SettingsText = printSettings(Settings);
  OnSettingsChange = std::move(OnChange);
  Loop.onSignal(SIGHUP, [this] { reloadSettings(); });
  scheduleSettingsCheck();
}

void process_host::scheduleSettingsCheck() {
  SettingsTimer.start(SettingsCheckInterval, [this] {
    reloadSettings();
    scheduleSettingsCheck();
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
    OnSettingsChange(Next);
  } catch (const error &Problem) {
    // The process keeps its current settings.
    Log.warningEvent("settings_not_reloaded", {{"problem", Problem.what()}});
  }
}

void process_host::run(const std::function<void()> &OnTerminate) {
  Loop.onSignal(SIGTERM, OnTerminate);
  Loop.onSignal(SIGINT, OnTerminate);
  Loop.run();
}

void process_host::stop() {
  HttpServer->stopAccepting();
  PeerServer->stopAccepting();
  for (const auto &Server : ExtraHttpServers)
    Server->stopAccepting();
  stopWhenIdle(Loop.now());
}

void process_host::stopWhenIdle(time_point StoppedAt) {
  Loop.startTimer(ExitCheckInterval, [this, StoppedAt] {
    const duration Waited = Loop.now() - StoppedAt;
    const std::size_t Requests = sumOverServers(&http_server::openRequests);
    const std::size_t Connections =
        sumOverServers(&http_server::openConnections) + PeerServer->openCalls();
    const bool Wait = (Requests > 0 && Waited < MaxResponseWait) ||
                      (Connections > 0 && Waited < MaxConnectionWait);
    if (Wait) {
      stopWhenIdle(StoppedAt);
      return;
    }
    ProcessLog.event("stop", {{"unanswered_requests", Requests},
                              {"open_connections", Connections},
                              {"waited_ms", millisecondsOf(Waited)}});
    Loop.stop();
  });
}

std::size_t process_host::sumOverServers(std::size_t (http_server::*Count)()
                                             const) const {
  std::size_t Sum = (*HttpServer.*Count)();
  for (const auto &Server : ExtraHttpServers)
    Sum += (*Server.*Count)();
  return Sum;
}

void process_host::registerTrafficMetrics() {
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

void process_host::registerLimitMetrics() {
  Metrics.onRender([this] {
    const connection_counts &Counts = Limiter->counts();
    const auto Set = [this](std::string_view Name, std::string_view Help,
                            auto Value, const metric_labels &Labels = {}) {
      Metrics.getGauge(Name, Help, Labels).set(static_cast<double>(Value));
    };
    Set("geraniumpaddle_caller_connections", "Open connections of callers.",
        Counts.Open);
    Set("geraniumpaddle_caller_bytes",
        "Bytes that callers make the process hold.",
        Counts.BufferedBytes + Counts.HandledBytes);
    for (const auto &[Reason, Count] :
         {std::pair("bytes", Counts.ClosedForBytes),
          std::pair("place", Counts.ClosedForPlace)})
      Set("geraniumpaddle_caller_connections_closed",
          "Connections closed since the start to keep the limits, by reason.",
          Count, {{"reason", Reason}});
    Set("geraniumpaddle_caller_requests_refused",
        "Requests refused since the start to keep the limits.",
        Counts.RefusedRequests);
  });
}

} // namespace geraniumpaddle
