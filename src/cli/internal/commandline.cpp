#include "cli/commandline.h"

#include "cli/exitcodes.h"
#include "cli/sheetcommands.h"
#include "cli/tableprinter.h"
#include "codec/protojson.h"
#include "codec/tokenhash.h"

#include "api.pb.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace geraniumpaddle {

namespace {

constexpr int Ok = 0;

std::string guaranteeText(const proto::CustomerConfig &Customer) {
  static constexpr auto Levels = std::to_array<std::string_view>(
      {"one", "two", "four", "eight", "worker", "rack"});
  std::string Text;
  for (const proto::Guarantee &Guarantee : Customer.guarantees()) {
    if (!Text.empty())
      Text += ' ';
    Text += std::to_string(Guarantee.count()) + 'x' +
            std::string(Levels[static_cast<std::size_t>(Guarantee.level())]);
  }
  return Text.empty() ? "-" : Text;
}

std::string numberText(double Value) {
  std::string Text = std::to_string(Value);
  Text.erase(Text.find_last_not_of('0') + 1);
  if (Text.back() == '.')
    Text.pop_back();
  return Text;
}

std::string limitText(double Value) {
  return Value == 0 ? "unlimited" : numberText(Value);
}

/// "2026-12-04 11:17:08.123" in UTC.
std::string timeText(std::int64_t Milliseconds) {
  constexpr std::int64_t PerSecond = 1000;
  std::time_t Seconds = Milliseconds / PerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Text{};
  std::strftime(Text.data(), Text.size(), "%F %T", &Parts);
  std::string Fraction = std::to_string(PerSecond + Milliseconds % PerSecond);
  return std::string(Text.data()) + '.' + Fraction.substr(1);
}

std::string placesText(const proto::JobStatus &Job) {
  std::string Text;
  for (const proto::TaskAssignment &Task : Job.assignments()) {
    if (!Text.empty())
      Text += ' ';
    Text += Task.worker() + (Task.guaranteed() ? "" : "(borrowed)");
  }
  return Text.empty() ? "-" : Text;
}

proto::Adjacency adjacencyOf(std::string_view Name) {
  static constexpr auto Names = std::to_array<std::string_view>(
      {"any", "region", "zone", "rack", "worker"});
  auto Found = std::find(Names.begin(), Names.end(), Name);
  if (Found == Names.end())
    throw invalid_argument_error(
        "--adjacency is any, region, zone, rack or worker");
  return static_cast<proto::Adjacency>(Found - Names.begin());
}

std::string urlEscape(std::string_view Text) {
  static constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Escaped;
  for (unsigned char C : Text) {
    if (std::isalnum(C) || C == '-' || C == '_' || C == '.') {
      Escaped += static_cast<char>(C);
    } else {
      Escaped += '%';
      Escaped += Digits[C >> 4U];
      Escaped += Digits[C & 15U];
    }
  }
  return Escaped;
}

} // namespace

/// One command: the words that name it, what follows them, what it does.
struct command_line::command {
  std::string_view Group;
  std::string_view Verb; ///< empty if the group alone is the command
  std::size_t Arguments;
  std::string_view Usage;
  std::string_view Summary;
  int (command_line::*Run)(arguments);
};

