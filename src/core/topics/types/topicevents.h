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
  bool Deleted = false; ///< the key has no value any more
  std::uint64_t Offset = 0;
};

// Events of a topic_follower.

/// One page of the newest records. Pages are no snapshot.
struct newest_page {
  std::vector<keyed_record> Records;
  bool HasMore = false;
  std::uint64_t End = 0; ///< offset after the last record of the topic
};
/// Records from \c From on, in order; maybe none.
struct topic_batch {
  std::uint64_t From = 0;
  std::uint64_t End = 0;
  std::vector<keyed_record> Records;
};
/// The records that were asked for are not kept any more.
struct history_truncated {};
struct topic_read_failed {};
struct topic_timer_expired {};

using topic_event = std::variant<newest_page, topic_batch, history_truncated,
                                 topic_read_failed, topic_timer_expired>;

// Commands.

struct read_newest {
  std::string After; ///< key of the last record of the page before
};
struct read_topic {
  std::uint64_t From = 0;
};
struct deliver_record {
  keyed_record Record;
};
/// Everything that was in the topic when its reading began was delivered.
struct topic_loaded {};
struct set_topic_timer {
  time_point At{};
};

using topic_command = std::variant<read_newest, read_topic, deliver_record,
                                   topic_loaded, set_topic_timer>;

} // namespace geraniumpaddle
