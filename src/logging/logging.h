#pragma once

#include <cstdint>
#include <string_view>

namespace geraniumpaddle {

enum class log_severity : std::uint8_t { Debug, Info, Warning, Error };
enum class log_format : std::uint8_t { KeyValue, Json };

/// What a log line is about; empty and zero fields are left out.
struct log_fields {
  std::string_view Customer = {};
  std::string_view Job = {};
  std::uint32_t Attempt = 0;
  std::uint64_t Offset = 0;
};

struct logging_settings {
  log_severity Threshold = log_severity::Info;
  log_format Format = log_format::KeyValue;
};

/// Sends log lines to standard error, one record a line, written by the
/// calling thread. Called once at start; a later call replaces the settings.
void startLogging(const logging_settings &Settings);

/// Writes lines of one component, such as "ledger".
class logger {
public:
  explicit logger(std::string_view Component) : Component(Component) {}

  void debug(std::string_view Message, const log_fields &Fields = {}) const {
    write(log_severity::Debug, Message, Fields);
  }
  void info(std::string_view Message, const log_fields &Fields = {}) const {
    write(log_severity::Info, Message, Fields);
  }
  void warning(std::string_view Message, const log_fields &Fields = {}) const {
    write(log_severity::Warning, Message, Fields);
  }
  void error(std::string_view Message, const log_fields &Fields = {}) const {
    write(log_severity::Error, Message, Fields);
  }

private:
  void write(log_severity Severity, std::string_view Message,
             const log_fields &Fields) const;

  std::string_view Component;
};

} // namespace geraniumpaddle
