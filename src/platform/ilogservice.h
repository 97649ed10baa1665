#pragma once

#include "core/base/types/ids.h"
#include "core/base/types/time.h"
#include "transport/ihttpclient.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle {

struct log_item {
  log_offset Offset{};
  std::string Payload;
};

/// The records were appended if the status is Completed and First is set, and
/// were not if it is NotSent or Refused is set. Otherwise that is unknown.
struct append_result {
  call_status Status = call_status::NotSent;
  bool Refused = false; ///< the service answered that it did not append
  log_offset First{};
};

struct read_result {
  call_status Status = call_status::NotSent;
  bool Truncated = false; ///< the requested offset is no longer retained
  std::vector<log_item> Items;
  log_offset Head{};
  log_offset Oldest{};
};

/// The platform's append-only log.
class ilog_service {
public:
  virtual ~ilog_service() = default;

  /// Appends \p Payloads in order as one batch of consecutive offsets.
  virtual void append(std::span<const std::string> Payloads,
                      std::function<void(const append_result &)> Done) = 0;
  /// Reads from offset \p From. If there is no record yet, waits for one for up
  /// to \p Wait.
  virtual void read(log_offset From, std::uint32_t Limit, duration Wait,
                    std::function<void(const read_result &)> Done) = 0;
};

} // namespace geraniumpaddle
