#include "platform/internal/tasknames.h"

#include <array>
#include <charconv>

namespace geraniumpaddle {

std::string taskName(const work::task_ref &Task) {
  std::string Name = Task.Job.str();
  for (const std::uint32_t Part :
       {Task.Position.Occurrence, Task.Position.Step, Task.Position.Index})
    Name.append(".").append(std::to_string(Part));
  return Name;
}

std::optional<work::task_ref> parseTaskName(std::string_view Name) {
  std::array<std::uint32_t, 3> Numbers{};
  for (std::size_t I = Numbers.size(); I-- > 0;) {
    const auto Dot = Name.rfind('.');
    if (Dot == std::string_view::npos)
      return std::nullopt;
    const std::string_view Text = Name.substr(Dot + 1);
    const auto [End, Error] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Numbers.at(I));
    if (Error != std::errc() || End != Text.data() + Text.size())
      return std::nullopt;
    Name = Name.substr(0, Dot);
  }
  return work::task_ref{job_id(Name), {Numbers[0], Numbers[1], Numbers[2]}};
}

} // namespace geraniumpaddle
