// Checks of the rule TWICE, from what the workers see.

#pragma once

#include "common/harness.hh"

namespace review {

/// Notes which runs of a task are at work, and reports two at the same time.
class run_observer {
public:
  explicit run_observer(recorder &Record) : Record(Record) {}

  void observe(const worker &Worker, const std::string &Task, int Run,
               const std::string &How) {
    const std::pair Key{Worker.id(), Run};
    auto &Active = Runs[Task];
    if (!How.empty()) {
      Active.erase(Key);
      Done += How == "done" ? 1 : 0;
      return;
    }
    ++Started;
    Active.insert(Key);
    if (Active.size() < 2)
      return;
    Twice = true;
    std::string Line = "TWICE: runs of " + Task + " at work at the same time:";
    for (const auto &[Id, Number] : Active)
      Line += " run " + std::to_string(Number) + " on " + Id;
    Record.write(Line);
  }
  worker::run_function function() {
    return [this](const worker &Worker, const std::string &Task, int Run,
                  const std::string &How) { observe(Worker, Task, Run, How); };
  }
  bool twice() const { return Twice; }
  int started() const { return Started; }
  int done() const { return Done; }

private:
  recorder &Record;
  std::map<std::string, std::set<std::pair<std::string, int>>> Runs;
  bool Twice = false;
  int Started = 0;
  int Done = 0;
};

} // namespace review
