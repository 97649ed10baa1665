// Stand-in for the platform's workers, after PROTOCOL.md: leases on the
// worker's own clock, tokens, runs and ends. It judges what workers can see.
#pragma once

#include "store.hh"

#include <memory>
#include <utility>

namespace review3 {

inline std::int64_t sinceMs(steady::time_point Start) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                               Start)
      .count();
}

struct run_key {
  std::string Task;
  std::uint64_t Run = 0;
  friend auto operator<=>(const run_key &, const run_key &) = default;
};

/// One worker. Each task works for WorkMs.
class worker {
public:
  struct limits {
    std::int64_t HoldMaxMs = 6000;
    std::int64_t StopMs = 200;
    std::int64_t WorkMs = 3000;
  };
  using note_function = std::function<void(const std::string &)>;

  worker(std::string Id, std::string Ip, int Port, std::string Kind,
         std::string Rack, limits Limits, note_function Note)
      : Id(std::move(Id)), Ip(std::move(Ip)), Port(Port), Kind(std::move(Kind)),
        Rack(std::move(Rack)), Limits(Limits), Note(std::move(Note)),
        Server(this->Ip, Port, true,
               [this](const request &Request) { return handle(Request); }) {}

  /// Starts it and its liveness reports to the agent.
  void start(const std::string &AgentIp, int AgentPort) {
    begin();
    std::thread([this, AgentIp, AgentPort] {
      for (;;) {
        const std::string Beat = beat();
        if (!Beat.empty())
          call(AgentIp, AgentPort, "POST", "/api/workers/" + Id + "/heartbeat",
               "Host: agent\r\nContent-Type: application/json\r\n", Beat, 1000);
        waitForBeat();
      }
    }).detach();
  }
  /// The worker crashes after its answer to the call with which the agent looks
  /// who answers before it sends a start: a hold that neither sets a deadline
  /// nor names an AckCursor, while a listing is under way. It is up again with
  /// its Id after DownMs. Calls wait in the queue of its listening socket,
  /// which its supervisor keeps.
  void crashAfterLook(int DownMs) {
    const std::lock_guard Lock(Mutex);
    CrashDownMs = DownMs;
  }
  /// The work of its tasks ends AfterMs after they are told to stop, before the
  /// stop takes effect.
  void endAtStop(const std::string &Job, int AfterMs) {
    const std::lock_guard Lock(Mutex);
    EndJob = Job;
    EndAfterMs = AfterMs;
  }
  /// Ends of the job's tasks as done that AckCursor has reached.
  int doneNoted(const std::string &Job) {
    const std::lock_guard Lock(Mutex);
    return DoneNoted[Job];
  }
  /// Whether a listing has been under way for less than 0.2 s.
  bool listing() {
    const std::lock_guard Lock(Mutex);
    return Holds > 0 && sinceMs(HoldSince) < 200;
  }
  bool crashed() {
    const std::lock_guard Lock(Mutex);
    return !Up || Lives > 1;
  }
  bool runs(const std::string &Job) {
    const std::lock_guard Lock(Mutex);
    advance();
    for (const auto &[Key, Run] : Runs)
      if (jobOf(Key.Task) == Job)
        return true;
    return false;
  }
  /// Starts of tasks of the job that were carried out, in all lives.
  int started(const std::string &Job) {
    const std::lock_guard Lock(Mutex);
    return Started[Job];
  }

private:
  struct run {
    steady::time_point EndAt;
    steady::time_point StopAt = steady::time_point::max();
    steady::time_point At = steady::now();

    int percent() const {
      return static_cast<int>(
          100 * sinceMs(At) /
          std::max<std::int64_t>(
              1,
              std::chrono::duration_cast<std::chrono::milliseconds>(EndAt - At)
                  .count()));
    }
  };

  static std::string jobOf(const std::string &Task) {
    return Task.substr(0, Task.find('.'));
  }
  void note(const std::string &Text) { Note(Id + " " + Text); }

  void begin() {
    {
      const std::lock_guard Lock(Mutex);
      ++Lives;
      Up = true;
      Start = steady::now();
      Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
      Seq = 0;
      Token = 0;
      LastEnd = 0;
      Forgotten = 0;
      LeaseEndMs = 0;
      Runs.clear();
      Ends.clear();
      EndKeys.clear();
      Highest.clear();
      if (Lives > 1)
        note("is up again, born " + std::to_string(Born));
    }
    Server.start();
    Begun.notify_all();
  }
  void crash() {
    Up = false;
    Server.stopAccepting();
    note("crashes");
    std::thread([this, DownMs = std::exchange(CrashDownMs, 0)] {
      // Its last answer has left.
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
      Server.endConnections();
      std::this_thread::sleep_for(std::chrono::milliseconds(DownMs));
      begin();
    }).detach();
  }

