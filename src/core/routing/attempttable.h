#pragma once

#include "core/routing/types/attemptmessages.h"
#include "core/routing/types/attemptsettings.h"

#include <memory>
#include <span>

namespace geraniumpaddle {

/// The attempts that entries delivered to one run of an agent. Each attempt is
/// sent to the endpoint at most once, however often it is delivered.
class attempt_table {
public:
  attempt_table(const attempt_settings &Settings, incarnation Self);
  ~attempt_table();
  attempt_table(const attempt_table &) = delete;
  attempt_table &operator=(const attempt_table &) = delete;

  /// Decides on one event. The commands are valid until the next call.
  std::span<const attempt_command> handle(const attempt_event &Event,
                                          time_point Now);

  agent_load load() const;
  bool draining() const;
  /// True if nothing runs and nothing is queued.
  bool idle() const;

private:
  class state;
  std::unique_ptr<state> State;
};

} // namespace geraniumpaddle