std::span<const command_line::command> command_line::commands() {
  using c = command_line;
  static constexpr auto Commands = std::to_array<command>({
      {"sheet", "check", 1, "FILE", "check a sheet without an entry",
       &c::sheetCheck},
      {"sheet", "diff", 1, "FILE", "show what a sheet would change",
       &c::sheetDiff},
      {"sheet", "apply", 1, "FILE",
       "apply a sheet whole [--allow_removals] [--max_changed_percent=N]",
       &c::sheetApply},
      {"config", "show", 0, "", "show the configuration in force",
       &c::configShow},
      {"config", "history", 0, "", "show accepted and rejected changes",
       &c::configHistory},
      {"customers", "", 0, "", "list customers, guarantees and limits",
       &c::customersList},
      {"customers", "set-token", 2, "CUSTOMER TOKEN",
       "set a customer's token; only its hash is stored",
       &c::customersSetToken},
      {"job", "submit", 1, "JOB",
       "submit a job --customer=C [--tasks=N] [--accelerators=N] "
       "[--milli_cores=N] [--memory_mb=N] [--adjacency=A] [--urgent] "
       "[--noidempotent] [--run_time_s=N] [--command=TEXT]",
       &c::jobSubmit},
      {"job", "status", 1, "JOB", "show a job and its steps", &c::jobStatus},
      {"job", "list", 0, "", "list waiting and running jobs", &c::jobList},
      {"job", "cancel", 1, "JOB", "cancel a job", &c::jobCancel},
      {"job", "explain", 1, "JOB", "tell why a job waits or was stopped",
       &c::jobExplain},
      {"request", "", 2, "SERVICE PATH",
       "send a request [--method=M] [--data=TEXT] [--noidempotent]",
       &c::sendRequest},
      {"endpoints", "", 0, "", "list endpoints and their load", &c::endpoints},
      {"workers", "list", 0, "", "list workers", &c::workersList},
      {"workers", "drain", 1, "WORKER", "place nothing new on a worker",
       &c::workersDrain},
      {"workers", "quarantine", 1, "WORKER", "quarantine a worker",
       &c::workersQuarantine},
      {"workers", "activate", 1, "WORKER", "let a worker back",
       &c::workersActivate},
      {"audit", "", 0, "",
       "show the audit trail [--since=OFFSET] [--customer=C] [--job=J]",
       &c::audit},
      {"status", "", 0, "", "show the state of an entry", &c::status},
  });
  return Commands;
}

command_line::command_line(api_client &Client, command_options Options,
                           std::ostream &Out)
    : Client(Client), Options(std::move(Options)), Out(Out) {}

std::string command_line::help() {
  std::string Text = "commands:\n";
  for (const command &Command : commands()) {
    std::string Name(Command.Group);
    for (std::string_view Part : {Command.Verb, Command.Usage})
      if (!Part.empty())
        Name.append(" ").append(Part);
    constexpr std::size_t Column = 36;
    Name.resize(std::max(Name.size() + 1, Column), ' ');
    Text.append("  ").append(Name).append(Command.Summary).append("\n");
  }
  return Text;
}

int command_line::run(std::span<const std::string> Words) {
  for (const command &Command : commands()) {
    std::size_t Names = Command.Verb.empty() ? 1 : 2;
    bool Named = Words.size() >= Names && Words[0] == Command.Group &&
                 (Names == 1 || Words[1] == Command.Verb);
    if (!Named || Words.size() != Names + Command.Arguments)
      continue;
    return (this->*Command.Run)(Words.subspan(Names));
  }
  throw invalid_argument_error("no such command; see --help");
}

bool command_line::printJson(const google::protobuf::Message &Body) {
  if (Options.Output != output_format::Json)
    return false;
  Out << geraniumpaddle::printJson(Body, json_layout::Indented);
  return true;
}

int command_line::sheetCheck(arguments Arguments) {
  parsed_sheet Sheet = readSheetFile(Arguments[0]);
  if (Sheet.ok()) {
    Out << Sheet.Customers.size() << " customers, no errors\n";
    return Ok;
  }
  printSheetErrors(Sheet.Errors, Out);
  return exitCodeOf(error_kind::InvalidArgument);
}

int command_line::sheetDiff(arguments Arguments) {
  parsed_sheet Sheet = readSheetFile(Arguments[0]);
  if (!Sheet.ok()) {
    printSheetErrors(Sheet.Errors, Out);
    return exitCodeOf(error_kind::InvalidArgument);
  }
  proto::CustomerList List;
  Client.get("/v1/customers", List);
  fetched_configuration Current(List);
  printDifference(compareSheet(Sheet.Customers, Current.view()), Out);
  return Ok;
}

int command_line::sheetApply(arguments Arguments) {
  parsed_sheet Sheet = readSheetFile(Arguments[0]);
  if (!Sheet.ok()) {
    printSheetErrors(Sheet.Errors, Out);
    return exitCodeOf(error_kind::InvalidArgument);
  }
  proto::CustomerList List;
  Client.get("/v1/customers", List);
  fetched_configuration Current(List);
  sheet_plan Plan = planSheet(
      Sheet, Current.view(), {Options.AllowRemovals, Options.MaxChangedPercent},
      Arguments[0]);
  if (!Plan.ok()) {
    printSheetErrors(Plan.Errors, Out);
    return exitCodeOf(error_kind::InvalidArgument);
  }
  printDifference(Plan.Difference, Out);
  if (Plan.Difference.empty())
    return Ok;
  proto::ChangeCustomers Change = toMessage(Plan.Change);
  proto::ChangeAccepted Accepted;
  Client.send("PUT", "/v1/customers", &Change, Accepted);
  Out << "in force as version " << Accepted.version() << " at offset "
      << Accepted.offset() << '\n';
  return Ok;
}

