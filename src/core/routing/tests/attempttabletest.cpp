#include "core/routing/attempttable.h"

#include <map>
#include <vector>

// After the standard headers, which do not compile with its macro for new.
#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

constexpr incarnation Incarnation{7};

attempt_settings oneSlot() {
  attempt_settings Settings;
  Settings.Slots = 1;
  Settings.QueueLimit = 1;
  Settings.Retention = 90s;
  Settings.MaxAnswerBytes = 100;
  return Settings;
}

attempt_id id(std::uint64_t Number) {
  return {node_id("e"), incarnation{1}, Number};
}

/// An attempt table that records its commands by kind.
struct attempt_table_fixture {
  attempt_table Table{oneSlot(), Incarnation};
  time_point Now{100s};
  std::uint64_t LastCall = 0;
  std::vector<std::uint64_t> Started;
  std::map<std::uint64_t, report_attempt> Reports; ///< by call
  bool Drained = false;

  void sendEvent(const attempt_event &Event) {
    for (const attempt_command &Command : Table.handle(Event, Now)) {
      if (const auto *Call = std::get_if<call_endpoint>(&Command))
        Started.push_back(Call->Attempt.Number);
      else if (const auto *Report = std::get_if<report_attempt>(&Command))
        Reports.emplace(raw(Report->Call), *Report);
      else if (std::holds_alternative<agent_drained>(Command))
        Drained = true;
    }
  }
  std::uint64_t deliver(std::uint64_t Number, const char *Customer = "c",
                        incarnation Target = Incarnation) {
    sendEvent(delivery_arrived{call_handle{++LastCall}, id(Number), Target,
                               customer_id(Customer), false, 5s});
    return LastCall;
  }
  attempt_state query(std::uint64_t Number) {
    sendEvent(query_arrived{call_handle{++LastCall}, id(Number), Incarnation});
    return Reports.at(LastCall).State;
  }
  void finish(std::uint64_t Number, endpoint_result Result,
              std::uint32_t Bytes = 10) {
    sendEvent(endpoint_finished{id(Number), Result, Bytes});
  }
  void wait(duration Length) {
    Now += Length;
    sendEvent(agent_timer_expired{});
  }
  attempt_refusal refusal(std::uint64_t Call) const {
    return Reports.at(Call).Refusal;
  }
};

} // namespace

TEST_GROUP(AttemptTable) { attempt_table_fixture Agent; };

TEST(AttemptTable, RunsADuplicateOnceAndAnswersEachCall) {
  const std::uint64_t First = Agent.deliver(1);
  const std::uint64_t Second = Agent.deliver(1);
  Agent.finish(1, endpoint_result::Answered);
  CHECK(Agent.Reports.at(First).State == attempt_state::Answered);
  CHECK(Agent.Reports.at(Second).State == attempt_state::Answered);
  const std::uint64_t Third = Agent.deliver(1);
  CHECK(Agent.Reports.at(Third).State == attempt_state::Answered);
  LONGS_EQUAL(1, Agent.Started.size());
}

TEST(AttemptTable, RefusesADuplicateOfARefusedAttempt) {
  Agent.deliver(1);
  Agent.deliver(2);
  const std::uint64_t Full = Agent.deliver(3);
  CHECK(Agent.refusal(Full) == attempt_refusal::QueueFull);
  Agent.finish(1, endpoint_result::Answered);
  Agent.finish(2, endpoint_result::Answered);
  const std::uint64_t Copy = Agent.deliver(3);
  CHECK(Agent.Reports.at(Copy).State == attempt_state::NotRun);
  LONGS_EQUAL(2, Agent.Started.size());
}

TEST(AttemptTable, RefusesTheNewestOfTheLongestQueueAndItsDuplicate) {
  Agent.deliver(1);
  const std::uint64_t Own = Agent.deliver(2, "many");
  Agent.deliver(3, "many");
  CHECK(Agent.refusal(Agent.LastCall) == attempt_refusal::QueueFull);
  CHECK(Agent.Reports.find(Own) == Agent.Reports.end());
  Agent.finish(1, endpoint_result::Answered);
  Agent.deliver(3, "many");
  CHECK(Agent.refusal(Agent.LastCall) == attempt_refusal::QueueFull);
  LONGS_EQUAL(2, Agent.Started.size());
}

