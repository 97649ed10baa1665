#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <variant>

namespace geraniumpaddle {

enum class log_severity : std::uint8_t { Debug, Info, Warning, Error };
enum class log_format : std::uint8_t { KeyValue, Json };

/// The objects that a log line refers to; empty and zero members are omitted.
struct log_context {
  std::string_view Customer = {};
  std::string_view Job = {};
  std::uint32_t Attempt = 0;
  std::uint64_t Offset = 0;
};

/// Destination of log lines.
class ilog_output {
public:
  virtual ~ilog_output() = default;
  /// Writes or drops one line, which includes its newline. Must not block.
  virtual void write(std::string_view Line) = 0;
};

struct logging_settings {
  log_severity Threshold = log_severity::Info;
  log_format Format = log_format::KeyValue;
  ilog_output *Output = nullptr; ///< must outlive all logging; null: std::clog
};

/// One named value of an event; a view that is only valid during the call.
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

/// Configures the output of all loggers. The calling thread of a logger writes
/// its line. Called once at startup; a further call replaces the settings.
void startLogging(const logging_settings &Settings);

/// Logs on behalf of one component, such as "ledger".
class logger {
public:
  explicit logger(std::string_view Component) : Component(Component) {}

  void debug(std::string_view Message, const log_context &Context = {}) const {
    write(log_severity::Debug, Message, Context);
  }
  void info(std::string_view Message, const log_context &Context = {}) const {
    write(log_severity::Info, Message, Context);
  }
  void warning(std::string_view Message,
               const log_context &Context = {}) const {
    write(log_severity::Warning, Message, Context);
  }
  void error(std::string_view Message, const log_context &Context = {}) const {
    write(log_severity::Error, Message, Context);
  }

  /// Logs an event: a decision or a change in the known state of the cluster,
  /// with its inputs and its outcome.
  void event(std::string_view Name,
             std::initializer_list<log_field> Fields) const {
    write(log_severity::Info, Name, Fields);
  }
  /// Logs an event with severity Warning, for the operator's attention.
  void warningEvent(std::string_view Name,
                    std::initializer_list<log_field> Fields) const {
    write(log_severity::Warning, Name, Fields);
  }

private:
  void write(log_severity Severity, std::string_view Message,
             const log_context &Context) const;
  void write(log_severity Severity, std::string_view Name,
             std::initializer_list<log_field> Fields) const;

  std::string_view Component;
};

} // namespace geraniumpaddle
