#pragma once

#include "core/base/types/time.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace geraniumpaddle {

/// A record of a topic that keeps the newest record of each key.
struct keyed_record {
  std::string Key;
  std::string Value;
  bool Deleted = false; ///< the record deletes its key
  std::uint64_t Offset = 0;
};

// Events of a topic_follower.

/// One page of the newest record of each key. The pages of one pass are not a
/// consistent snapshot.
struct newest_page {
  std::vector<keyed_record> Records;
  bool HasMore = false;
  std::uint64_t End = 0; ///< offset after the last record of the topic
};
/// Records from \c From on, in order; may be empty.
struct topic_batch {
  std::uint64_t From = 0;
  std::uint64_t End = 0;
  /// Offset after the last record that was read. Unreadable records are left
  /// out of \c Records.
  std::uint64_t Next = 0;
  std::vector<keyed_record> Records;
};
/// The records at the requested offset are no longer retained.
struct history_truncated {};
struct topic_read_failed {};
/// Somebody waits for the newest records; ends the pause between reads.
struct topic_read_needed {};
struct topic_timer_expired {};

using topic_event =
    std::variant<newest_page, topic_batch, history_truncated, topic_read_failed,
                 topic_read_needed, topic_timer_expired>;

// Commands.

struct read_newest {
  std::string After; ///< last key of the previous page
};
struct read_topic {
  std::uint64_t From = 0;
};
struct deliver_record {
  keyed_record Record;
};
/// All that was in the topic when loading began has been delivered.
struct topic_loaded {};
struct set_topic_timer {
  time_point At{};
};

using topic_command = std::variant<read_newest, read_topic, deliver_record,
                                   topic_loaded, set_topic_timer>;

} // namespace geraniumpaddle
