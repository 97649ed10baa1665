#include "jobentry/leaderprobe.h"

#include "workcodec/workcodec.h"

#include <utility>

namespace geraniumpaddle {

namespace {

/// Covers a round trip between regions, on slow machines.
constexpr duration QueryTimeout = std::chrono::milliseconds(300);
constexpr int MaxAttempts = 2;

leader_status decode(const proto::work::OfficeState &State) {
  using enum leader_status::leader_state;
  if (!State.in_office())
    return {.State = NotLeading};
  return {.State = Leading,
          .SinceLastAppend = work::boundedMilliseconds(State.since_stored_ms()),
          .SinceElected = work::boundedMilliseconds(State.since_won_ms()),
          .Agents = State.agents()};
}

} // namespace

void leader_probe::sendQuery(const std::string &Address,
                             std::function<void(const peer_result &)> Done) {
  proto::PeerRequest Request = makeRequest(Self);
  Request.mutable_office_asked();
  Peers.call(
      Address, Request, QueryTimeout,
      [Alive = Alive, Done = std::move(Done)](const peer_result &Result) {
        if (*Alive)
          Done(Result);
      });
}

void leader_probe::run(const std::string &Leader,
                       std::vector<std::string> Others,
                       std::function<void(leader_status)> Done) {
  std::erase(Others, Leader);
  queryWithRetries(Leader, std::move(Others), MaxAttempts, std::move(Done));
}

void leader_probe::queryWithRetries(const std::string &Leader,
                                    std::vector<std::string> Others,
                                    int AttemptsLeft,
                                    std::function<void(leader_status)> Done) {
  sendQuery(Leader, [this, Leader, Others = std::move(Others), AttemptsLeft,
                     Done = std::move(Done)](const peer_result &Result) {
    if (Result.Status == call_status::Completed) {
      Done(decode(Result.Response.office_state()));
      return;
    }
    // The connection may be broken although the entry is running.
    Peers.reconnect(Leader);
    if (AttemptsLeft > 1)
      queryWithRetries(Leader, Others, AttemptsLeft - 1, Done);
    else
      pollOthers(Others, [Done](bool Answer) {
        Done({.State = leader_status::leader_state::NoAnswer,
              .OthersReachable = Answer});
      });
  });
}

void leader_probe::pollOthers(std::span<const std::string> Addresses,
                              const std::function<void(bool)> &Done) {
  if (Addresses.empty()) {
    Done(false);
    return;
  }
  auto Poll = std::make_shared<poll_state>();
  Poll->Outstanding = Addresses.size();
  Poll->Required = (Addresses.size() + 1) / 2;
  for (const std::string &Address : Addresses)
    sendQuery(Address, [Poll, Done](const peer_result &Result) {
      onPollAnswer(*Poll, Result.Status == call_status::Completed, Done);
    });
}

void leader_probe::onPollAnswer(poll_state &Poll, bool Answered,
                                const std::function<void(bool)> &Done) {
  --Poll.Outstanding;
  Poll.Answered += Answered ? 1 : 0;
  const bool Enough = Poll.Answered >= Poll.Required;
  if (Poll.Reported || (!Enough && Poll.Outstanding > 0))
    return;
  Poll.Reported = true;
  Done(Enough);
}

} // namespace geraniumpaddle
