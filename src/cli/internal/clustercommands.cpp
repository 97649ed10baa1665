#include "cli/commandline.h"

#include "cli/exitcodes.h"
#include "cli/internal/textformat.h"
#include "cli/tableprinter.h"
#include "transport/urlescape.h"

#include "api.pb.h"

namespace geraniumpaddle {

int command_line::endpoints(arguments) {
  proto::WorkerList List;
  Client.get("/v1/workers", List);
  if (printJson(List))
    return ExitOk;
  table_printer Table({"SERVICE", "WORKER", "ZONE", "STATE", "LINKED",
                       "IN FLIGHT", "SLOTS", "CONFIG"});
  for (const proto::WorkerStatus &Worker : List.workers())
    if (!Worker.service().empty())
      Table.add({Worker.service(), Worker.worker().id(), Worker.worker().zone(),
                 Worker.state(), Worker.linked() ? "yes" : "no",
                 std::to_string(Worker.in_flight()),
                 std::to_string(Worker.slots()),
                 std::to_string(Worker.config_version())});
  Table.print(Out);
  return ExitOk;
}

int command_line::workersList(arguments) {
  proto::WorkerList List;
  Client.get("/v1/workers", List);
  if (printJson(List))
    return ExitOk;
  table_printer Table({"WORKER", "REGION", "ZONE", "RACK", "ACCELERATORS",
                       "STATE", "AGENT", "LINKED"});
  for (const proto::WorkerStatus &Worker : List.workers())
    Table.add({Worker.worker().id(), Worker.worker().region(),
               Worker.worker().zone(), Worker.worker().rack(),
               std::to_string(Worker.worker().capacity().accelerators()),
               Worker.state(), Worker.agent(), Worker.linked() ? "yes" : "no"});
  Table.print(Out);
  return ExitOk;
}

int command_line::changeWorker(const std::string &Worker,
                               const std::string &Verb) {
  proto::WorkerStatus Status;
  Client.send("POST", "/v1/workers/" + urlEscape(Worker) + "/" + Verb, nullptr,
              Status);
  if (!printJson(Status))
    Out << "worker " << Status.worker().id() << " is " << Status.state()
        << '\n';
  return ExitOk;
}

int command_line::workersDrain(arguments Arguments) {
  return changeWorker(Arguments[0], "drain");
}

int command_line::workersQuarantine(arguments Arguments) {
  return changeWorker(Arguments[0], "quarantine");
}

int command_line::workersActivate(arguments Arguments) {
  return changeWorker(Arguments[0], "activate");
}

int command_line::audit(arguments) {
  std::string Query = "?since=" + std::to_string(Options.Since);
  if (!Options.Customer.empty())
    Query += "&customer=" + urlEscape(Options.Customer);
  if (!Options.Job.empty())
    Query += "&job=" + urlEscape(Options.Job);
  return printAudit(Query);
}

int command_line::printAudit(const std::string &Query) {
  proto::AuditList List;
  Client.get("/v1/audit" + Query, List);
  if (printJson(List))
    return ExitOk;
  table_printer Table({"OFFSET", "TIME", "ACTOR", "KIND", "CUSTOMER", "JOB",
                       "VERDICT", "DETAIL"});
  for (const proto::AuditEvent &Event : List.events())
    Table.add({std::to_string(Event.offset()), timeText(Event.at_ms()),
               Event.actor(), Event.kind(), Event.customer(), Event.job(),
               Event.verdict(), Event.detail()});
  Table.print(Out);
  return ExitOk;
}

int command_line::status(arguments) {
  proto::EntryStatus Status;
  Client.get("/v1/status", Status);
  if (printJson(Status))
    return ExitOk;
  Out << "entry " << Status.node() << " in " << Status.region() << '/'
      << Status.zone() << ": " << (Status.ready() ? "ready" : "not ready")
      << (Status.draining() ? ", draining" : "") << '\n'
      << "folded offset " << Status.folded() << ", configuration version "
      << Status.config_version() << ", log "
      << (Status.log_reachable() ? "reachable" : "NOT REACHABLE") << '\n'
      << Status.agents_linked() << " agents linked, " << Status.jobs_waiting()
      << " jobs waiting, " << Status.jobs_running() << " running\n";
  for (const std::string &Shortfall : Status.shortfalls())
    Out << "guarantee short: " << Shortfall << '\n';
  table_printer Table({"ENTRY", "REGION", "ZONE", "HTTP"});
  for (const proto::EntryAnnounced &Entry : Status.entries())
    Table.add(
        {Entry.node(), Entry.region(), Entry.zone(), Entry.http_address()});
  Table.print(Out);
  return ExitOk;
}

} // namespace geraniumpaddle
