#pragma once

#include "transport/eventloop.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review2 {

using geraniumpaddle::duration;

/// What the proxy does with a call to the store.
struct store_fate {
  enum class kind : std::uint8_t {
    Pass,
    Busy,      ///< answers 503; nothing is done
    LateNoWord ///< is done after Delay and never answered
  };
  kind Kind = kind::Pass;
  duration Delay{};
};

struct store_call_view {
  std::string Method;
  std::string Path;
  std::string Query;
  std::string Body;
};

/// Stands between one process of the system and the store.
class store_proxy {
public:
  using decide_function = std::function<store_fate(const store_call_view &)>;

  store_proxy(geraniumpaddle::event_loop &Loop,
              geraniumpaddle::http_client &Http, const std::string &Listen,
              std::string Store);

  /// Without a function every call passes.
  void setFate(decide_function Next) { Decide = std::move(Next); }

private:
  void handle(const geraniumpaddle::http_request_view &Request,
              const std::shared_ptr<geraniumpaddle::ihttp_responder> &Respond);
  void forward(const store_call_view &Call, const std::string &ContentType,
               std::function<void(const geraniumpaddle::http_result &)> Done);

  geraniumpaddle::event_loop &Loop;
  geraniumpaddle::http_client &Http;
  const std::string Store;
  decide_function Decide;
  /// Of calls that are never answered.
  std::vector<std::shared_ptr<geraniumpaddle::ihttp_responder>> Unanswered;
  std::unique_ptr<geraniumpaddle::http_server> Server;
};

} // namespace review2
