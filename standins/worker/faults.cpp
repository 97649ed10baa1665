#include "standins/worker/faults.h"

#include "codec/protojson.h"
#include "core/base/error.h"

#include <google/protobuf/struct.pb.h>

#include <array>
#include <string>

namespace geraniumpaddle::standins {

namespace {

fault_mode parseMode(std::string_view Text) {
  constexpr std::array<std::string_view, 6> Names = {
      "none", "slow", "down", "silent", "lose_answer", "fail_all_tasks"};
  for (std::size_t Index = 0; Index < Names.size(); ++Index) {
    if (Names[Index] == Text)
      return static_cast<fault_mode>(Index);
  }
  throw malformed_message_error("unknown fault mode \"" + std::string(Text) +
                                "\"");
}

double numberOf(const google::protobuf::Struct &Object, const char *Name) {
  const auto Found = Object.fields().find(Name);
  return Found == Object.fields().end() ? 0 : Found->second.number_value();
}

} // namespace

fault_mode fault_plan::next() {
  const fault_mode Fault = Mode;
  if (RemainingCalls > 0 && --RemainingCalls == 0)
    Mode = fault_mode::None;
  return Fault;
}

fault_plan parseFaults(std::string_view Body) {
  google::protobuf::Struct Object;
  parseJson(Body, Object);
  fault_plan Plan;
  Plan.Mode = parseMode((*Object.mutable_fields())["mode"].string_value());
  Plan.Delay = std::chrono::milliseconds(
      static_cast<std::int64_t>(numberOf(Object, "delay_ms")));
  Plan.RemainingCalls = static_cast<std::uint64_t>(numberOf(Object, "count"));
  return Plan;
}

} // namespace geraniumpaddle::standins
