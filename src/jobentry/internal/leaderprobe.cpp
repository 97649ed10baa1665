#include "jobentry/leaderprobe.h"

#include <utility>

namespace geraniumpaddle {

namespace {

/// Limit of one question: a way between regions and back, on slow machines.
constexpr duration AnswerTimeout = std::chrono::milliseconds(300);
constexpr int Tries = 2;

leader_status decode(const proto::work::OfficeState &State) {
  using enum leader_status::leader_state;
  if (!State.in_office())
    return {.State = NotLeading};
  return {.State = Leading,
          .SinceLastAppend = std::chrono::milliseconds(State.since_stored_ms()),
          .SinceElected = std::chrono::milliseconds(State.since_won_ms()),
          .Agents = State.agents()};
}

} // namespace

void leader_probe::question(const std::string &Address,
                            std::function<void(const peer_result &)> Done) {
  proto::PeerRequest Request = makeRequest(Self);
  Request.mutable_office_asked();
  Peers.call(Address, Request, AnswerTimeout,
             [Life = Alive, Done = std::move(Done)](const peer_result &Result) {
               if (*Life)
                 Done(Result);
             });
}

void leader_probe::ask(const std::string &Holder,
                       std::vector<std::string> Others,
                       std::function<void(leader_status)> Done) {
  std::erase(Others, Holder);
  tryOnce(Holder, std::move(Others), Tries, std::move(Done));
}

void leader_probe::tryOnce(const std::string &Holder,
                           std::vector<std::string> Others, int TriesLeft,
                           std::function<void(leader_status)> Done) {
  question(Holder, [this, Holder, Others = std::move(Others), TriesLeft,
                    Done = std::move(Done)](const peer_result &Result) {
    if (Result.Status == call_status::Completed) {
      Done(decode(Result.Response.office_state()));
      return;
    }
    // The connection may be silent although the entry lives.
    Peers.reconnect(Holder);
    if (TriesLeft > 1)
      tryOnce(Holder, Others, TriesLeft - 1, Done);
    else
      survey(Others, [Done](bool Answer) {
        Done({.State = leader_status::leader_state::NoAnswer,
              .OthersReachable = Answer});
      });
  });
}

void leader_probe::survey(std::span<const std::string> Addresses,
                          const std::function<void(bool)> &Done) {
  if (Addresses.empty()) {
    Done(false);
    return;
  }
  auto Count = std::make_shared<survey_count>();
  Count->Open = Addresses.size();
  Count->Wanted = (Addresses.size() + 1) / 2;
  for (const std::string &Address : Addresses)
    question(Address, [Count, Done](const peer_result &Result) {
      counted(*Count, Result.Status == call_status::Completed, Done);
    });
}

void leader_probe::counted(survey_count &Count, bool Answered,
                           const std::function<void(bool)> &Done) {
  --Count.Open;
  Count.Answered += Answered ? 1 : 0;
  const bool Enough = Count.Answered >= Count.Wanted;
  if (Count.Told || (!Enough && Count.Open > 0))
    return;
  Count.Told = true;
  Done(Enough);
}

} // namespace geraniumpaddle
