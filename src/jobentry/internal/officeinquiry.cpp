#include "jobentry/officeinquiry.h"

#include <utility>

namespace geraniumpaddle {

namespace {

/// Covers a round trip between regions, on slow machines.
constexpr duration QueryTimeout = std::chrono::milliseconds(300);
constexpr int MaxAttempts = 2;

holder_answered decode(const proto::work::OfficeState &State) {
  using enum holder_answered::holder_state;
  if (!State.in_office())
    return {.State = OutOfOffice};
  return {.State = InOffice,
          .SinceStored = std::chrono::milliseconds(State.since_stored_ms()),
          .SinceWon = std::chrono::milliseconds(State.since_won_ms()),
          .Agents = State.agents()};
}

} // namespace

void office_inquiry::sendQuery(const std::string &Address,
                               std::function<void(const peer_result &)> Done) {
  proto::PeerRequest Request = makeRequest(Self);
  Request.mutable_office_asked();
  Peers.call(Address, Request, QueryTimeout,
             [Life = Alive, Done = std::move(Done)](const peer_result &Result) {
               if (*Life)
                 Done(Result);
             });
}

void office_inquiry::run(const std::string &Leader,
                         std::vector<std::string> Others,
                         std::function<void(holder_answered)> Done) {
  std::erase(Others, Leader);
  queryWithRetries(Leader, std::move(Others), MaxAttempts, std::move(Done));
}

void office_inquiry::queryWithRetries(
    const std::string &Leader, std::vector<std::string> Others,
    int AttemptsLeft, std::function<void(holder_answered)> Done) {
  sendQuery(Leader, [this, Leader, Others = std::move(Others), AttemptsLeft,
                     Done = std::move(Done)](const peer_result &Result) {
    if (Result.Status == call_status::Completed) {
      Done(decode(Result.Response.office_state()));
      return;
    }
    // The connection may be dead although the entry is alive.
    Peers.reconnect(Leader);
    if (AttemptsLeft > 1)
      queryWithRetries(Leader, Others, AttemptsLeft - 1, Done);
    else
      pollOthers(Others, [Done](bool Answer) {
        Done({.State = holder_answered::holder_state::Silent,
              .OthersAnswer = Answer});
      });
  });
}

void office_inquiry::pollOthers(std::span<const std::string> Addresses,
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

void office_inquiry::onPollAnswer(poll_state &Poll, bool Answered,
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