  /// Waits for HeartbeatMs, or for the start of another life.
  void waitForBeat() {
    std::unique_lock Lock(Mutex);
    const int Life = Lives;
    const auto Until = steady::now() + std::chrono::milliseconds(1500);
    while (steady::now() < Until && Lives == Life)
      Begun.wait_until(Lock, Until);
  }
  std::string beat() {
    const std::lock_guard Lock(Mutex);
    if (!Up)
      return "";
    return R"({"Service":"bookdesk","Address":")" + Ip + ":" +
           std::to_string(Port) +
           R"(","Zone":"perth-east","Version":"v1","Slots":8,"State":"ready",)"
           R"("ColdLeftMs":0,"Capacity":{"Cpu":128000,"MemMb":262144,"Gpu":8},)"
           R"("Labels":[")" +
           Kind + "\",\"" + Rack + R"("],"born":)" + std::to_string(Born) +
           ",\"ClockMs\":" + std::to_string(sinceMs(Start)) +
           ",\"Seq\":" + std::to_string(++Seq) + "}";
  }
  void finish(const run_key &Key, const std::string &How) {
    const run_key Copy = Key;
    EndKeys.emplace_back(jobOf(Copy.Task), How);
    Ends.push_back("[" + std::to_string(++LastEnd) + ",\"" + Copy.Task + "\"," +
                   std::to_string(Copy.Run) + ",\"" + How + "\",\"\"]");
    Highest[Copy.Task] = std::max(Highest[Copy.Task], Copy.Run);
    Runs.erase(Copy);
    note("ends " + Copy.Task + " run " + std::to_string(Copy.Run) + ": " + How);
    Changed.notify_all();
  }
  /// Ends what has ended by now; returns when to look again.
  steady::time_point advance() {
    const auto Now = steady::now();
    const auto LeaseEnd = Start + std::chrono::milliseconds(LeaseEndMs);
    while (LeaseEnd <= Now && !Runs.empty())
      finish(Runs.begin()->first, "lapsed");
    auto Next = Runs.empty() ? Now + std::chrono::hours(1) : LeaseEnd;
    std::vector<std::pair<run_key, std::string>> Ended;
    for (const auto &[Key, Run] : Runs) {
      if (Run.StopAt <= Now)
        Ended.emplace_back(Key, "stopped");
      else if (Run.EndAt <= Now)
        Ended.emplace_back(Key, "done");
      else
        Next = std::min({Next, Run.StopAt, Run.EndAt});
    }
    for (const auto &[Key, How] : Ended)
      finish(Key, How);
    return Next;
  }
  void extend(const std::string &Body) {
    const std::string Deadline = jsonField(Body, "DeadlineMs");
    if (!Deadline.empty())
      LeaseEndMs = std::max(
          LeaseEndMs,
          std::min<std::int64_t>(std::strtoll(Deadline.c_str(), nullptr, 10),
                                 sinceMs(Start) + Limits.HoldMaxMs));
  }
  response answer(int Code, const std::string &Reason) const {
    return {.Code = Code,
            .Body = "{\"ClockMs\":" + std::to_string(sinceMs(Start)) +
                    (Reason.empty() ? "" : ",\"Reason\":\"" + Reason + "\"") +
                    "}"};
  }
  static run_key keyOf(const std::string &Body) {
    return {jsonField(Body, "Task"),
            std::strtoull(jsonField(Body, "Run").c_str(), nullptr, 10)};
  }

  response startRun(const std::string &Body) {
    const std::uint64_t Sent =
        std::strtoull(jsonField(Body, "FencingToken").c_str(), nullptr, 10);
    if (Sent < Token)
      return answer(409, "fence");
    Token = Sent;
    const run_key Key = keyOf(Body);
    if (Runs.contains(Key))
      return answer(200, "");
    if (std::strtoll(jsonField(Body, "DeadlineMs").c_str(), nullptr, 10) <=
        sinceMs(Start))
      return answer(409, "late");
    extend(Body);
    const auto Known = Highest.find(Key.Task);
    if (Known != Highest.end() && Key.Run <= Known->second)
      return answer(409, "old");
    Runs[Key] = {.EndAt =
                     steady::now() + std::chrono::milliseconds(Limits.WorkMs)};
    ++Started[jobOf(Key.Task)];
    note("starts " + Key.Task + " run " + std::to_string(Key.Run));
    return answer(200, "");
  }

  response handle(const request &Request) {
    std::unique_lock Lock(Mutex);
    if (!Up)
      return {.Reset = true};
    advance();
    if (Request.Path == "/healthz")
      return {.Body = "{}"};
    const std::string &Body = Request.Body;
    if (Request.Path == "/api/run-start")
      return startRun(Body);
    const std::uint64_t Sent =
        std::strtoull(jsonField(Body, "FencingToken").c_str(), nullptr, 10);
    if (Sent < Token)
      return answer(409, "fence");
    Token = Sent;
    if (Request.Path == "/api/run-stop") {
      const run_key Key = keyOf(Body);
      std::uint64_t &Known = Highest[Key.Task];
      Known = std::max(Known, Key.Run);
      note("is told to stop " + Key.Task + " run " + std::to_string(Key.Run));
      const auto Found = Runs.find(Key);
      if (Found != Runs.end()) {
        run &Run = Found->second;
        const auto Now = steady::now();
        Run.StopAt = std::min(Run.StopAt,
                              Now + std::chrono::milliseconds(Limits.StopMs));
        if (jobOf(Key.Task) == EndJob)
          Run.EndAt = Now + std::chrono::milliseconds(EndAfterMs);
      }
      Changed.notify_all();
      return answer(200, "");
    }
    if (Request.Path != "/api/hold")
      return {.Code = 404};
    if (CrashDownMs > 0 && Holds > 0 && jsonField(Body, "AckCursor").empty())
      crash();
    extend(Body);
    const std::uint64_t Cursor =
        std::strtoull(jsonField(Body, "AckCursor").c_str(), nullptr, 10);
    for (; Forgotten < Cursor && !Ends.empty(); ++Forgotten) {
      const auto [Job, How] = EndKeys.front();
      if (How == "done") {
        ++DoneNoted[Job];
        note("AckCursor reaches the end of " + Job + " as done");
      }
      Ends.pop_front();
      EndKeys.pop_front();
    }
    const auto Until =
        steady::now() + std::chrono::milliseconds(std::strtoull(
                            jsonField(Body, "WaitMs").c_str(), nullptr, 10));
    const std::uint64_t Before = LastEnd;
    const int Life = Lives;
    const bool Last = !Up; // it answers this call, then crashes
    HoldSince = steady::now();
    ++Holds;
    for (;;) {
      const auto Next = advance();
      if (LastEnd != Before || steady::now() >= Until || Lives != Life || !Up)
        break;
      Changed.wait_until(Lock, std::min(Next, Until));
    }
    --Holds;
    if (Lives != Life || (!Up && !Last))
      return {.Reset = true};
    std::string Rows;
    for (const auto &[Key, Run] : Runs)
      Rows += (Rows.empty() ? "[\"" : ",[\"") + Key.Task + "\"," +
              std::to_string(Key.Run) + ",\"\"," +
              std::to_string(Run.percent()) + ",1]";
    std::string Finished;
    std::size_t Count = 0;
    for (const std::string &Each : Ends)
      if (Count++ < 500)
        Finished += (Finished.empty() ? "" : ",") + Each;
    return {.Body = "{\"ClockMs\":" + std::to_string(sinceMs(Start)) +
                    ",\"born\":" + std::to_string(Born) + ",\"Running\":[" +
                    Rows + "],\"Finished\":[" + Finished + "]}"};
  }

  std::string Id;
  std::string Ip;
  int Port;
  std::string Kind;
  std::string Rack;
  limits Limits;
  note_function Note;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::condition_variable Begun;
  bool Up = false;
  int Lives = 0;
  int CrashDownMs = 0;
  int Holds = 0;
  steady::time_point HoldSince;
  std::int64_t Born = 0;
  steady::time_point Start;
  std::map<run_key, run> Runs;
  std::map<std::string, int> Started;
  std::map<std::string, std::uint64_t> Highest;
  std::deque<std::string> Ends;
  std::deque<std::pair<std::string, std::string>> EndKeys; ///< job, how
  std::map<std::string, int> DoneNoted;
  std::string EndJob;
  int EndAfterMs = 0;
  std::uint64_t Seq = 0;
  std::uint64_t LastEnd = 0;
  std::uint64_t Forgotten = 0;
  std::uint64_t Token = 0;
  std::int64_t LeaseEndMs = 0;
  server Server;
};

} // namespace review3
