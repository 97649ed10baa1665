#pragma once

#include "core/topics/types/topicevents.h"
#include "transport/ihttpclient.h"

#include <optional>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Topics of the store that the system uses.
enum class store_topic : std::uint8_t {
  Operator, ///< written by operators: the configuration
  Jobs,     ///< submissions and cancellations; any entry writes
  Progress, ///< of jobs; the scheduler in office writes
  Entries,  ///< where the entries are; each writes its own
};

struct keyed_value {
  std::string Key;
  std::string Value; ///< empty: drops the key
};

/// Makes a repeated append harmless and fences earlier terms.
struct producer_stamp {
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0;
};

struct append_call {
  store_topic Topic = store_topic::Jobs;
  std::vector<keyed_value> Records; ///< none: only sets the term
  std::optional<producer_stamp> Stamp;
  duration Timeout{};
  bool Relayable = true; ///< see store_request
};

enum class stored_status : std::uint8_t {
  Stored,
  Refused,       ///< nothing was done
  Fenced,        ///< a higher term was seen
  OutOfSequence, ///< the sequence number does not follow the last one
  Unknown,       ///< may have been stored, or may yet be
};

struct append_outcome {
  stored_status Status = stored_status::Unknown;
  int Code = 0;               ///< HTTP status, for logs
  std::uint64_t Offset = 0;   ///< of the first record, if Stored
  std::uint64_t End = 0;      ///< if Stored
  std::uint64_t Sequence = 0; ///< the expected one, if OutOfSequence
};

struct read_outcome {
  bool Ok = false;
  bool HistoryGone = false;
  topic_batch Batch;
};

struct newest_outcome {
  bool Ok = false;
  newest_page Page;
};

struct join_call {
  std::string Member;
  std::uint64_t Generation = 0;
  duration TimeToLive{};
  duration Timeout{};
};

struct join_outcome {
  bool Ok = false;
  std::uint64_t Generation = 0;
  bool HoldsProgress = false; ///< it is to stand by for the office
};

/// One call to the store, before its meaning.
struct store_request {
  std::string Method;
  std::string Target;
  std::string Body;
  std::string ContentType;
  duration Timeout{};
  /// Another entry may make the call in this one's place.
  bool Relayable = true;
};

struct store_reply {
  call_status Status = call_status::NotSent;
  int Code = 0;
  std::string Body;
};

} // namespace geraniumpaddle
