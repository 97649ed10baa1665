#include "platform/httpstoretransport.h"

#include <utility>

namespace geraniumpaddle {

void http_store_transport::call(store_request Request,
                                std::function<void(const store_reply &)> Done) {
  http_call Call{.Address = Address,
                 .Method = std::move(Request.Method),
                 .Target = std::move(Request.Target),
                 .Body = std::move(Request.Body),
                 .Timeout = Request.Timeout,
                 // Idempotent: records have keys or sequence numbers.
                 .Reuse = connection_reuse::Always,
                 .Cause = "store"};
  if (!Request.ContentType.empty())
    Call.Headers.push_back({"Content-Type", Request.ContentType});
  Http.send(std::move(Call),
            [Done = std::move(Done)](const http_result &Result) {
              Done({Result.Status, Result.Code, Result.Body});
            });
}

} // namespace geraniumpaddle