int command_line::configShow(arguments) {
  proto::CustomerList List;
  Client.get("/v1/customers", List);
  if (printJson(List))
    return Ok;
  Out << "version " << List.version() << ", made by offset "
      << List.version_offset() << ", last sheet at offset " << List.last_sheet()
      << ", " << List.customers_size() << " customers\n";
  return customersList({});
}

int command_line::configHistory(arguments) {
  proto::AuditList List;
  Client.get("/v1/audit?since=" + std::to_string(Options.Since), List);
  table_printer Table(
      {"OFFSET", "TIME", "ACTOR", "VERDICT", "WINNER", "DETAIL"});
  for (const proto::AuditEvent &Event : List.events())
    if (Event.kind() == "customers_changed")
      Table.add({std::to_string(Event.offset()), timeText(Event.at_ms()),
                 Event.actor(), Event.verdict(),
                 Event.winner() ? std::to_string(Event.winner()) : "-",
                 Event.detail()});
  if (!printJson(List))
    Table.print(Out);
  return Ok;
}

int command_line::customersList(arguments) {
  proto::CustomerList List;
  Client.get("/v1/customers", List);
  if (printJson(List))
    return Ok;
  table_printer Table({"CUSTOMER", "NAME", "GUARANTEED", "MAX ACCELERATORS",
                       "RATE/S", "IN FLIGHT", "TOKEN"});
  for (const proto::CustomerConfig &Customer : List.customers())
    Table.add({Customer.id(), Customer.display_name(), guaranteeText(Customer),
               limitText(Customer.max_accelerators()),
               limitText(Customer.limits().rate_per_second()),
               limitText(Customer.limits().in_flight()),
               Customer.token_hash().empty() ? "none" : "set"});
  Table.print(Out);
  return Ok;
}

int command_line::customersSetToken(arguments Arguments) {
  proto::CustomerList List;
  Client.get("/v1/customers", List);
  proto::ChangeCustomers Change;
  Change.set_base(List.version());
  Change.set_source_detail("customers set-token");
  for (const proto::CustomerConfig &Customer : List.customers())
    if (Customer.id() == Arguments[0])
      *Change.add_put() = Customer;
  if (Change.put().empty())
    throw not_found_error("no customer " + Arguments[0]);
  Change.mutable_put(0)->set_token_hash(hashToken(Arguments[1]));
  proto::ChangeAccepted Accepted;
  Client.send("PUT", "/v1/customers", &Change, Accepted);
  Out << "in force as version " << Accepted.version() << '\n';
  return Ok;
}

int command_line::jobSubmit(arguments Arguments) {
  proto::SubmitJob Body;
  proto::JobSpec &Spec = *Body.mutable_spec();
  Spec.set_id(Arguments[0]);
  Spec.set_customer(Options.Customer);
  for (std::uint32_t I = 0; I < Options.Tasks; ++I) {
    proto::Resources &Task = *Spec.add_tasks();
    Task.set_accelerators(Options.Accelerators);
    Task.set_milli_cores(Options.MilliCores);
    Task.set_memory_mb(Options.MemoryMb);
  }
  Spec.set_adjacency(adjacencyOf(Options.Adjacency));
  Spec.set_urgent(Options.Urgent);
  Spec.set_non_idempotent(!Options.Idempotent);
  Spec.set_declared_run_time_s(Options.RunTimeSeconds);
  Spec.set_command(Options.Command);
  proto::JobStatus Job;
  Client.send("POST", "/v1/jobs", &Body, Job);
  if (!printJson(Job))
    Out << "job " << Job.spec().id() << " is " << Job.state() << '\n';
  return Ok;
}

int command_line::jobStatus(arguments Arguments) {
  proto::JobStatus Job;
  Client.get("/v1/jobs/" + urlEscape(Arguments[0]), Job);
  if (printJson(Job))
    return Ok;
  Out << "job " << Job.spec().id() << " of " << Job.spec().customer() << " is "
      << Job.state() << ", attempt " << Job.attempt() << ", on "
      << placesText(Job) << '\n';
  table_printer Table({"OFFSET", "TIME", "STEP", "DETAIL"});
  for (const proto::JobStep &Step : Job.steps())
    Table.add({std::to_string(Step.offset()), timeText(Step.at_ms()),
               Step.step(), Step.detail()});
  Table.print(Out);
  return Ok;
}

