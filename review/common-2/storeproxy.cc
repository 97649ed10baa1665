#include "storeproxy.hh"

#include <utility>

namespace review2 {

using namespace geraniumpaddle;
using namespace std::chrono_literals;

store_proxy::store_proxy(event_loop &Loop, http_client &Http,
                         const std::string &Listen, std::string Store)
    : Loop(Loop), Http(Http), Store(std::move(Store)),
      Server(std::make_unique<http_server>(
          Loop, Listen, http_server_limits{},
          [this](const http_request_view &Request,
                 const std::shared_ptr<ihttp_responder> &Respond) {
            handle(Request, Respond);
          })) {}

void store_proxy::forward(const store_call_view &Call,
                          const std::string &ContentType,
                          std::function<void(const http_result &)> Done) {
  http_call Next{.Address = Store,
                 .Method = Call.Method,
                 .Target =
                     Call.Path + (Call.Query.empty() ? "" : "?" + Call.Query),
                 .Body = Call.Body,
                 .Timeout = 40s,
                 .Reuse = connection_reuse::Always};
  if (!ContentType.empty())
    Next.Headers.push_back({"Content-Type", ContentType});
  Http.send(std::move(Next), std::move(Done));
}

void store_proxy::handle(const http_request_view &Request,
                         const std::shared_ptr<ihttp_responder> &Respond) {
  const store_call_view Call{
      std::string(Request.Method), std::string(Request.Path),
      std::string(Request.Query), std::string(Request.Body)};
  std::string ContentType;
  for (const http_header &Header : Request.Headers)
    if (Header.Name == "Content-Type")
      ContentType = Header.Value;
  const store_fate Fate = Decide ? Decide(Call) : store_fate{};
  switch (Fate.Kind) {
  case store_fate::kind::Busy:
    Respond->respond({.Code = 503});
    return;
  case store_fate::kind::LateNoWord:
    Unanswered.push_back(Respond);
    Loop.startTimer(Fate.Delay, [this, Call, ContentType] {
      forward(Call, ContentType, [](const http_result &) {});
    });
    return;
  case store_fate::kind::Pass:
    break;
  }
  forward(Call, ContentType, [Respond](const http_result &Result) {
    if (Result.Status != call_status::Completed) {
      Respond->abort();
      return;
    }
    http_response Response{.Code = Result.Code, .Body = Result.Body};
    for (const http_header &Header : Result.Headers)
      if (Header.Name == "Content-Type")
        Response.Headers.push_back(Header);
    Respond->respond(std::move(Response));
  });
}

} // namespace review2
