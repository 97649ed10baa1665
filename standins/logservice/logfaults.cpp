#include "standins/logservice/logfaults.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace geraniumpaddle::standins {

namespace {

constexpr std::array<std::string_view, 6> ModeNames{
    "none", "slow", "down", "silent", "lose_answer", "refuse"};

std::uint64_t numberOf(const google::protobuf::Struct &Object,
                       const std::string &Name) {
  const auto Found = Object.fields().find(Name);
  const double Value =
      Found == Object.fields().end() ? 0 : Found->second.number_value();
  return static_cast<std::uint64_t>(std::max(Value, 0.0));
}

} // namespace

std::optional<log_fault_plan> log_fault_plan::parse(const std::string &Json) {
  google::protobuf::Struct Object;
  if (!google::protobuf::util::JsonStringToMessage(Json, &Object).ok()) {
    return std::nullopt;
  }
  const auto Mode = Object.fields().find("mode");
  if (Mode == Object.fields().end()) {
    return std::nullopt;
  }
  const auto *Name = std::find(ModeNames.begin(), ModeNames.end(),
                               Mode->second.string_value());
  if (Name == ModeNames.end()) {
    return std::nullopt;
  }
  log_fault_plan Plan;
  Plan.Mode = static_cast<log_fault>(Name - ModeNames.begin());
  Plan.Delay = std::chrono::milliseconds(numberOf(Object, "delay_ms"));
  Plan.RemainingCalls = numberOf(Object, "count");
  return Plan;
}

log_fault log_fault_plan::next() {
  const log_fault Fault = Mode;
  if (RemainingCalls > 0 && --RemainingCalls == 0) {
    Mode = log_fault::None;
  }
  return Fault;
}

} // namespace geraniumpaddle::standins