int command_line::jobList(arguments) {
  proto::JobList List;
  Client.get("/v1/jobs", List);
  if (printJson(List))
    return Ok;
  table_printer Table(
      {"JOB", "CUSTOMER", "STATE", "ATTEMPT", "TASKS", "EXPLANATION"});
  for (const proto::JobStatus &Job : List.jobs())
    Table.add({Job.spec().id(), Job.spec().customer(), Job.state(),
               std::to_string(Job.attempt()),
               std::to_string(Job.spec().tasks_size()), Job.explanation()});
  Table.print(Out);
  return Ok;
}

int command_line::jobCancel(arguments Arguments) {
  proto::JobStatus Job;
  Client.send("DELETE", "/v1/jobs/" + urlEscape(Arguments[0]), nullptr, Job);
  if (!printJson(Job))
    Out << "job " << Job.spec().id() << " is " << Job.state() << '\n';
  return Ok;
}

int command_line::jobExplain(arguments Arguments) {
  proto::JobStatus Job;
  Client.get("/v1/jobs/" + urlEscape(Arguments[0]), Job);
  if (!printJson(Job))
    Out << "job " << Job.spec().id() << " is " << Job.state() << ": "
        << Job.explanation() << '\n';
  return Ok;
}

int command_line::sendRequest(arguments Arguments) {
  std::string Path =
      Arguments[1].starts_with('/') ? Arguments[1] : "/" + Arguments[1];
  std::vector<http_header> Headers = {
      {"X-Idempotent", Options.Idempotent ? "true" : "false"}};
  http_result Result =
      Client.request(Options.Method, "/call/" + Arguments[0] + Path,
                     std::move(Headers), Options.Data);
  Out << Result.Body;
  auto Outcome = std::find_if(
      Result.Headers.begin(), Result.Headers.end(),
      [](const http_header &Header) { return Header.Name == "X-Outcome"; });
  if (Outcome == Result.Headers.end() || Outcome->Value == "answered")
    return Ok;
  return exitCodeOf(Outcome->Value == "undetermined" ? error_kind::Undetermined
                                                     : error_kind::Unavailable);
}

int command_line::endpoints(arguments) {
  proto::WorkerList List;
  Client.get("/v1/workers", List);
  if (printJson(List))
    return Ok;
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
  return Ok;
}

int command_line::workersList(arguments) {
  proto::WorkerList List;
  Client.get("/v1/workers", List);
  if (printJson(List))
    return Ok;
  table_printer Table({"WORKER", "REGION", "ZONE", "RACK", "ACCELERATORS",
                       "STATE", "AGENT", "LINKED"});
  for (const proto::WorkerStatus &Worker : List.workers())
    Table.add({Worker.worker().id(), Worker.worker().region(),
               Worker.worker().zone(), Worker.worker().rack(),
               std::to_string(Worker.worker().capacity().accelerators()),
               Worker.state(), Worker.agent(), Worker.linked() ? "yes" : "no"});
  Table.print(Out);
  return Ok;
}

int command_line::changeWorker(const std::string &Worker,
                               const std::string &Verb) {
  proto::WorkerStatus Status;
  Client.send("POST", "/v1/workers/" + urlEscape(Worker) + "/" + Verb, nullptr,
              Status);
  if (!printJson(Status))
    Out << "worker " << Status.worker().id() << " is " << Status.state()
        << '\n';
  return Ok;
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
    return Ok;
  table_printer Table({"OFFSET", "TIME", "ACTOR", "KIND", "CUSTOMER", "JOB",
                       "VERDICT", "DETAIL"});
  for (const proto::AuditEvent &Event : List.events())
    Table.add({std::to_string(Event.offset()), timeText(Event.at_ms()),
               Event.actor(), Event.kind(), Event.customer(), Event.job(),
               Event.verdict(), Event.detail()});
  Table.print(Out);
  return Ok;
}

int command_line::status(arguments) {
  proto::EntryStatus Status;
  Client.get("/v1/status", Status);
  if (printJson(Status))
    return Ok;
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
  return Ok;
}

} // namespace geraniumpaddle
