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
  Jobs,     ///< submissions and cancellations; written by any entry
  Progress, ///< of jobs; written by the leader
  Entries,  ///< addresses of the entries; each entry writes its own
};

struct keyed_value {
  std::string Key;
  std::string Value; ///< empty: deletes the key
};

/// Makes appends idempotent and fences earlier terms.
struct producer_stamp {
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0;
};

struct append_call {
  store_topic Topic = store_topic::Jobs;
  std::vector<keyed_value> Records; ///< empty: only fences earlier terms
  std::optional<producer_stamp> Stamp;
  duration Timeout{};
  bool Relayable = true; ///< see store_request
};

enum class store_append_status : std::uint8_t {
  Stored,
  Refused,       ///< was not stored
  Fenced,        ///< a higher term exists
  OutOfSequence, ///< the sequence number does not follow the last one
  Unknown,       ///< may have been stored, or may still be
};

struct append_outcome {
  store_append_status Status = store_append_status::Unknown;
  int Code = 0;               ///< HTTP status, for logs
  std::uint64_t Offset = 0;   ///< of the first record, if Stored
  std::uint64_t End = 0;      ///< if Stored
  std::uint64_t Sequence = 0; ///< the expected one, if OutOfSequence
};

struct read_outcome {
  bool Ok = false;
  bool HistoryTruncated = false;
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
  bool AssignedProgress = false; ///< this member has the candidacy
};

/// An encoded call to the store.
struct store_request {
  std::string Method;
  std::string Target;
  std::string Body;
  std::string ContentType;
  duration Timeout{};
  /// Another entry may make the call on behalf of this one.
  bool Relayable = true;
};

struct store_reply {
  call_status Status = call_status::NotSent;
  int Code = 0;
  std::string Body;
};

} // namespace geraniumpaddle
