#pragma once

#include "core/base/error.h"
#include "core/work/types/worker.h"

#include "work.pb.h"

#include <string>
#include <string_view>

namespace geraniumpaddle::work {

inline duration fromMilliseconds(std::uint64_t Count) {
  return std::chrono::milliseconds(Count);
}
inline wall_time wallTime(std::uint64_t Count) {
  return wall_time(std::chrono::milliseconds(Count));
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
resources fromProto(const proto::work::TaskNeed &Message);
void toProto(const job_spec &Spec, proto::work::JobSubmitted &Message);
/// \throws malformed_message_error if a step depends on itself or a later step.
job_spec fromProto(const proto::work::JobSubmitted &Message);

} // namespace geraniumpaddle::work
