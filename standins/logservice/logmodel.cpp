#include "standins/logservice/logmodel.h"

#include <algorithm>

namespace geraniumpaddle::standins {

std::optional<std::uint64_t>
log_model::append(std::span<const std::string> Payloads, time_point Now) {
  if (!takeToken(Now)) {
    return std::nullopt;
  }
  const std::uint64_t First = Head + 1;
  for (const auto &Payload : Payloads) {
    Records.push_back({++Head, Now, Payload});
  }
  expire(Now);
  return First;
}

bool log_model::takeToken(time_point Now) {
  const double Rate = Limits.MaxAppendsPerSecond;
  if (LastAppend) {
    const std::chrono::duration<double> Elapsed = Now - *LastAppend;
    Tokens = std::min(Rate, Tokens + Elapsed.count() * Rate);
  } else {
    Tokens = Rate;
  }
  LastAppend = Now;
  if (Tokens < 1) {
    return false;
  }
  Tokens -= 1;
  return true;
}

void log_model::expire(time_point Now) {
  while (!Records.empty() && (Records.size() > Limits.RetainRecords ||
                              Now - Records.front().At > Limits.RetainTime)) {
    Records.pop_front();
  }
}

std::vector<const stored_record *> log_model::read(std::uint64_t From,
                                                   std::size_t Limit) const {
  std::vector<const stored_record *> Found;
  for (std::uint64_t Offset = std::max(From, oldest());
       Offset <= Head && Found.size() < Limit; ++Offset) {
    Found.push_back(&Records[Offset - oldest()]);
  }
  return Found;
}

} // namespace geraniumpaddle::standins
