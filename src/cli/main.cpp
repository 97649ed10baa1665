#include "cli/apiclient.h"
#include "cli/commandline.h"
#include "cli/exitcodes.h"
#include "codec/tokenhash.h"
#include "transport/eventloop.h"
#include "transport/httpclient.h"
#include "transport/traffic.h"

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

DEFINE_string(entry, "",
              "ip:port of an entry; may be given more than once, the next is "
              "tried when one does not answer (default: GERANIUMPADDLE_ENTRY)");
DEFINE_string(token, "",
              "token of the operators or of --customer (default: "
              "GERANIUMPADDLE_TOKEN)");
DEFINE_string(actor, "", "name for the audit trail");
DEFINE_string(output, "table", "table or json");
DEFINE_uint32(timeout_ms, 10000, "limit of one call");
DEFINE_string(customer, "", "customer of a job, a request or an audit");
DEFINE_bool(as_customer, false,
            "act as --customer, with its token, not as an operator");
DEFINE_string(job, "", "job whose audit is shown");
DEFINE_uint64(since, 0, "first offset shown");
DEFINE_bool(allow_removals, false, "let a sheet remove customers");
DEFINE_uint32(max_changed_percent, 50,
              "largest share of customers that a sheet may change");
DEFINE_uint32(tasks, 1, "tasks of a job");
DEFINE_int32(accelerators, 1, "accelerators of each task");
DEFINE_int64(milli_cores, 1000, "thousandths of a core of each task");
DEFINE_int64(memory_mb, 1024, "memory of each task");
DEFINE_string(adjacency, "any", "any, region, zone, rack or worker");
DEFINE_bool(urgent, false, "place the job before others");
DEFINE_bool(idempotent, true, "the job or request may run more than once");
DEFINE_int64(run_time_s, 0, "expected run time of a job");
DEFINE_string(command, "", "what the workers run");
DEFINE_string(method, "GET", "method of a request");
DEFINE_string(data, "", "body of a request");

namespace geraniumpaddle {

namespace {

/// Removes the --entry flags from \p Arguments and returns their values. gflags
/// keeps only the last value of a flag that is given more than once.
std::vector<std::string> extractEntryFlags(std::vector<char *> &Arguments) {
  constexpr std::string_view Prefix = "--entry=";
  std::vector<std::string> Entries;
  std::erase_if(Arguments, [&](char *Argument) {
    std::string_view Text(Argument);
    if (!Text.starts_with(Prefix))
      return false;
    Entries.emplace_back(Text.substr(Prefix.size()));
    return true;
  });
  return Entries;
}

std::string valueOrEnvironment(const std::string &Value, const char *Variable) {
  const char *Text = Value.empty() ? std::getenv(Variable) : nullptr;
  return Text ? Text : Value;
}

command_options optionsFromFlags() {
  command_options Options;
  if (FLAGS_output != "table" && FLAGS_output != "json")
    throw invalid_argument_error("--output is table or json");
  Options.Output =
      FLAGS_output == "json" ? output_format::Json : output_format::Table;
  Options.Customer = FLAGS_customer;
  Options.Job = FLAGS_job;
  Options.Since = FLAGS_since;
  Options.AllowRemovals = FLAGS_allow_removals;
  Options.MaxChangedPercent = FLAGS_max_changed_percent;
  Options.Tasks = FLAGS_tasks;
  Options.Accelerators = FLAGS_accelerators;
  Options.MilliCores = FLAGS_milli_cores;
  Options.MemoryMb = FLAGS_memory_mb;
  Options.Adjacency = FLAGS_adjacency;
  Options.Urgent = FLAGS_urgent;
  Options.Idempotent = FLAGS_idempotent;
  Options.RunTimeSeconds = FLAGS_run_time_s;
  Options.Command = FLAGS_command;
  Options.Method = FLAGS_method;
  Options.Data = FLAGS_data;
  return Options;
}

int runTool(std::vector<std::string> Entries,
            const std::vector<std::string> &Words) {
  if (Entries.empty())
    Entries.push_back(valueOrEnvironment(FLAGS_entry, "GERANIUMPADDLE_ENTRY"));
  bool AsCustomer =
      FLAGS_as_customer || (!Words.empty() && Words[0] == "request");
  api_credentials Credentials{
      valueOrEnvironment(FLAGS_token, "GERANIUMPADDLE_TOKEN"),
      AsCustomer ? FLAGS_customer : std::string(), FLAGS_actor};
  event_loop Loop;
  traffic_counter Traffic;
  http_client Http(Loop, http_client_limits{}, Traffic);
  api_client Client(Loop, Http, std::move(Entries), std::move(Credentials),
                    std::chrono::milliseconds(FLAGS_timeout_ms));
  return command_line(Client, optionsFromFlags(), std::cout).run(Words);
}

} // namespace

} // namespace geraniumpaddle

int main(int ArgumentCount, char **RawArguments) {
  using namespace geraniumpaddle;
  std::vector<char *> Arguments(RawArguments, RawArguments + ArgumentCount);
  std::vector<std::string> Entries = extractEntryFlags(Arguments);
  gflags::SetUsageMessage("[FLAGS] COMMAND\n" + command_line::help());
  int Count = static_cast<int>(Arguments.size());
  Arguments.push_back(nullptr);
  char **Rest = Arguments.data();
  gflags::ParseCommandLineFlags(&Count, &Rest, true);
  std::vector<std::string> Words(Rest + 1, Rest + Count);
  try {
    return runTool(std::move(Entries), Words);
  } catch (const api_failure &Failure) {
    std::cerr << "geraniumpaddle: " << name(Failure.kind()) << " ("
              << Failure.reason() << "): " << Failure.what() << '\n';
    return exitCodeOf(Failure.kind());
  } catch (const error &Failure) {
    std::cerr << "geraniumpaddle: " << name(Failure.kind()) << ": "
              << Failure.what() << '\n';
    return exitCodeOf(Failure.kind());
  }
}
