#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle::standins {

/// Bytes of one record, as appended: a key's length, the key and the value.
using store_record = std::string;

enum class store_answer : std::uint8_t { Done, Fenced, OutOfSequence, Gone };

struct store_append {
  store_answer Answer = store_answer::Done;
  std::uint64_t Offset = 0;
  std::uint64_t End = 0;
  std::uint64_t Expected = 0; ///< sequence number, if OutOfSequence
};

struct store_stamp {
  std::string Producer;
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0;
};

struct store_read {
  store_answer Answer = store_answer::Done;
  std::uint64_t End = 0;
  std::uint64_t First = 0;
  std::vector<store_record> Records;
};

struct newest_record {
  std::string Key;
  std::string Value;
  std::uint64_t Offset = 0;
};

struct group_answer {
  std::uint64_t Generation = 0;
  bool Holds = false; ///< the first partition
};

/// The platform's store as its published protocol describes it: topics that
/// keep the newest record of each key, producers with terms and sequence
/// numbers, a log that forgets, and a group that deals a partition to one of
/// its members.
class store_model {
public:
  store_append append(const std::string &Topic,
                      const std::vector<store_record> &Records,
                      const std::optional<store_stamp> &Stamp);
  store_read read(const std::string &Topic, std::uint64_t From) const;
  std::vector<newest_record> newest(const std::string &Topic) const;
  std::uint64_t end(const std::string &Topic) const;
  /// Forgets the log of every topic; the newest record of each key stays.
  void compact();

  group_answer join(const std::string &Member, std::uint64_t Generation,
                    duration TimeToLive, time_point Now);
  void leave(const std::string &Member, time_point Now);

private:
  struct producer {
    std::uint64_t Term = 0;
    std::uint64_t LastSequence = 0;
    bool Appended = false; ///< in this term
    std::map<std::uint64_t, store_append> Answers;
  };
  struct topic {
    std::uint64_t First = 0;
    std::deque<store_record> Records;
    std::map<std::string, newest_record> Newest;
    std::map<std::string, producer> Producers;
  };
  struct member {
    time_point Until{};
    std::uint64_t SeenGeneration = 0;
  };

  void deal(time_point Now);

  std::map<std::string, topic> Topics;
  std::map<std::string, member> Members;
  std::string Holder;   ///< has the partition until it saw that it lost it
  std::string Assigned; ///< shall have it
  std::uint64_t Generation = 0;
};

} // namespace geraniumpaddle::standins
