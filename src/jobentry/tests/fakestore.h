#pragma once

#include "platform/istore.h"

#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace geraniumpaddle::testing {

/// A store with one topic, which keeps appends until the test answers them.
/// Appends without records are answered at once.
class fake_store final : public istore {
public:
  void append(const append_call &Call,
              std::function<void(const append_outcome &)> Done) override {
    if (Call.Records.empty())
      Done({.Status = store_append_status::Stored, .End = Log.size()});
    else
      Appends.emplace_back(Call, std::move(Done));
  }
  void read(store_topic, std::uint64_t From, duration,
            std::function<void(const read_outcome &)> Done) override {
    if (From == Log.size()) {
      Readers.emplace_back(From, std::move(Done));
      return;
    }
    Done({.Ok = true, .Batch = batch(From)});
  }
  void newest(store_topic, std::string_view,
              std::function<void(const newest_outcome &)> Done) override {
    Done({.Ok = true, .Page = {.Records = Log, .End = Log.size()}});
  }
  void join(const join_call &,
            std::function<void(const join_outcome &)>) override {}
  void leave(std::string_view) override {}

  /// Stores the oldest open append and answers it.
  void answerStored() {
    auto [Call, Done] = takeAppend();
    const std::uint64_t Offset = Log.size();
    store(Call);
    Done({.Status = store_append_status::Stored,
          .Offset = Offset,
          .End = Log.size()});
  }
  /// Answers the oldest open append without storing it.
  void answerUnstored(store_append_status Status) {
    takeAppend().second({.Status = Status});
  }
  /// Removes the oldest open append without an answer.
  append_call loseAnswer() { return takeAppend().first; }
  /// Carries out an append, and answers the reads that wait.
  void store(const append_call &Call) {
    for (const keyed_value &Each : Call.Records)
      Log.push_back(
          {.Key = Each.Key, .Value = Each.Value, .Offset = Log.size()});
    auto Waiting = std::exchange(Readers, {});
    for (auto &[From, Done] : Waiting)
      Done({.Ok = true, .Batch = batch(From)});
  }

  std::deque<
      std::pair<append_call, std::function<void(const append_outcome &)>>>
      Appends;
  std::vector<keyed_record> Log;

private:
  std::pair<append_call, std::function<void(const append_outcome &)>>
  takeAppend() {
    auto Oldest = std::move(Appends.at(0)); // throws if there is none
    Appends.pop_front();
    return Oldest;
  }
  topic_batch batch(std::uint64_t From) const {
    return {.From = From,
            .End = Log.size(),
            .Next = Log.size(),
            .Records = {Log.begin() + static_cast<std::ptrdiff_t>(From),
                        Log.end()}};
  }

  std::vector<
      std::pair<std::uint64_t, std::function<void(const read_outcome &)>>>
      Readers;
};

} // namespace geraniumpaddle::testing
