#include "cli/commandline.h"

#include "codec/protojson.h"

#include <algorithm>
#include <array>

namespace geraniumpaddle {

/// A command: its name, its arguments and the function that runs it.
struct command_line::command {
  std::string_view Group;
  std::string_view Verb; ///< empty if the group alone is the command
  std::size_t Arguments; ///< number of arguments after the name
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
      {"token", "hash", 1, "TOKEN",
       "print the salted hash of a token, for entry.operator_token_hash",
       &c::tokenHash},
      {"job", "submit", 1, "JOB",
       "submit a job --customer=C [--tasks=N] [--accelerators=N] "
       "[--milli_cores=N] [--memory_mb=N] [--adjacency=A] [--urgent] "
       "[--noidempotent] [--run_time_s=N] [--command=TEXT]",
       &c::jobSubmit},
      {"job", "status", 1, "JOB", "show a job and its steps", &c::jobStatus},
      {"job", "list", 0, "", "list waiting and running jobs", &c::jobList},
      {"job", "cancel", 1, "JOB", "cancel a job", &c::jobCancel},
      {"job", "explain", 1, "JOB", "show why a job waits or was stopped",
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
    std::size_t NameWords = Command.Verb.empty() ? 1 : 2;
    bool Matches = Words.size() >= NameWords && Words[0] == Command.Group &&
                   (NameWords == 1 || Words[1] == Command.Verb);
    if (!Matches || Words.size() != NameWords + Command.Arguments)
      continue;
    return (this->*Command.Run)(Words.subspan(NameWords));
  }
  throw invalid_argument_error("no such command; see --help");
}

bool command_line::printJson(const google::protobuf::Message &Body) {
  if (Options.Output != output_format::Json)
    return false;
  Out << geraniumpaddle::printJson(Body, json_layout::Indented);
  return true;
}

} // namespace geraniumpaddle
