// Case 10: an unhealthy worker answers all starts with 503; none of the jobs
// that need it has begun, and the queue's Pending doesn't count them.

#include "deployment.hh"

using namespace review2;
using namespace std::chrono_literals;

namespace {

constexpr int Jobs = 8;
constexpr double VisibleMs = 3000;
constexpr double GreySeconds = 7;
const std::string Label = "b"; // the kind of one worker of eleven

bool scenario(deployment &Deployment, case_record &Record, bool Trouble) {
  worker_machine &Worker = Deployment.worker(4);
  if (Trouble) {
    Record.line("worker " + Worker.options().Id + " is unhealthy");
    Worker.setUnhealthy(true);
  }
  const double GreyFrom = Record.seconds();
  const std::size_t Before = Deployment.history().size();
  double AcceptedAt = 0;
  for (int I = 1; I <= Jobs; ++I) {
    const std::string Body =
        jobBody(1, 2000, 500, 0, {{"RequiredLabel", Label}});
    if (Deployment.callAndWait(I % 3, "POST", jobPath(I), Body).Code != 200)
      throw case_not_run("a job was not accepted");
    AcceptedAt = Record.seconds();
  }
  Deployment.runToSecond(AcceptedAt + VisibleMs / 1000 + 2 + 0.5);
  bool Broken = false;
  while (Record.seconds() < GreyFrom + GreySeconds) {
    for (int I = 0; I < 3; ++I) {
      const http_result Answer = Deployment.callAndWait(I, "GET", queuePath());
      const int Begun = static_cast<int>(Deployment.history().size() - Before);
      const int Pending = json::parse(Answer.Body).value("Pending", 0);
      if (2 * Pending >= Jobs - Begun)
        continue;
      Broken = true;
      Record.line("MIXED: Pending is " + std::to_string(Pending) + ", " +
                  std::to_string(Jobs - Begun) +
                  " jobs accepted over visible_ms + 2 s before have not begun");
    }
    Deployment.runFor(300ms);
  }
  Record.line("the worker has answered " + std::to_string(Worker.shed()) +
              " starts with 503");
  Worker.setUnhealthy(false);
  Deployment.runFor(4s);
  for (int I = 1; I <= Jobs; ++I)
    Deployment.stateOf(0, jobPath(I));
  return !Broken;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  deployment_options Options;
  Options.Adjust = [](int I, worker_options &Worker) {
    if (I == 4)
      Worker.Kind = Label;
  };
  return runCase(ArgumentCount, Arguments, Options, scenario);
}
