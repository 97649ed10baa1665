#include "logging/standardoutput.h"

#include <algorithm>
#include <climits>
#include <ctime>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace geraniumpaddle {

namespace {

constexpr std::int64_t MillisecondsPerSecond = 1000;

std::int64_t monotonicMs() {
  constexpr std::int64_t NanosecondsPerMillisecond = 1'000'000;
  timespec Now{};
  clock_gettime(CLOCK_MONOTONIC, &Now);
  return Now.tv_sec * MillisecondsPerSecond +
         Now.tv_nsec / NanosecondsPerMillisecond;
}

} // namespace

bool standard_output::takeCredit() {
  const std::int64_t NowMs = monotonicMs();
  const double Earned = static_cast<double>(NowMs - CreditAtMs) *
                        LinesPerSecond / MillisecondsPerSecond;
  Credit = std::min(Credit + Earned, static_cast<double>(LinesPerSecond));
  CreditAtMs = NowMs;
  if (Credit < 1)
    return false;
  Credit -= 1;
  return true;
}

bool standard_output::writeNow(std::string_view Line) const {
  // A pipe that polls writable takes this many bytes without blocking.
  const std::string_view Whole = Line.substr(0, PIPE_BUF);
  pollfd Poll{Descriptor, POLLOUT, 0};
  if (poll(&Poll, 1, 0) != 1 || !(Poll.revents & POLLOUT))
    return false;
  return ::write(Descriptor, Whole.data(), Whole.size()) ==
         static_cast<ssize_t>(Whole.size());
}

void standard_output::write(std::string_view Line) {
  if (!takeCredit()) {
    ++LeftOut;
    ++LeftOutTotal;
    return;
  }
  if (LeftOut > 0) {
    const std::string Notice =
        "message=lines_left_out count=" + std::to_string(LeftOut) + "\n";
    if (writeNow(Notice))
      LeftOut = 0;
  }
  if (!writeNow(Line)) {
    ++LeftOut;
    ++LeftOutTotal;
  }
}

} // namespace geraniumpaddle
