// A worker is cut off, crashes behind the cut and starts again under its id.
// A start that was sent during the cut is repeated after it.

#include "common/observer.hh"

#include <cstdio>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr const char *JobId = "5c0e7a21d94b36f8";

int play(const paths &Paths) {
  geraniumpaddle::event_loop Loop;
  deployment Deployment(Loop, Paths, 3, 3);
  recorder &Record = Deployment.record();
  run_observer Observer(Record);
  std::vector<std::unique_ptr<worker>> Workers;
  if (!Deployment.start())
    return CouldNotRun;
  for (int I = 0; I < 3; ++I) {
    const std::string Number = std::to_string(I + 1);
    Workers.push_back(std::make_unique<worker>(
        Loop, Deployment.client(), Record,
        worker::shape{.Id = "i-000000000" + Number,
                      .Rack = "r1-" + Number,
                      .Ip = Deployment.agentIp(I),
                      .Control = Deployment.control(I),
                      .Service = "bookdesk"},
        [](const std::string &) { return task_plan{}; }, Observer.function()));
    Workers.back()->start();
  }
  Deployment.run(5s);
  worker &First = *Workers.front();
  if (withTrouble()) {
    First.cut();
    Loop.startTimer(3000ms, [&] { First.restart(); });
    Loop.startTimer(4700ms, [&] { First.heal(); });
  }
  Deployment.run(200ms);
  // Needs all accelerators of a worker.
  const std::string Path = std::string("/bookings/") + JobId;
  if (Deployment.call(1, "POST", Path, jobBody(1, 15000, 16000, 8, 2500))
          .Code != 200)
    return CouldNotRun;
  const bool Completed = Deployment.waitFor(
      [&] { return Deployment.state(1, Path) == "completed"; }, 40s);
  Deployment.run(3s);
  Record.write("the job is shown as " + Deployment.state(1, Path) + "; " +
               std::to_string(Observer.started()) + " runs began, " +
               std::to_string(Observer.done()) + " ended done");
  if (Observer.twice() || Observer.done() > 1)
    return Broken;
  return Completed ? Held : CouldNotRun;
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return play(pathsFromArguments(Count, Arguments));
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
    return CouldNotRun;
  }
}
