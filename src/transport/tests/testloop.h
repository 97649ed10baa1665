#pragma once

#include "transport/eventloop.h"

#include <functional>
#include <string>

namespace geraniumpaddle::test {

/// A loop that runs until a condition holds, with a bounded wait.
class test_loop {
public:
  /// \returns false if \p Condition did not hold within \p Limit.
  bool until(const std::function<bool()> &Condition,
             duration Limit = std::chrono::seconds(10)) {
    const time_point Start = Loop.now();
    while (!Condition()) {
      if (Loop.now() - Start > Limit) {
        return false;
      }
      Loop.runOnce(std::chrono::milliseconds(50));
    }
    return true;
  }

  event_loop Loop;
};

inline std::string loopback(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

} // namespace geraniumpaddle::test
