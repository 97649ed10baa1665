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

bool standard_output::takeToken() {
  const std::int64_t NowMs = monotonicMs();
  const double Refill = static_cast<double>(NowMs - RefilledAtMs) *
                        LinesPerSecond / MillisecondsPerSecond;
  Tokens = std::min(Tokens + Refill, static_cast<double>(LinesPerSecond));
  RefilledAtMs = NowMs;
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

bool standard_output::tryWrite(std::string_view Line) const {
  // A pipe that poll() reports as writable accepts PIPE_BUF bytes without
  // blocking.
  const std::string_view Truncated = Line.substr(0, PIPE_BUF);
  pollfd Poll{Descriptor, POLLOUT, 0};
  if (poll(&Poll, 1, 0) != 1 || !(Poll.revents & POLLOUT))
    return false;
  return ::write(Descriptor, Truncated.data(), Truncated.size()) ==
         static_cast<ssize_t>(Truncated.size());
}

void standard_output::write(std::string_view Line) {
  if (!takeToken()) {
    ++Dropped;
    ++DroppedTotal;
    return;
  }
  if (Dropped > 0) {
    const std::string Notice =
        "message=lines_left_out count=" + std::to_string(Dropped) + "\n";
    if (tryWrite(Notice))
      Dropped = 0;
  }
  if (!tryWrite(Line)) {
    ++Dropped;
    ++DroppedTotal;
  }
}

} // namespace geraniumpaddle
