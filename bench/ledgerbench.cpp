// Measures applying the log at the target size: records per second by kind,
// with a plain map update in the same run as the baseline, resident memory, and
// the time to encode and restore a snapshot.
//
//   ledgerbench [WORKERS [TASKS]]

#include "ledgerworkload.h"

#include "codec/imagecodec.h"
#include "codec/recordcodec.h"
#include "core/ledger/snapshot.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <unordered_map>

#include <unistd.h>

using namespace geraniumpaddle;

namespace {

using steady = std::chrono::steady_clock;

double secondsSince(steady::time_point Start) {
  return std::chrono::duration<double>(steady::now() - Start).count();
}

double residentMb() {
  std::ifstream File("/proc/self/statm");
  long Total = 0;
  long Resident = 0;
  File >> Total >> Resident;
  return static_cast<double>(Resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

/// Baseline: the least work of applying a record, one map entry updated.
class map_baseline {
public:
  void apply(const record &Record) {
    entry &Entry = Entries[Record.Producer.Node.str() +
                           std::to_string(Record.Producer.Sequence % Keys)];
    ++Entry.Count;
    Entry.Last = Record.Actor.str();
  }

private:
  static constexpr std::uint64_t Keys = 16'384;
  struct entry {
    std::uint64_t Count = 0;
    std::string Last;
  };
  std::unordered_map<std::string, entry> Entries;
};

struct phase_result {
  std::size_t Records = 0;
  std::size_t Accepted = 0;
  double Seconds = 0;
  double BaselineSeconds = 0;
};

/// Measures applying \p Records to the ledger and to the baseline.
phase_result measureApplying(ledger &Ledger, std::span<const record> Records) {
  phase_result Result;
  Result.Records = Records.size();
  auto Start = steady::now();
  for (const record &Record : Records)
    Result.Accepted +=
        Ledger.apply(next(Ledger.lastApplied()), Record).accepted();
  Result.Seconds = secondsSince(Start);
  map_baseline Baseline;
  Start = steady::now();
  for (const record &Record : Records)
    Baseline.apply(Record);
  Result.BaselineSeconds = secondsSince(Start);
  return Result;
}

void print(const char *Name, const phase_result &Result) {
  std::printf("%-22s %8zu records %8zu accepted %10.0f records/s  %6.1f x "
              "the time of a map update\n",
              Name, Result.Records, Result.Accepted,
              static_cast<double>(Result.Records) / Result.Seconds,
              Result.Seconds / Result.BaselineSeconds);
}

void measureDecoding(std::span<const record> Records) {
  std::vector<std::string> Payloads;
  Payloads.reserve(Records.size());
  std::size_t Bytes = 0;
  for (const record &Record : Records) {
    Payloads.push_back(encodeRecord(Record));
    Bytes += Payloads.back().size();
  }
  auto Start = steady::now();
  for (const std::string &Payload : Payloads)
    decodeRecord(Payload);
  const double Seconds = secondsSince(Start);
  const auto Count = static_cast<double>(Payloads.size());
  std::printf("%-22s %8zu records %10.0f records/s, %.0f bytes each\n",
              "decode", Payloads.size(), Count / Seconds,
              static_cast<double>(Bytes) / Count);
}

void measureSnapshot(const ledger &Ledger) {
  auto Start = steady::now();
  const std::string Bytes = encodeImage(Ledger.image());
  const double Encode = secondsSince(Start);
  Start = steady::now();
  snapshotChecksum(Bytes);
  const double Checksum = secondsSince(Start);
  Start = steady::now();
  const ledger Restored(decodeImage(Bytes));
  const double Restore = secondsSince(Start);
  const bool Equal = Restored.image() == Ledger.image();
  std::printf("snapshot               %zu bytes, encode %.1f ms, checksum "
              "%.1f ms, restore %.1f ms, %s\n",
              Bytes.size(), Encode * 1000, Checksum * 1000, Restore * 1000,
              Equal ? "equal" : "NOT EQUAL");
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  constexpr int DefaultWorkers = 850;
  constexpr int DefaultTasks = 14'000;
  const int Workers =
      ArgumentCount > 1 ? std::atoi(Arguments[1]) : DefaultWorkers;
  const int Tasks = ArgumentCount > 2 ? std::atoi(Arguments[2]) : DefaultTasks;
  const double Before = residentMb();
  ledger Ledger;
  ledger_workload Workload(Workers);
  print("registrations", measureApplying(Ledger, Workload.registrations()));
  print("customers", measureApplying(Ledger, Workload.customers()));
  const std::vector<record> Submissions = Workload.submissions(Tasks);
  print("submissions", measureApplying(Ledger, Submissions));
  print("placements", measureApplying(Ledger, Workload.placements(Ledger)));
  print("starts", measureApplying(Ledger, Workload.starts(Ledger)));
  std::printf(
      "state                  %zu workers, %zu customers, %zu attempts, "
      "%.1f MB resident (%.1f MB before)\n",
      Ledger.workers().size(), Ledger.customers().size(),
      Ledger.runningAttempts().size(), residentMb(), Before);
  measureSnapshot(Ledger);
  print("a day of changes",
        measureApplying(Ledger, Workload.limitChanges(Ledger, 2'500)));
  print("agent restarts", measureApplying(Ledger, Workload.restarts(50'000)));
  print("submit and cancel",
        measureApplying(Ledger, Workload.shortJobs(100'000)));
  print("requeue", measureApplying(Ledger, Workload.aborts(Ledger)));
  print("repeats", measureApplying(Ledger, Workload.lastRecords()));
  std::printf("after                  %.1f MB resident\n", residentMb());
  measureSnapshot(Ledger);
  measureDecoding(Submissions);
  return 0;
}
