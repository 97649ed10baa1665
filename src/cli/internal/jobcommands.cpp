#include "cli/commandline.h"

#include "cli/exitcodes.h"
#include "cli/internal/textformat.h"
#include "cli/tableprinter.h"
#include "transport/urlescape.h"

#include "api.pb.h"

#include <algorithm>
#include <array>
#include <strings.h>

namespace geraniumpaddle {

namespace {

std::string assignmentsText(const proto::JobStatus &Job) {
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
  const auto *Found = std::find(Names.begin(), Names.end(), Name);
  if (Found == Names.end())
    throw invalid_argument_error(
        "--adjacency is any, region, zone, rack or worker");
  return static_cast<proto::Adjacency>(Found - Names.begin());
}

/// The outcome that the entry reports in X-Outcome; empty if there is none.
std::string outcomeOf(const http_result &Result) {
  for (const http_header &Header : Result.Headers)
    if (strcasecmp(Header.Name.c_str(), "X-Outcome") == 0)
      return Header.Value;
  return "";
}

} // namespace

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
  return ExitOk;
}

int command_line::jobStatus(arguments Arguments) {
  proto::JobStatus Job;
  Client.get("/v1/jobs/" + urlEscape(Arguments[0]), Job);
  if (printJson(Job))
    return ExitOk;
  Out << "job " << Job.spec().id() << " of " << Job.spec().customer() << " is "
      << Job.state() << ", attempt " << Job.attempt() << ", on "
      << assignmentsText(Job) << '\n';
  table_printer Table({"OFFSET", "TIME", "STEP", "DETAIL"});
  for (const proto::JobStep &Step : Job.steps())
    Table.add({std::to_string(Step.offset()), timeText(Step.at_ms()),
               Step.step(), Step.detail()});
  Table.print(Out);
  return ExitOk;
}

int command_line::jobList(arguments) {
  proto::JobList List;
  Client.get("/v1/jobs", List);
  if (printJson(List))
    return ExitOk;
  table_printer Table(
      {"JOB", "CUSTOMER", "STATE", "ATTEMPT", "TASKS", "EXPLANATION"});
  for (const proto::JobStatus &Job : List.jobs())
    Table.add({Job.spec().id(), Job.spec().customer(), Job.state(),
               std::to_string(Job.attempt()),
               std::to_string(Job.spec().tasks_size()), Job.explanation()});
  Table.print(Out);
  return ExitOk;
}

int command_line::jobCancel(arguments Arguments) {
  proto::JobStatus Job;
  Client.send("DELETE", "/v1/jobs/" + urlEscape(Arguments[0]), nullptr, Job);
  if (!printJson(Job))
    Out << "job " << Job.spec().id() << " is " << Job.state() << '\n';
  return ExitOk;
}

int command_line::jobExplain(arguments Arguments) {
  proto::JobStatus Job;
  Client.get("/v1/jobs/" + urlEscape(Arguments[0]), Job);
  if (!printJson(Job))
    Out << "job " << Job.spec().id() << " is " << Job.state() << ": "
        << Job.explanation() << '\n';
  return ExitOk;
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
  std::string Outcome = outcomeOf(Result);
  if (Outcome == "answered")
    return ExitOk;
  return exitCodeOf(Outcome == "not_run" ? error_kind::Unavailable
                                         : error_kind::Undetermined);
}

} // namespace geraniumpaddle