TEST(AttemptTable, RemembersARefusalWhileDraining) {
  Agent.sendEvent(agent_drain_started{});
  const std::uint64_t Call = Agent.deliver(1);
  CHECK(Agent.refusal(Call) == attempt_refusal::Draining);
  CHECK(Agent.query(1) == attempt_state::NotRun);
}

TEST(AttemptTable, BarsAnUnknownAttemptOnQuery) {
  CHECK(Agent.query(1) == attempt_state::Barred);
  const std::uint64_t Delayed = Agent.deliver(1);
  CHECK(Agent.refusal(Delayed) == attempt_refusal::Barred);
  CHECK(Agent.Started.empty());
}

TEST(AttemptTable, NeverRunsADuplicateOfAnEvictedAttempt) {
  Agent.deliver(5);
  Agent.finish(5, endpoint_result::Answered);
  Agent.wait(91s);
  const std::uint64_t Same = Agent.deliver(5);
  const std::uint64_t Earlier = Agent.deliver(4);
  CHECK(Agent.Reports.at(Same).State == attempt_state::Undetermined);
  CHECK(Agent.Reports.at(Earlier).State == attempt_state::Undetermined);
  CHECK(Agent.query(5) == attempt_state::Undetermined);
  Agent.deliver(6);
  LONGS_EQUAL(2, Agent.Started.size());
}

TEST(AttemptTable, DistinguishesAnUnreachableEndpointFromALostAnswer) {
  const std::uint64_t Down = Agent.deliver(1);
  Agent.finish(1, endpoint_result::NotSent);
  CHECK(Agent.refusal(Down) == attempt_refusal::EndpointDown);
  const std::uint64_t LostAnswer = Agent.deliver(2);
  Agent.finish(2, endpoint_result::Lost);
  CHECK(Agent.Reports.at(LostAnswer).State == attempt_state::Undetermined);
}

TEST(AttemptTable, ReportsAnAttemptForAnotherIncarnation) {
  const std::uint64_t Call = Agent.deliver(1, "c", incarnation{6});
  CHECK(Agent.Reports.at(Call).State == attempt_state::OtherIncarnation);
  CHECK(Agent.Started.empty());
}

TEST(AttemptTable, EvictsTheOldestAnswersAboveMaxAnswerBytes) {
  for (std::uint64_t Number = 1; Number <= 3; ++Number) {
    Agent.deliver(Number);
    Agent.finish(Number, endpoint_result::Answered, 40);
  }
  CHECK(Agent.query(1) == attempt_state::Undetermined);
  CHECK(Agent.query(2) == attempt_state::Answered);
}

TEST(AttemptTable, RefusesAnAttemptThatExpiresInTheQueue) {
  Agent.deliver(1);
  const std::uint64_t Queued = Agent.deliver(2);
  Agent.wait(6s);
  CHECK(Agent.refusal(Queued) == attempt_refusal::DeadlineExpired);
  Agent.finish(1, endpoint_result::Answered);
  LONGS_EQUAL(1, Agent.Started.size());
}

TEST(AttemptTable, DrainsAfterRunningAndQueuedAttempts) {
  Agent.deliver(1);
  Agent.deliver(2);
  Agent.sendEvent(agent_drain_started{});
  Agent.wait(2s);
  Agent.finish(1, endpoint_result::Answered);
  Agent.wait(2s);
  CHECK_FALSE(Agent.Drained);
  Agent.finish(2, endpoint_result::Answered);
  CHECK_FALSE(Agent.Drained);
  Agent.wait(1s);
  CHECK(Agent.Drained);
  LONGS_EQUAL(2, Agent.Started.size());
}
