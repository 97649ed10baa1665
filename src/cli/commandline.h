#pragma once

#include "cli/apiclient.h"

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle {

enum class output_format : std::uint8_t { Table, Json };

/// Values of the command-line flags that the commands use.
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

/// The commands of the command-line tool for operators and callers.
class command_line {
public:
  command_line(api_client &Client, command_options Options, std::ostream &Out);

  /// Runs the command that \p Words names.
  /// \returns the exit code of the command.
  /// \throws error whose kind determines the exit code.
  int run(std::span<const std::string> Words);
  /// Help text with one line for each command.
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
