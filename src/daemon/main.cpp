#include "agent/agentrole.h"
#include "core/base/error.h"
#include "daemon/processhost.h"
#include "entry/entryrole.h"
#include "logging/logging.h"
#include "platform/httplogservice.h"
#include "platform/httpworker.h"
#include "settings/settingsreader.h"

#include <cstdio>
#include <gflags/gflags.h>
#include <sysexits.h>

DEFINE_string(settings, "", "YAML file with the settings of this process");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_bool(print_settings, false,
            "print the settings with all defaults and exit");

namespace geraniumpaddle {

namespace {

/// Limit of one call to the worker beside the agent.
constexpr duration WorkerTimeout = std::chrono::seconds(2);

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

void runEntry(const settings &Settings) {
  process_host Host(Settings);
  http_log_service Log(Host.http(), logServiceSettings(Settings));
  entry_role Role({Host.loop(), Host.peers(), Log, Host.metrics()}, Settings,
                  Host.identity(), [&Host] { Host.stop(); });
  Host.listen(
      [&Role](const proto::PeerRequest &Request,
              const peer_responder &Respond) {
        Role.handlePeer(Request, Respond);
      },
      [&Role](const http_request_view &Request,
              const std::shared_ptr<ihttp_responder> &Responder) {
        Role.handleHttp(Request, Responder);
      });
  Role.start(Host.peerAddress(), Host.httpAddress());
  Host.run([&Role] { Role.drain(); });
}

void runAgent(const settings &Settings) {
  process_host Host(Settings);
  http_worker Worker(Host.http(), Settings.WorkerAddress,
                     Settings.WorkerBasePath, WorkerTimeout);
  agent_role Role(
      {Host.loop(), Host.peers(), Host.http(), Worker, Host.metrics()},
      Settings, Host.identity(), [&Host] { Host.stop(); });
  Host.listen(
      [&Role](const proto::PeerRequest &Request,
              const peer_responder &Respond) {
        Role.handlePeer(Request, Respond);
      },
      [&Role](const http_request_view &Request,
              const std::shared_ptr<ihttp_responder> &Responder) {
        Role.handleHttp(Request, Responder);
      });
  Role.start(Host.peerAddress());
  Host.run([&Role] { Role.drain(); });
}

int runDaemon() {
  settings Settings = readSettingsFile(FLAGS_settings);
  if (FLAGS_print_settings) {
    std::fputs(printSettings(Settings).c_str(), stdout);
    return EX_OK;
  }
  if (FLAGS_check)
    return EX_OK;
  startLogging(
      {severityOf(Settings), Settings.LogFormat == log_format_setting::Json
                                 ? log_format::Json
                                 : log_format::KeyValue});
  if (Settings.Role == node_role::Entry)
    runEntry(Settings);
  else
    runAgent(Settings);
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
