#include "agent/agentrole.h"
#include "core/base/error.h"
#include "daemon/processhost.h"
#include "entry/entryrole.h"
#include "jobagent/jobagentrole.h"
#include "jobentry/jobentryrole.h"
#include "logging/logging.h"
#include "logging/standardoutput.h"
#include "platform/httplogservice.h"
#include "platform/httpstoretransport.h"
#include "platform/httpworker.h"
#include "platform/storeclient.h"
#include "platform/taskworkerclient.h"
#include "settings/settingsreader.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>
#include <sysexits.h>
#include <unistd.h>

DEFINE_string(settings, "", "YAML file with the settings of this process");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_bool(print_settings, false,
            "print the settings with all defaults and exit");

namespace geraniumpaddle {

namespace {

/// Timeout of one call from an agent to its worker.
constexpr duration WorkerCallTimeout = std::chrono::seconds(2);

log_severity severityOf(const settings &Settings) {
  if (Settings.LogLevel == "error")
    return log_severity::Error;
  if (Settings.LogLevel == "warning")
    return log_severity::Warning;
  return Settings.LogLevel == "info" ? log_severity::Info : log_severity::Debug;
}

http_log_settings logServiceSettings(const settings &Settings) {
  http_log_settings Log;
  Log.Address = Settings.LogAddress;
  Log.AppendPath = Settings.LogAppendPath;
  Log.ReadPath = Settings.LogReadPath;
  Log.AppendTimeout = Settings.LogTimeout;
  Log.ReadGrace = Settings.LogTimeout;
  return Log;
}

/// Adapts a member function of a role to a request handler of a server.
template <typename Role> peer_handler peerHandler(Role &Target) {
  return [&Target](const proto::PeerRequest &Request,
                   const peer_responder &Respond) {
    Target.handlePeer(Request, Respond);
  };
}
template <auto Member, typename Role> http_handler httpHandler(Role &Target) {
  return [&Target](const http_request_view &Request,
                   const std::shared_ptr<ihttp_responder> &Responder) {
    (Target.*Member)(Request, Responder);
  };
}

void respondWithNotFound(const http_request_view &,
                         const std::shared_ptr<ihttp_responder> &Responder) {
  constexpr int NotFound = 404;
  Responder->respond(textResponse(NotFound, "no such page\n"));
}

void runEntry(const settings &Settings) {
  process_host Host(Settings);
  http_log_service Log(Host.http(), logServiceSettings(Settings));
  entry_role Role({Host.loop(), Host.peers(), Log, Host.metrics()}, Settings,
                  Host.identity(), [&Host] { Host.stop(); });
  Host.listen(peerHandler(Role), httpHandler<&entry_role::handleHttp>(Role));
  Role.start(Host.peerAddress(), Host.httpAddress());
  Host.watchSettings(FLAGS_settings, [](const settings &) {});
  Host.run([&Role] { Role.drain(); });
}

void runAgent(const settings &Settings) {
  process_host Host(Settings);
  http_worker Worker(Host.http(), Settings.WorkerAddress,
                     Settings.WorkerBasePath, WorkerCallTimeout);
  agent_role Role(
      {Host.loop(), Host.peers(), Host.http(), Worker, Host.metrics()},
      Settings, Host.identity(), [&Host] { Host.stop(); });
  Host.listen(peerHandler(Role), httpHandler<&agent_role::handleHttp>(Role));
  Role.start(Host.peerAddress());
  Host.watchSettings(FLAGS_settings, [](const settings &) {});
  Host.run([&Role] { Role.drain(); });
}

/// Added to the wait time of a read from the store for its timeout. Short,
/// since a store that has failed often just stops responding.
constexpr duration StoreReadGrace = std::chrono::milliseconds(800);
/// Timeout of a call from a job agent to its worker, in addition to the time
/// that the worker may wait before it responds.
constexpr duration TaskCallTimeout = std::chrono::milliseconds(600);

void runJobEntry(const settings &Settings) {
  process_host Host(Settings);
  http_store_transport Direct(Host.http(), Settings.StoreAddress);
  relaying_transport Transport(Host.loop(), Host.peers(), Direct,
                               Host.identity());
  store_client Store(Transport, StoreReadGrace);
  job_entry_role Role(
      {Host.loop(), Host.peers(), Store, Transport, Host.metrics()}, Settings,
      Host.identity(), [&Host] { Host.stop(); });
  Host.listen(peerHandler(Role), respondWithNotFound);
  Host.addHttpListener(Settings.FrontListen,
                       httpHandler<&job_entry_role::handleFront>(Role));
  Host.addHttpListener(Settings.ReadinessListen,
                       httpHandler<&job_entry_role::handleReadiness>(Role));
  Role.start(Host.peerAddress());
  Host.watchSettings(FLAGS_settings, [](const settings &) {});
  Host.run([&Role] { Role.drain(); });
}

void runJobAgent(const settings &Settings) {
  process_host Host(Settings);
  http_store_transport Transport(Host.http(), Settings.StoreAddress);
  store_client Store(Transport, StoreReadGrace);
  task_worker_client Worker(Host.http(), TaskCallTimeout);
  job_agent_role Role({Host.loop(), Host.peers(), Store, Worker}, Settings,
                      Host.identity(), [&Host] { Host.stop(); });
  Host.listen(
      [](const proto::PeerRequest &, const peer_responder &Respond) {
        // Job agents send peer requests but do not serve any.
        proto::PeerResponse Response;
        Response.set_refusal(proto::REFUSAL_INVALID);
        Respond(std::move(Response));
      },
      respondWithNotFound);
  Host.addHttpListener(Settings.ControlListen,
                       httpHandler<&job_agent_role::handleControl>(Role));
  Role.start();
  Host.watchSettings(FLAGS_settings, [&Role](const settings &Settings) {
    Role.applySettings(Settings);
  });
  Host.run([&Role] { Role.drain(); });
}

int runDaemon() {
  // Without a handler they would end the process.
  holdSignals(std::array{SIGHUP, SIGTERM, SIGINT});
  settings Settings = readSettingsFile(FLAGS_settings);
  if (FLAGS_print_settings) {
    std::fputs(printSettings(Settings).c_str(), stdout);
    return EX_OK;
  }
  if (FLAGS_check)
    return EX_OK;
  static standard_output Output(
      STDOUT_FILENO, static_cast<std::uint32_t>(Settings.LogLinesPerSecond));
  startLogging({.Threshold = severityOf(Settings),
                .Format = Settings.LogFormat == log_format_setting::Json
                              ? log_format::Json
                              : log_format::KeyValue,
                .Output = &Output});
  using role_function = void (*)(const settings &);
  static constexpr std::array<role_function, 4> Roles{
      &runEntry, &runAgent, &runJobEntry, &runJobAgent};
  Roles.at(static_cast<std::size_t>(Settings.Role))(Settings);
  return EX_OK;
}

int exitCodeOf(error_kind Kind) {
  switch (Kind) {
  case error_kind::InvalidSettings:
    return EX_CONFIG;
  case error_kind::Unavailable:
    return EX_UNAVAILABLE;
  default:
    return EX_SOFTWARE;
  }
}

} // namespace

} // namespace geraniumpaddle

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("--settings FILE [--check] [--print_settings]");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  try {
    return geraniumpaddle::runDaemon();
  } catch (const geraniumpaddle::error &Failure) {
    std::fprintf(stderr, "geraniumpaddled: %s\n", Failure.what());
    return geraniumpaddle::exitCodeOf(Failure.kind());
  }
}
