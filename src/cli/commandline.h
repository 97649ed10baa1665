#pragma once

#include "cli/apiclient.h"

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle {

enum class output_format : std::uint8_t { Table, Json };

/// Values of the flags that commands use.
struct command_options {
  output_format Output = output_format::Table;
  std::string Customer;
  std::string Job;
  std::uint64_t Since = 0;
  bool AllowRemovals = false;
  std::uint32_t MaxChangedPercent = 50;
  std::uint32_t Tasks = 1;
  std::int32_t Accelerators = 1;
  std::int64_t MilliCores = 1000;
  std::int64_t MemoryMb = 1024;
  std::string Adjacency = "any";
  bool Urgent = false;
  bool Idempotent = true;
  std::int64_t RunTimeSeconds = 0;
  std::string Command;
  std::string Method = "GET";
  std::string Data;
};

/// The commands of the operators' and callers' tool.
class command_line {
public:
  command_line(api_client &Client, command_options Options, std::ostream &Out);

  /// Runs the command that \p Words name.
  /// \returns the exit code of a command that ran to its end.
  /// \throws error with the kind that decides the exit code.
  int run(std::span<const std::string> Words);
  /// One line for each command.
  static std::string help();

private:
  using arguments = std::span<const std::string>;
  struct command;

  static std::span<const command> commands();

  int sheetCheck(arguments Arguments);
  int sheetDiff(arguments Arguments);
  int sheetApply(arguments Arguments);
  int configShow(arguments Arguments);
  int configHistory(arguments Arguments);
  int customersList(arguments Arguments);
  int customersSetToken(arguments Arguments);
  int tokenHash(arguments Arguments);
  int jobSubmit(arguments Arguments);
  int jobStatus(arguments Arguments);
  int jobList(arguments Arguments);
  int jobCancel(arguments Arguments);
  int jobExplain(arguments Arguments);
  int sendRequest(arguments Arguments);
  int endpoints(arguments Arguments);
  int workersList(arguments Arguments);
  int workersDrain(arguments Arguments);
  int workersQuarantine(arguments Arguments);
  int workersActivate(arguments Arguments);
  int audit(arguments Arguments);
  int status(arguments Arguments);

  int changeWorker(const std::string &Worker, const std::string &Verb);
  int printAudit(const std::string &Query);
  bool printJson(const google::protobuf::Message &Body);

  api_client &Client;
  const command_options Options;
  std::ostream &Out;
};

} // namespace geraniumpaddle
