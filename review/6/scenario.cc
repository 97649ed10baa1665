// Case 6: the answer to a start is lost while its worker begins to drain. The
// task is started elsewhere while the worker is still stopping its run.

#include "deployment.hh"

using namespace review2;
using namespace std::chrono_literals;

namespace {

constexpr int Workers = 11;
constexpr int Rounds = 5;
constexpr int OtherTasks = 60;
constexpr duration DrainTime = 2500ms; // DrainMs
const std::string Label = "b";

/// The worker with label b that runs \p Task.
worker_machine *workerOf(deployment &Deployment, const std::string &Task) {
  for (const seen_run &Each : Deployment.history())
    if (Each.Task == Task && Each.EndedAt < 0)
      for (int I = 0; I < Workers; ++I)
        if (Deployment.worker(I).options().Id == Each.Worker)
          return &Deployment.worker(I);
  return nullptr;
}

std::string firstTask(int Job) { return jobId(Job) + ".0.0.0"; }

bool scenario(deployment &Deployment, case_record &Record, bool Trouble) {
  run_history &History = Deployment.history();
  const auto Submit = [&](int Job, const std::string &Body) {
    if (Deployment.callAndWait(Job % 3, "POST", jobPath(Job), Body).Code != 200)
      throw case_not_run("a job was not accepted");
  };
  // One worker after the other is emptied and taken away, as in a release.
  for (int Round = 0; Round < Rounds; ++Round) {
    // Other work, whose starts are all answered.
    Submit(1000 + Round, jobBody(OtherTasks, 1000, 300, 0));
    Deployment.runFor(1s);
    // Tells which worker gets the next task with the label.
    const int First = 10 + 2 * Round;
    Submit(First, jobBody(1, 2000, 8000, 0, {{"RequiredLabel", Label}}));
    worker_machine *Worker = nullptr;
    if (!Deployment.runUntil(
            [&] {
              Worker = workerOf(Deployment, firstTask(First));
              return Worker != nullptr;
            },
            5s))
      throw case_not_run("a task does not start");
    Deployment.runFor(500ms);
    // The task is handed in just after a listing has begun to wait.
    bool HoldBegins = false;
    Worker->onHold([&](duration Wait) { HoldBegins |= Wait >= 1s; });
    if (!Deployment.runUntil([&] { return HoldBegins; }, 5s))
      throw case_not_run("the worker is not asked for its runs");
    Worker->onHold(nullptr);
    const int Second = First + 1;
    if (Trouble)
      Worker->loseAnswer(jobId(Second));
    Submit(Second, jobBody(1, 2000, 8000, 0, {{"RequiredLabel", Label}}));
    if (!Deployment.runUntil(
            [&] { return workerOf(Deployment, firstTask(Second)) != nullptr; },
            2s))
      throw case_not_run("a task does not start");
    Deployment.runFor(200ms);
    if (Trouble)
      Worker->drain(DrainTime);
    Deployment.runFor(4s);
  }
  Deployment.runFor(12s);
  const std::vector<std::string> Broken = startedTwice(History);
  for (const std::string &Line : Broken)
    Record.line("TWICE: " + Line);
  Record.line(std::to_string(Broken.size()) + " starts break TWICE");
  return Broken.empty();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  deployment_options Options{
      .Workers = Workers, .HoldMaxMs = 10000, .StopMs = 900};
  Options.Adjust = [](int I, worker_options &Worker) {
    if (I % 2 == 0)
      Worker.Kind = Label;
  };
  return runCase(ArgumentCount, Arguments, Options, scenario);
}
