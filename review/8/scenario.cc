// Case 8: answers of the store are lost; the consumer gets 504, cancels its
// job, is told 410, and the job runs.

#include "deployment.hh"

using namespace review2;
using namespace std::chrono_literals;

namespace {

constexpr double CancelMs = 3000;
constexpr double StopMs = 200;
constexpr double StableWindowMs = 4000;
constexpr int WorkMs = 20000;
constexpr duration DoneLate = 6s;
constexpr int OtherJobs = 30;

bool scenario(deployment &Deployment, case_record &Record, bool Trouble) {
  // Its answers are lost for the appends of one job, and nothing else.
  const std::string Job = jobPath(1);
  const std::string Id = Job.substr(queuePath().size());
  int Writes = 0;
  int Lost = 0;
  for (int I = 0; I < 3; ++I)
    Deployment.entryStore(I).setFate([&](const store_call_view &Call) {
      if (Call.Path != "/api/log-append")
        return store_fate{};
      ++Writes;
      if (!Trouble || Call.Body.find("job." + Id) == std::string::npos)
        return store_fate{};
      ++Lost;
      Record.line("store: an append of the job is done in 6 s, unanswered");
      return store_fate{.Kind = store_fate::kind::LateNoWord,
                        .Delay = DoneLate};
    });
  // Other consumers, whose calls are all answered.
  int Answered = 0;
  for (int I = 0; I < OtherJobs; ++I)
    Deployment.call(I % 3, "POST", jobPath(100 + I), jobBody(1, 1000, 500, 0),
                    [&](const http_result &) { ++Answered; });
  const double LossBegin = Record.seconds();
  const int Submitted =
      Deployment.callAndWait(0, "POST", Job, jobBody(1, 1000, WorkMs, 0)).Code;
  const double LossEnd = Record.seconds();
  for (int I = 0; I < 3; ++I)
    Deployment.entryStore(I).setFate(nullptr);
  Record.line("the store lost answers for " +
              std::to_string(LossEnd - LossBegin) + " s, " +
              std::to_string(Lost) + " of " + std::to_string(Writes) +
              " writes");
  const int Cancelled = Deployment.callAndWait(1, "DELETE", Job).Code;
  const double CancelledAt = Record.seconds();
  const bool Acknowledged =
      (Cancelled >= 200 && Cancelled < 300) || Cancelled == 410;
  if (!Acknowledged || (Trouble && Submitted == 200))
    throw case_not_run("the submission or the cancelling went another way");
  // "With no disturbance near, [...] a task of a cancelled job has to be gone
  // after any such stretch of cancel_ms + StopMs."
  const double CalmFrom = LossEnd +
                          std::chrono::duration<double>(DoneLate).count() +
                          StableWindowMs / 1000;
  const double GoneBy = CalmFrom + (CancelMs + StopMs) / 1000;
  Deployment.runToSecond(GoneBy + 2);
  bool Broken = false;
  for (const seen_run &Each : Deployment.history()) {
    if (!Each.Task.starts_with(Id))
      continue;
    const bool StartedLate = Each.StartedAt > CancelledAt + CancelMs / 1000;
    const bool RunsOn = Each.EndedAt < 0 || Each.EndedAt > GoneBy;
    Record.line("UNASKED? " + Each.Task + " started " +
                std::to_string(Each.StartedAt - CancelledAt) +
                " s after the cancelling was acknowledged" +
                (RunsOn ? " and still runs" : ""));
    Broken = Broken || StartedLate || RunsOn;
  }
  Deployment.callAndWait(2, "GET", Job);
  return !Broken;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  return runCase(ArgumentCount, Arguments, {}, scenario);
}
