#pragma once

#include "platform/istoretransport.h"

#include <string>

namespace geraniumpaddle {

/// Calls the store directly over HTTP.
class http_store_transport final : public istore_transport {
public:
  /// \param Address ip:port of the store.
  http_store_transport(ihttp_client &Http, std::string Address)
      : Http(Http), Address(std::move(Address)) {}

  void call(store_request Request,
            std::function<void(const store_reply &)> Done) override;

private:
  ihttp_client &Http;
  const std::string Address;
};

} // namespace geraniumpaddle
