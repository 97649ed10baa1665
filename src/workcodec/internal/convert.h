#pragma once

#include "core/base/error.h"
#include "core/work/types/worker.h"

#include "work.pb.h"

#include <string>
#include <string_view>

namespace geraniumpaddle::work {

/// \throws malformed_message_error if \p Count is greater than \p Max.
inline std::chrono::milliseconds
fromMilliseconds(std::uint64_t Count,
                 std::chrono::milliseconds Max = MaxDuration) {
  if (Count > static_cast<std::uint64_t>(Max.count()))
    throw malformed_message_error("a time is out of range");
  return std::chrono::milliseconds(Count);
}
/// \throws malformed_message_error
inline wall_time wallTime(std::uint64_t Count) {
  return wall_time(fromMilliseconds(Count, MaxTimeSinceEpoch));
}

/// Converts \p Value to an enumerator.
/// \throws malformed_message_error if it is greater than \p Last.
template <typename Enum>
Enum checkedEnum(std::uint32_t Value, Enum Last, std::string_view Field) {
  if (Value > static_cast<std::uint32_t>(Last))
    throw malformed_message_error("unknown value of " + std::string(Field));
  return static_cast<Enum>(Value);
}

void toProto(const worker_instance &Instance, proto::work::WorkerLife &Message);
worker_instance fromProto(const proto::work::WorkerLife &Message);
void toProto(const resources &Need, proto::work::TaskNeed &Message);
/// \throws malformed_message_error if an amount is negative or so large that
/// sums over all workers could overflow.
resources fromProto(const proto::work::TaskNeed &Message);
void toProto(const job_spec &Spec, proto::work::JobSubmitted &Message);
/// \throws malformed_message_error if a value is out of range, the job has no
/// task or too many, or a step depends on itself or a later step.
job_spec fromProto(const proto::work::JobSubmitted &Message);

} // namespace geraniumpaddle::work
