#include "core/ledger/tests/randomlog.h"

#include <rapidcheck.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;

namespace {

/// Applies a log of random length to \p Ledger; calls \p AfterEach after each
/// record.
template <typename Visitor>
void applyRandomLog(ledger &Ledger, Visitor AfterEach) {
  constexpr int MaxRecords = 400;
  auto Seeds =
      *rc::gen::resize(MaxRecords, rc::gen::container<std::vector<record_seed>>(
                                       rc::gen::arbitrary<record_seed>()));
  random_log Log(Ledger);
  for (const record_seed &Seed : Seeds) {
    record Record = Log.make(Seed);
    verdict Verdict = Ledger.apply(next(Ledger.lastApplied()), Record);
    AfterEach(Record, Verdict);
  }
}

/// True if two attempts hold the same accelerator.
bool sharesAccelerators(const ledger &Ledger) {
  std::vector<std::pair<worker_id, accelerator_mask>> InUse;
  for (const job_entry *Job : Ledger.runningAttempts())
    for (const task_assignment &Assignment : Job->Assignments) {
      for (const auto &[Worker, Mask] : InUse)
        if (Worker == Assignment.Worker &&
            (Mask & Assignment.Accelerators) != 0)
          return true;
      InUse.emplace_back(Assignment.Worker, Assignment.Accelerators);
    }
  return false;
}

/// Total accelerators by which the guarantees fall short. The random log has no
/// rack guarantees.
int missingAccelerators(const ledger &Ledger) {
  static constexpr std::array<int, 5> Sizes{1, 2, 4, 8, 8};
  int Missing = 0;
  for (const guarantee_shortfall &Shortfall : Ledger.account().shortfalls())
    Missing +=
        Shortfall.Missing * Sizes.at(static_cast<std::size_t>(Shortfall.Level));
  return Missing;
}

} // namespace

TEST_GROUP(LedgerProperties){};

TEST(LedgerProperties,
     RestoringASnapshotAndApplyingTheTailEqualsReplayingTheWholeLog) {
  bool Passed = rc::check([] {
    ledger Whole;
    std::vector<record> Log;
    applyRandomLog(Whole, [&Log](const record &Record, const verdict &) {
      Log.push_back(Record);
    });
    auto Cut = *rc::gen::inRange<std::size_t>(0, Log.size() + 1);
    ledger Prefix;
    for (std::size_t Index = 0; Index < Cut; ++Index)
      Prefix.apply(next(Prefix.lastApplied()), Log[Index]);
    ledger Restored(Prefix.image());
    for (std::size_t Index = Cut; Index < Log.size(); ++Index)
      Restored.apply(next(Restored.lastApplied()), Log[Index]);
    RC_ASSERT(Restored.image() == Whole.image());
  });
  CHECK(Passed);
}

TEST(LedgerProperties,
     EachAcceptedChangeIncrementsTheVersionAndOneOfConcurrentChangesWins) {
  bool Passed = rc::check([] {
    ledger Ledger;
    config_version Last{};
    std::vector<config_version> AcceptedBases;
    applyRandomLog(Ledger, [&](const record &Record, const verdict &Verdict) {
      const auto *Change = std::get_if<customers_changed>(&Record.Body);
      const bool Accepted = Change != nullptr && Verdict.accepted();
      RC_ASSERT(raw(Ledger.version()) == raw(Last) + (Accepted ? 1 : 0));
      Last = Ledger.version();
      if (!Accepted)
        return;
      RC_ASSERT(std::find(AcceptedBases.begin(), AcceptedBases.end(),
                          Change->Base) == AcceptedBases.end());
      AcceptedBases.push_back(Change->Base);
    });
  });
  CHECK(Passed);
}

TEST(LedgerProperties,
     AcceleratorsAreNeverSharedAndShortfallsGrowOnlyWithLostWorkers) {
  bool Passed = rc::check([] {
    ledger Ledger;
    int MissingBefore = 0;
    applyRandomLog(Ledger, [&](const record &Record, const verdict &Verdict) {
      RC_ASSERT(!sharesAccelerators(Ledger));
      const int Missing = missingAccelerators(Ledger);
      const bool LosesWorkers =
          std::holds_alternative<worker_state_changed>(Record.Body) ||
          std::holds_alternative<worker_registered>(Record.Body);
      RC_ASSERT(LosesWorkers || Missing <= MissingBefore);
      RC_ASSERT(Verdict.accepted() || Missing == MissingBefore);
      MissingBefore = Missing;
    });
  });
  CHECK(Passed);
}

TEST(LedgerProperties, ANonIdempotentJobStartsAtMostOnce) {
  bool Passed = rc::check([] {
    ledger Ledger;
    std::vector<std::pair<job_id, fencing_token>> Started;
    applyRandomLog(Ledger, [&](const record &Record, const verdict &Verdict) {
      const auto *Start = std::get_if<job_started>(&Record.Body);
      if (Start == nullptr || !Verdict.accepted() ||
          Ledger.job(Start->Job)->Spec.Idempotent)
        return;
      for (const auto &[Job, Token] : Started)
        RC_ASSERT(Job != Start->Job || Token == Start->Token);
      Started.emplace_back(Start->Job, Start->Token);
    });
  });
  CHECK(Passed);
}

TEST(LedgerProperties, DuplicatesOfTheWholeLogChangeNothing) {
  bool Passed = rc::check([] {
    ledger Ledger;
    std::vector<record> Log;
    applyRandomLog(Ledger, [&Log](const record &Record, const verdict &) {
      Log.push_back(Record);
    });
    ledger_image Before = Ledger.image();
    for (const record &Record : Log)
      RC_ASSERT(!Ledger.apply(next(Ledger.lastApplied()), Record).accepted());
    RC_ASSERT(Ledger.image().Jobs == Before.Jobs);
    RC_ASSERT(Ledger.image().Customers == Before.Customers);
    RC_ASSERT(Ledger.image().Workers == Before.Workers);
    RC_ASSERT(Ledger.image().Capacity == Before.Capacity);
  });
  CHECK(Passed);
}
