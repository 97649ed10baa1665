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

/// One record as appended: the length of the key in one byte, the key and the
/// value. An empty value deletes the key.
using store_record = std::string;

enum class store_result : std::uint8_t {
  Done,
  Fenced,        ///< the producer already used a higher term
  OutOfSequence, ///< the sequence number does not follow the last one
  Truncated      ///< the log no longer has the requested offset
};

/// Result of an append.
struct append_result {
  store_result Answer = store_result::Done;
  std::uint64_t Offset = 0;
  std::uint64_t End = 0;
  std::uint64_t Expected = 0; ///< next sequence number, if OutOfSequence
};

/// Identifies an append of a producer, for fencing and deduplication.
struct producer_stamp {
  std::string Producer;
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0;
};

/// Result of a read from an offset.
struct read_result {
  store_result Answer = store_result::Done;
  std::uint64_t End = 0;
  std::uint64_t First = 0;
  std::vector<store_record> Records;
};

/// The newest record of a key.
struct newest_record {
  std::string Key;
  std::string Value;
  std::uint64_t Offset = 0;
};

/// Result of joining the group or of renewing the membership.
struct join_result {
  std::uint64_t Generation = 0;
  bool IsHolder = false; ///< the member holds the partition
};

/// In-memory model of the platform's store, after its published protocol:
/// topics that keep the newest record of each key, producers with terms and
/// sequence numbers, logs that can be truncated, and a group whose only
/// partition is assigned to one of its members.
class store_model {
public:
  append_result append(const std::string &Topic,
                       const std::vector<store_record> &Records,
                       const std::optional<producer_stamp> &Stamp);
  read_result read(const std::string &Topic, std::uint64_t From) const;
  std::vector<newest_record> newest(const std::string &Topic) const;
  std::uint64_t end(const std::string &Topic) const;
  /// Truncates the log of every topic. The newest record of each key is kept.
  void compact();

  join_result join(const std::string &Member, std::uint64_t Generation,
                   duration TimeToLive, time_point Now);
  void leave(const std::string &Member, time_point Now);

private:
  struct producer {
    std::uint64_t Term = 0;
    std::uint64_t LastSequence = 0;
    bool Appended = false; ///< in this term
    std::map<std::uint64_t, append_result> Results;
  };
  struct topic {
    std::uint64_t First = 0;
    std::deque<store_record> Records;
    std::map<std::string, newest_record> Newest;
    std::map<std::string, producer> Producers;
  };
  struct member {
    time_point Until{};
    std::uint64_t KnownGeneration = 0;
  };

  void assignPartition(time_point Now);

  std::map<std::string, topic> Topics;
  std::map<std::string, member> Members;
  /// Member that holds the partition, until it has seen the generation that
  /// assigns it to another member.
  std::string Holder;
  std::string Assignee; ///< member that the partition is assigned to
  std::uint64_t Generation = 0;
};

} // namespace geraniumpaddle::standins
