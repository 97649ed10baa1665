#include "core/gang/gangtaskid.h"

#include <charconv>
#include <system_error>

namespace geraniumpaddle {

namespace {

template <typename Number>
std::optional<Number> parseNumber(std::string_view Text) {
  Number Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Rest != End)
    return std::nullopt;
  return Value;
}

} // namespace

std::string formatTaskId(const gang_task_id &Id) {
  return std::to_string(raw(Id.Token)) + "/" + std::to_string(Id.Task);
}

std::optional<gang_task_id> parseTaskId(std::string_view Text) {
  const std::size_t Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  const auto Token = parseNumber<std::uint64_t>(Text.substr(0, Slash));
  const auto Task = parseNumber<std::uint32_t>(Text.substr(Slash + 1));
  if (!Token || !Task)
    return std::nullopt;
  return gang_task_id{fencing_token{*Token}, *Task};
}

} // namespace geraniumpaddle
