#pragma once

#include "transport/eventloop.h"

#include <functional>
#include <string>

namespace geraniumpaddle::test {

/// An event loop that a test runs until a condition holds.
class test_loop {
public:
  /// \returns false if \p Condition did not hold within \p Timeout.
  bool until(const std::function<bool()> &Condition,
             duration Timeout = std::chrono::seconds(10)) {
    const time_point Start = Loop.now();
    while (!Condition()) {
      if (Loop.now() - Start > Timeout) {
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
