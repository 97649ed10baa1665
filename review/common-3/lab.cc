// Stands in for the store, the workers, the operator and a client of a small
// deployment, plays one case and judges it.
//   gp_review3_lab CASE NET RECORD TROUBLE FOLDER
// In FOLDER stand the process ids of the entries: edge-1.pid, ...
// The nodes that the script starts have the addresses NET.1 (edge-1), ...
// NET.11 (side-1), ...; the workers have NET.101, ...; the store has NET.250.

#include "workers.hh"

#include <csignal>
#include <cstdarg>
#include <fstream>

namespace review3 {
namespace {

constexpr int StorePort = 8524;
constexpr int FrontPort = 8521;
constexpr int ControlPort = 8526;
constexpr int WorkerPort = 8529;

struct lab {
  std::string Net;
  FILE *Record = nullptr;
  steady::time_point Start = steady::now();
  store Store;
  std::vector<std::unique_ptr<worker>> Workers;
  std::string Folder;

  std::string ip(int Host) const { return Net + "." + std::to_string(Host); }

  __attribute__((format(printf, 2, 3))) void note(const char *Format, ...) {
    std::fprintf(Record, "%7.3f s  ",
                 static_cast<double>(sinceMs(Start)) / 1000);
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(Record, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', Record);
    std::fflush(Record);
  }

  /// The first worker is of a kind of its own.
  void startWorkers(int Count) {
    for (int I = 1; I <= Count; ++I) {
      char Id[24];
      std::snprintf(Id, sizeof Id, "i-7f3a91%02x", static_cast<unsigned>(I));
      Workers.push_back(std::make_unique<worker>(
          Id, ip(100 + I), WorkerPort, I == 1 ? "b" : "a",
          "r1-" + std::to_string(1 + (I - 1) / 3), worker::limits{},
          [this](const std::string &Text) { note("%s", Text.c_str()); }));
      Workers.back()->start(ip(10 + I), ControlPort);
    }
  }

  void putConfiguration() {
    const std::string Value =
        R"({"Version":7,"Routes":[{"Name":"r-1","Host":"jobs.example",)"
        R"("PathPrefix":"/sweep/","Type":"non_idempotent","TimeoutMs":3000,)"
        R"("TargetLatencyMs":3000,"Priority":1,"Service":"bookdesk",)"
        R"("Attempts":4,"SlackFactor":3.0,"Anonymous":false}],"Services":[)"
        R"({"Name":"bookdesk","HealthPath":"/healthz","MaxConns":64,)"
        R"("Protocol":"h1","Tls":false,"EnforceCapacity":false,)"
        R"("Standby":false}],"Limits":{"MaxHeaderBytes":16384,)"
        R"("MaxBodyBytes":262144},"Tenants":[{"Name":"acme","ApiKeys":["key"])"
        R"(}]})";
    std::string Frame = std::string(1, '\6') + "config" + Value;
    std::string Length;
    for (int Shift = 24; Shift >= 0; Shift -= 8)
      Length += static_cast<char>(Frame.size() >> Shift);
    request Request{.Method = "POST",
                    .Path = "/api/log-append",
                    .Query = "Topic=keyed.op&part=0",
                    .Body = Length + Frame};
    note("operator writes op/config: %d", Store.handle(Request).Code);
  }

  response job(int Entry, const std::string &Method, const std::string &Id,
               const std::string &Body) {
    return call(ip(Entry), FrontPort, Method, "/sweep/" + Id,
                "Host: jobs.example\r\nAuthorization: Bearer key\r\n"
                "Content-Type: application/json\r\nX-Timeout-Ms: 3000\r\n",
                Body, 3000);
  }
  /// Submits at one entry after the other, as clients do; true on a 2xx.
  bool submit(const std::string &Id, const std::string &Body) {
    for (int Try = 0; Try < 8; ++Try) {
      const response Response = job(1 + Try % 3, "POST", Id, Body);
      note("POST %s (%zu bytes) at edge-%d: %d", Id.c_str(), Body.size(),
           1 + Try % 3, Response.Code);
      if (Response.Code / 100 == 2)
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    return false;
  }
  std::string state(const std::string &Id) {
    for (int Entry = 1; Entry <= 3; ++Entry) {
      const response Response = job(Entry, "GET", Id, "");
      if (Response.Code == 200)
        return jsonField(Response.Body, "State");
    }
    return "none";
  }
  int started(const std::string &Id) {
    int Count = 0;
    for (const auto &Each : Workers)
      Count += Each->started(Id);
    return Count;
  }
  bool runs(const std::string &Id) {
    for (const auto &Each : Workers)
      if (Each->runs(Id))
        return true;
    return false;
  }
  /// The number of the entry that has a term in office; 0 if none has.
  int leader() {
    for (int Entry = 1; Entry <= 3; ++Entry) {
      const std::string Text =
          call(ip(Entry), 7001, "GET", "/metrics", "Host: m\r\n", "", 1000)
              .Body;
      const std::size_t At = Text.find("\ngeraniumpaddle_term ");
      if (At != std::string::npos && std::atof(Text.c_str() + At + 21) > 0)
        return Entry;
    }
    return 0;
  }
  /// The process id of the entry in office; 0 if there is none.
  pid_t leaderId() {
    int Leader = 0;
    pid_t Id = 0;
    if (waitFor([&] { return (Leader = leader()) != 0; }, 10))
      std::ifstream(Folder + "/edge-" + std::to_string(Leader) + ".pid") >> Id;
    note("edge-%d is in office", Leader);
    return Id;
  }
  /// The script starts the entry again 3 s later.
  bool killEntry(pid_t Id) {
    note("SIGKILL to the entry in office");
    return Id > 0 && kill(Id, SIGKILL) == 0;
  }
  template <typename Condition> bool waitFor(Condition Holds, int Seconds) {
    const auto Until = steady::now() + std::chrono::seconds(Seconds);
    while (!Holds()) {
      if (steady::now() >= Until)
        return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
  }
};

void pause(int Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

std::string jobId(int Number) {
  char Id[17];
  std::snprintf(Id, sizeof Id, "5c0e7a21d94b%04x",
                static_cast<unsigned>(Number));
  return Id;
}

constexpr int Others = 6;

/// The job of number 1 gets a start without an answer, since the worker
/// crashes; the start is carried out when the worker is up again with its Id.
/// Then the leader is killed. Without trouble, the jobs only run.
bool playLateStart(lab &Lab, bool Trouble, const std::string &Job) {
  constexpr int DownMs = 2500;
  if (!Lab.waitFor([&] { return Lab.job(1, "GET", "", "").Code == 200; }, 20) ||
      !Lab.submit(jobId(0), Job) ||
      !Lab.waitFor([&] { return Lab.state(jobId(0)) == "completed"; }, 20)) {
    Lab.note("the deployment doesn't run jobs");
    return false;
  }
  const pid_t Leader = Lab.leaderId();
  worker &Worker = *Lab.Workers.front();
  Lab.waitFor([&] { return Worker.listing(); }, 5);
  if (Trouble)
    Worker.crashAfterLook(DownMs);
  if (!Lab.submit(jobId(1), Job) ||
      (Trouble && !Lab.waitFor([&] { return Worker.crashed(); }, 10)))
    return false;
  // These wait for the same worker.
  for (int I = 2; I < 2 + Others; ++I)
    if (!Lab.submit(jobId(I), Job))
      return false;
  const bool Started = Lab.waitFor(
      [&] {
        for (int I = 2; I < 2 + Others; ++I)
          if (Worker.started(jobId(I)) > 0)
            return true;
        return false;
      },
      20);
  if (!Started) {
    Lab.note("no task of another job has started");
    return false;
  }
  return !Trouble || Lab.killEntry(Leader);
}

/// Case 12: the job of number 1 has nothing running.
int playLost(lab &Lab, bool Trouble, const std::string &Job) {
  if (!playLateStart(Lab, Trouble, Job))
    return 2;
  // Judged from RecoverS after the kill on.
  pause(12000);
  bool Broken = false;
  for (int I = 1; I < 2 + Others; ++I) {
    const std::string Id = jobId(I);
    bool Ran = false;
    const bool Completed = Lab.waitFor(
        [&] {
          Ran = Ran || Lab.runs(Id);
          return Lab.state(Id) == "completed";
        },
        14); // finish_s
    Lab.note("job %s: %s; %d starts", Id.c_str(), Lab.state(Id).c_str(),
             Lab.started(Id));
    if (!Completed && !Ran) {
      Lab.note("BROKEN: nothing of job %s has run for 14 s, though its only "
               "task waits and its worker is idle",
               Id.c_str());
      Broken = true;
    }
  }
  return Broken ? 1 : 0;
}

/// Case 11: the work of the late run ends as done while it is being stopped.
/// When the end has been taken note of, the next leader is killed.
int playTwice(lab &Lab, bool Trouble, const std::string &Job) {
  worker &Worker = *Lab.Workers.front();
  const std::string Late = jobId(1);
  Worker.endAtStop(Late, 120);
  if (!playLateStart(Lab, Trouble, Job))
    return 2;
  const bool Noted =
      Lab.waitFor([&] { return Worker.doneNoted(Late) > 0; }, 20);
  pause(12000);
  Lab.note("job %s: %s; %d starts, %d ends as done taken note of", Late.c_str(),
           Lab.state(Late).c_str(), Lab.started(Late), Worker.doneNoted(Late));
  if (!Noted || (Trouble && !Lab.killEntry(Lab.leaderId())))
    return 2;
  const int Before = Lab.started(Late);
  const bool Again =
      Lab.waitFor([&] { return Lab.started(Late) > Before; }, 30);
  Lab.note("job %s: %s; %d starts", Late.c_str(), Lab.state(Late).c_str(),
           Lab.started(Late));
  if (Again)
    Lab.note("BROKEN: its task is started after a run that ended as done, "
             "which was taken note of");
  return Again ? 1 : 0;
}

int run(int ArgumentCount, char **Arguments) {
  if (ArgumentCount != 6)
    return 2;
  lab Lab;
  Lab.Net = Arguments[2];
  Lab.Record = std::fopen(Arguments[3], "w");
  if (!Lab.Record)
    return 2;
  const bool Trouble = std::string(Arguments[4]) != "0";
  server StoreServer(
      Lab.ip(250), StorePort, false,
      [&Lab](const request &Request) { return Lab.Store.handle(Request); });
  StoreServer.start();
  Lab.Folder = Arguments[5];
  const std::string Case = Arguments[1];
  Lab.startWorkers(11);
  Lab.putConfiguration();
  const std::string Job =
      R"({"Spec":"one","Steps":[{"Count":1,"Cpu":500,"MemMb":64,)"
      R"("EstimatedMs":3000,"RequiredLabel":"b"}]})";
  int Result = 2;
  if (Case == "twice")
    Result = playTwice(Lab, Trouble, Job);
  else if (Case == "lost")
    Result = playLost(Lab, Trouble, Job);
  std::fclose(Lab.Record);
  _exit(Result); // without waiting for the threads
}

} // namespace
} // namespace review3

int main(int ArgumentCount, char **Arguments) {
  try {
    return review3::run(ArgumentCount, Arguments);
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
    return 2;
  }
}
