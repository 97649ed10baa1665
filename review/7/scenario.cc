// Case 7: the store is down for 4 s while many tasks of one worker end.

#include "deployment.hh"

using namespace review2;
using namespace std::chrono_literals;

namespace {

constexpr int Tasks = 640;
constexpr int TaskCpu = 200; // 640 of them fill one worker of 128 cores
constexpr int FirstEndMs = 1500;
constexpr int EachMs = 4;

bool scenario(deployment &Deployment, case_record &Record, bool Trouble) {
  const std::string Job = jobPath(1);
  const std::string Body = jobBody(Tasks, TaskCpu, FirstEndMs, EachMs);
  if (Deployment.callAndWait(0, "POST", Job, Body).Code != 200)
    throw case_not_run("the job was not accepted");
  run_history &History = Deployment.history();
  const std::size_t Before = History.size();
  if (!Deployment.runUntil([&] { return History.size() + 1 >= Before + Tasks; },
                           3500ms))
    throw case_not_run("the tasks do not start in time");
  Deployment.runFor(300ms);
  if (Trouble) {
    Record.line("the store is down");
    for (int I = 0; I < 3; ++I)
      Deployment.entryStore(I).setFate([](const store_call_view &) {
        return store_fate{.Kind = store_fate::kind::Busy};
      });
    Deployment.runFor(4s);
    for (int I = 0; I < 3; ++I)
      Deployment.entryStore(I).setFate(nullptr);
    Record.line("the store is up again");
  }
  if (!Deployment.runUntil(
          [&] { return Deployment.stateOf(1, Job) == "completed"; }, 60s))
    Record.line("the job has not completed");
  Deployment.runFor(2s);
  const std::vector<std::string> Broken = startedTwice(History);
  for (const std::string &Line : Broken)
    Record.line("TWICE: " + Line);
  Record.line(std::to_string(History.size() - Before) + " starts for " +
              std::to_string(Tasks) + " tasks, " +
              std::to_string(Broken.size()) + " break TWICE");
  return Broken.empty();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  return runCase(ArgumentCount, Arguments, {}, scenario);
}
