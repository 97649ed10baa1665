// A task that lasts ends by itself as done. It has to be started again.

#include "common/observer.hh"

#include <cstdio>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr const char *JobId = "5c0e7a21d94b36f8";
/// From 6 s after its last run the task has to be at work again; then 3 s
/// without a run break the rule. All of it is calm.
constexpr duration RestartLimit = 6s + 4s + 3s;

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
        [](const std::string &) {
          return task_plan{.Work = 3000ms, .EndsDone = withTrouble()};
        },
        Observer.function()));
    Workers.back()->start();
  }
  Deployment.run(5s);
  const std::string Path = std::string("/bookings/") + JobId;
  if (Deployment
          .call(1, "POST", Path,
                jobBody(1, 11000, 16000, 1, 0, {{"LongRunning", true}}))
          .Code != 200)
    return CouldNotRun;
  if (!Deployment.waitFor([&] { return Observer.started() > 0; }, 10s))
    return CouldNotRun;
  if (withTrouble())
    Deployment.waitFor([&] { return Observer.done() > 0; }, 10s);
  const bool StartedAgain =
      Deployment.waitFor([&] { return Observer.started() > 1; }, RestartLimit);
  const std::string State = Deployment.state(1, Path);
  Record.write("the job that nobody cancelled is shown as " + State + "; " +
               std::to_string(Observer.started()) + " runs began, " +
               std::to_string(Observer.done()) + " ended done");
  if (!withTrouble())
    return State == "running" ? Held : Broken;
  return StartedAgain ? Held : Broken;
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
