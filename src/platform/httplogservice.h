#pragma once

#include "platform/ilogservice.h"

#include <string>

namespace geraniumpaddle {

struct http_log_settings {
  std::string Address; ///< ip:port of the log service
  std::string AppendPath = "/append";
  std::string ReadPath = "/read";
  duration AppendTimeout = std::chrono::seconds(5);
  /// Added to the wait time of a read for its timeout.
  duration ReadGrace = std::chrono::seconds(3);
};

/// Client of the log service: HTTP with JSON bodies (proto/platform.proto).
///
/// How its answers map to results:
///
/// | answer   | append                  | read                     |
/// |----------|-------------------------|--------------------------|
/// | 200      | Completed, First        | Completed, Items         |
/// | 429, 503 | Completed, Refused      | NotSent                  |
/// | 410      | Lost                    | Completed, Truncated     |
/// | other    | Lost: undetermined      | Lost                     |
class http_log_service final : public ilog_service {
public:
  http_log_service(ihttp_client &Client, http_log_settings Settings);

  void append(std::span<const std::string> Payloads,
              std::function<void(const append_result &)> Done) override;
  void read(log_offset From, std::uint32_t Limit, duration Wait,
            std::function<void(const read_result &)> Done) override;

private:
  ihttp_client &Client;
  http_log_settings Settings;
};

} // namespace geraniumpaddle
