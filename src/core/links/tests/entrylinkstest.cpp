#include "core/links/entrylinks.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <chrono>

using namespace geraniumpaddle;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> Balancer = {"10.0.0.1:7000"};
constexpr time_point Start{};

std::vector<std::string> sentTo(std::span<const link_command> Commands) {
  std::vector<std::string> Addresses;
  for (const link_command &Command : Commands)
    if (const auto *Send = std::get_if<send_heartbeat>(&Command))
      Addresses.push_back(Send->Address);
  return Addresses;
}

bool replaces(std::span<const link_command> Commands,
              std::string_view Address) {
  return std::any_of(
      Commands.begin(), Commands.end(), [&](const link_command &Command) {
        const auto *Replace = std::get_if<replace_connection>(&Command);
        return Replace && Replace->Address == Address;
      });
}

heartbeat_answered answer(std::string Address,
                          std::vector<std::string> Entries) {
  return {std::move(Address), 1s, false, std::move(Entries)};
}

} // namespace

TEST_GROUP(EntryLinks) {
  entry_links Links{link_settings{}, Balancer};

  void discoverTwoEntries() {
    Links.handle(links_started{}, Start);
    Links.handle(answer("10.0.0.1:7000", {"10.0.0.2:7000", "10.0.0.3:7000"}),
                 Start);
    Links.handle(answer("10.0.0.2:7000", {}), Start);
    Links.handle(answer("10.0.0.3:7000", {}), Start + 1ms);
  }
};

TEST(EntryLinks, StartsAtTheBalancerAndDiscoversTheEntries) {
  auto First = sentTo(Links.handle(links_started{}, Start));
  CHECK(First == Balancer);
  auto Next = sentTo(Links.handle(
      answer("10.0.0.1:7000", {"10.0.0.2:7000", "10.0.0.3:7000"}), Start));
  LONGS_EQUAL(2, Next.size());
}

TEST(EntryLinks, DoesNotUseTheBalancerOnceEntriesAnswer) {
  discoverTwoEntries();
  auto Sent = sentTo(Links.handle(links_timer_expired{}, Start + 2s));
  CHECK((Sent == std::vector<std::string>{"10.0.0.2:7000", "10.0.0.3:7000"}));
}

TEST(EntryLinks, MaintainsTheLinkToAnEntryThatIsAlsoAConfiguredAddress) {
  Links.handle(links_started{}, Start);
  Links.handle(answer(Balancer[0], {Balancer[0], "10.0.0.2:7000"}), Start);
  Links.handle(answer("10.0.0.2:7000", {}), Start);
  auto Sent = sentTo(Links.handle(links_timer_expired{}, Start + 2s));
  LONGS_EQUAL(2, Sent.size());
}

TEST(EntryLinks, ReplacesAFailedConnectionAndUsesAnotherEntry) {
  discoverTwoEntries();
  STRCMP_EQUAL("10.0.0.3:7000", std::string(*Links.preferred()).c_str());
  Links.handle(links_timer_expired{}, Start + 2s);
  CHECK(replaces(Links.handle(heartbeat_failed{"10.0.0.3:7000"}, Start + 4s),
                 "10.0.0.3:7000"));
  STRCMP_EQUAL("10.0.0.2:7000", std::string(*Links.preferred()).c_str());
}

TEST(EntryLinks, ReturnsToTheBalancerWhenAllEntriesFail) {
  discoverTwoEntries();
  bool BalancerUsed = false;
  for (int Round = 0; Round < 40 && !BalancerUsed; ++Round) {
    time_point Now = Start + 2s + Round * 1s;
    auto Sent = sentTo(Links.handle(links_timer_expired{}, Now));
    for (std::size_t I = 0; I < Sent.size() && !BalancerUsed; ++I) {
      BalancerUsed = Sent[I] == Balancer[0];
      auto More = sentTo(Links.handle(heartbeat_failed{Sent[I]}, Now));
      Sent.insert(Sent.end(), More.begin(), More.end());
    }
  }
  CHECK(BalancerUsed);
}

TEST(EntryLinks, AStateChangeIsSentOnEveryLinkAtOnce) {
  discoverTwoEntries();
  auto Sent = sentTo(Links.handle(agent_state_changed{}, Start + 10ms));
  LONGS_EQUAL(2, Sent.size());
}

TEST(EntryLinks, AChangeDuringAHeartbeatIsSentAfterItsAnswer) {
  discoverTwoEntries();
  Links.handle(links_timer_expired{}, Start + 2s);
  CHECK(sentTo(Links.handle(agent_state_changed{}, Start + 2s)).empty());
  auto Sent = sentTo(Links.handle(answer("10.0.0.2:7000", {}), Start + 2s));
  CHECK(Sent == std::vector<std::string>{"10.0.0.2:7000"});
}

TEST(EntryLinks, SendsTheRegistrationAgainWhenAnEntryRequestsIt) {
  discoverTwoEntries();
  Links.handle(links_timer_expired{}, Start + 2s);
  heartbeat_answered Reply = answer("10.0.0.2:7000", {});
  Reply.RegistrationWanted = true;
  for (const link_command &Command : Links.handle(Reply, Start + 2s))
    if (const auto *Send = std::get_if<send_heartbeat>(&Command))
      CHECK(Send->WithRegistration);
}
