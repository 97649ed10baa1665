#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <variant>

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

/// Where lines go.
class ilog_output {
public:
  virtual ~ilog_output() = default;
  /// Takes one line with its end, or leaves it out; never waits.
  virtual void write(std::string_view Line) = 0;
};

struct logging_settings {
  log_severity Threshold = log_severity::Info;
  log_format Format = log_format::KeyValue;
  ilog_output *Output = nullptr; ///< outlives the logging; null: std::clog
};

/// One named value of an event. It is copied when the line is written.
struct log_field {
  log_field(std::string_view Name, std::string_view Value)
      : Name(Name), Value(Value) {}
  log_field(std::string_view Name, const char *Value)
      : Name(Name), Value(std::string_view(Value)) {}
  log_field(std::string_view Name, std::integral auto Value)
      : Name(Name), Value(static_cast<std::int64_t>(Value)) {}

  std::string_view Name;
  std::variant<std::string_view, std::int64_t> Value;
};

/// Sends log lines to the output, one record a line, written by the calling
/// thread. Called once at start; a later call replaces the settings.
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

  /// A decision or a change of what the process believes: its name, the inputs
  /// that decided it and the outcome.
  void event(std::string_view Name,
             std::initializer_list<log_field> Fields) const {
    write(log_severity::Info, Name, Fields);
  }
  /// An event that an operator should look at.
  void warningEvent(std::string_view Name,
                    std::initializer_list<log_field> Fields) const {
    write(log_severity::Warning, Name, Fields);
  }

private:
  void write(log_severity Severity, std::string_view Message,
             const log_fields &Fields) const;
  void write(log_severity Severity, std::string_view Name,
             std::initializer_list<log_field> Fields) const;

  std::string_view Component;
};

} // namespace geraniumpaddle
