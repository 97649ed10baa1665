#pragma once

#include "logging/logging.h"
#include "platform/istore.h"
#include "platform/istoretransport.h"

namespace geraniumpaddle {

/// A read-only call, to check whether the store answers.
store_request storeProbe(duration Timeout);

/// Encodes the calls of the store in the format of the platform and decodes its
/// answers.
class store_client final : public istore {
public:
  /// \param ReadGrace added to the wait time of a read for its timeout.
  store_client(istore_transport &Transport, duration ReadGrace)
      : Transport(Transport), ReadGrace(ReadGrace) {}

  void append(const append_call &Call,
              std::function<void(const append_outcome &)> Done) override;
  void read(store_topic Topic, std::uint64_t From, duration Wait,
            std::function<void(const read_outcome &)> Done) override;
  void newest(store_topic Topic, std::string_view After,
              std::function<void(const newest_outcome &)> Done) override;
  void join(const join_call &Call,
            std::function<void(const join_outcome &)> Done) override;
  void leave(std::string_view Member) override;

private:
  istore_transport &Transport;
  duration ReadGrace;
  logger Log{"store"};
};

} // namespace geraniumpaddle
