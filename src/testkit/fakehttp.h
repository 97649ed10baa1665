#pragma once

#include "transport/ihttpclient.h"
#include "transport/ihttpserver.h"

#include <deque>
#include <memory>
#include <optional>
#include <utility>

namespace geraniumpaddle::testing {

/// An HTTP client that keeps calls until the test answers them.
class fake_http_client final : public ihttp_client {
public:
  http_call_id send(http_call Call,
                    std::function<void(const http_result &)> Done) override {
    Calls.emplace_back(std::move(Call), std::move(Done));
    return http_call_id{++LastCall};
  }
  void cancel(http_call_id) override {}

  void answer(const http_result &Result) {
    auto Call = std::move(Calls.front());
    Calls.pop_front();
    Call.second(Result);
  }

  std::deque<std::pair<http_call, std::function<void(const http_result &)>>>
      Calls;

private:
  std::uint64_t LastCall = 0;
};

/// Keeps the first response.
class fake_responder final : public ihttp_responder {
public:
  void respond(http_response NewResponse) override {
    if (!Response)
      Response = std::move(NewResponse);
  }
  void abort() override {}
  void onCallerDisconnected(std::function<void()> Callback) override {
    CallerGone = std::move(Callback);
  }

  std::optional<http_response> Response;
  std::function<void()> CallerGone;
};

} // namespace geraniumpaddle::testing
