#include "standins/logservice/logserver.h"

#include "platform.pb.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace geraniumpaddle::standins {

namespace {

constexpr std::size_t DefaultReadLimit = 1000;
constexpr std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024;
// A read response is truncated beyond this size; the reader requests the rest.
constexpr std::size_t MaxReadBytes = std::size_t{4} * 1024 * 1024;

std::uint64_t numberOf(std::string_view Query, std::string_view Name,
                       std::uint64_t Default) {
  while (!Query.empty()) {
    const auto End = std::min(Query.find('&'), Query.size());
    const std::string_view Pair = Query.substr(0, End);
    Query.remove_prefix(std::min(End + 1, Query.size()));
    if (Pair.starts_with(Name) && Pair.substr(Name.size()).starts_with('=')) {
      const std::string_view Text = Pair.substr(Name.size() + 1);
      std::uint64_t Value = Default;
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
      return Value;
    }
  }
  return Default;
}

http_response jsonResponse(int Code, const google::protobuf::Message &Message) {
  http_response Response{.Code = Code,
                         .Headers = {{"Content-Type", "application/json"}}};
  if (!google::protobuf::util::MessageToJsonString(Message, &Response.Body)
           .ok()) {
    Response.Code = 500;
  }
  return Response;
}

http_response errorResponse(int Code, std::string_view Name) {
  proto::PlatformError Error;
  Error.set_code(std::string(Name));
  return jsonResponse(Code, Error);
}

} // namespace

log_server::log_server(event_loop &Loop, std::string_view Listen,
                       const log_model_limits &Limits)
    : Loop(Loop), Model(Limits),
      Server(std::make_unique<http_server>(
          Loop, Listen,
          http_server_limits{.MaxBodyBytes = MaxBodyBytes,
                             .IdleTimeout = std::chrono::minutes(5)},
          [this](const http_request_view &Request,
                 const responder_ptr &Responder) {
            handle(Request, Responder);
          })) {}

log_server::~log_server() { Server.reset(); }

void log_server::handle(const http_request_view &Request,
                        const responder_ptr &Responder) {
  static constexpr std::array Control{
      route{"POST", "/faults", &log_server::setFaults},
      route{"GET", "/stats", &log_server::sendStatistics}};
  static constexpr std::array Service{
      route{"POST", "/append", &log_server::append},
      route{"GET", "/read", &log_server::read}};
  const auto Matches = [&](const route &Route) {
    return Route.Method == Request.Method && Route.Path == Request.Path;
  };
  const call Call{std::string(Request.Path), std::string(Request.Query),
                  std::string(Request.Body), Responder};
  const auto *ControlRoute =
      std::find_if(Control.begin(), Control.end(), Matches);
  const auto *ServiceRoute =
      std::find_if(Service.begin(), Service.end(), Matches);
  if (ControlRoute != Control.end()) {
    (this->*ControlRoute->Handler)(Call);
  } else if (ServiceRoute != Service.end()) {
    applyFault(Call, ServiceRoute->Handler);
  } else {
    Responder->respond(errorResponse(404, "not_found"));
  }
}

void log_server::applyFault(const call &Call, call_handler Handler) {
  switch (Faults.next()) {
  case log_fault::None:
    (this->*Handler)(Call);
    return;
  case log_fault::Slow:
    Loop.startTimer(Faults.delay(),
                    [this, Call, Handler] { (this->*Handler)(Call); });
    return;
  case log_fault::Down:
    Call.Responder->abort();
    return;
  case log_fault::Silent:
    UnansweredCalls.push_back(Call.Responder);
    return;
  case log_fault::LoseAnswer: {
    call Unanswered = Call;
    Unanswered.Responder = nullptr;
    if (Handler == &log_server::append) {
      append(Unanswered);
    }
    Call.Responder->abort();
    return;
  }
  case log_fault::Refuse:
    Call.Responder->respond(errorResponse(503, "unavailable"));
    return;
  }
}

void log_server::append(const call &Call) {
  const auto Respond = [&](const http_response &Response) {
    if (Call.Responder) {
      Call.Responder->respond(Response);
    }
  };
  proto::LogAppend Append;
  if (!google::protobuf::util::JsonStringToMessage(Call.Body, &Append).ok() ||
      Append.records().empty()) {
    Respond(errorResponse(400, "malformed"));
    return;
  }
  const std::vector<std::string> Payloads(Append.records().begin(),
                                          Append.records().end());
  const auto First = Model.append(Payloads, Loop.now());
  if (!First) {
    ++Statistics.Refused;
    Respond(errorResponse(429, "rate_limited"));
    return;
  }
  ++Statistics.Appends;
  Statistics.Bytes += Call.Body.size();
  proto::LogAppended Appended;
  Appended.set_first(*First);
  Appended.set_head(Model.head());
  Respond(jsonResponse(200, Appended));
  respondToReaders();
}

void log_server::read(const call &Call) {
  Model.expire(Loop.now());
  ++Statistics.Reads;
  const std::uint64_t From =
      std::max<std::uint64_t>(numberOf(Call.Query, "from", 1), 1);
  const std::size_t Limit = numberOf(Call.Query, "limit", DefaultReadLimit);
  const std::chrono::milliseconds Wait(numberOf(Call.Query, "wait_ms", 0));
  if (From <= Model.head() || Wait.count() == 0) {
    sendRecords(*Call.Responder, From, Limit);
  } else {
    wait(Call, From, Limit, Wait);
  }
}

void log_server::wait(const call &Call, std::uint64_t From, std::size_t Limit,
                      duration Wait) {
  const std::uint64_t Id = ++LastReader;
  const timer_id Timer = Loop.startTimer(Wait, [this, Id] {
    const reader Reader = removeReader(Id);
    sendRecords(*Reader.Responder, Reader.From, Reader.Limit);
  });
  Readers.emplace(Id, reader{From, Limit, Timer, Call.Responder});
  Call.Responder->onCallerDisconnected([this, Id] { removeReader(Id); });
}

log_server::reader log_server::removeReader(std::uint64_t Id) {
  const auto Node = Readers.extract(Id);
  Loop.cancelTimer(Node.mapped().Timer);
  return Node.mapped();
}

void log_server::respondToReaders() {
  while (!Readers.empty()) {
    const reader Reader = removeReader(Readers.begin()->first);
    sendRecords(*Reader.Responder, Reader.From, Reader.Limit);
  }
}

void log_server::sendRecords(ihttp_responder &Responder, std::uint64_t From,
                             std::size_t Limit) {
  proto::LogRecords Records;
  Records.set_head(Model.head());
  Records.set_oldest(Model.oldest());
  if (From < Model.oldest()) {
    Responder.respond(jsonResponse(410, Records));
    return;
  }
  std::size_t Bytes = 0;
  for (const stored_record *Record : Model.read(From, Limit)) {
    auto *Item = Records.add_records();
    Item->set_offset(Record->Offset);
    Item->set_payload(Record->Payload);
    Bytes += Record->Payload.size();
    if (Bytes > MaxReadBytes) {
      break;
    }
  }
  http_response Response = jsonResponse(200, Records);
  Statistics.Bytes += Response.Body.size();
  Responder.respond(std::move(Response));
}

void log_server::setFaults(const call &Call) {
  const auto Plan = log_fault_plan::parse(Call.Body);
  if (!Plan) {
    Call.Responder->respond(errorResponse(400, "malformed"));
    return;
  }
  Faults = *Plan;
  applyFaultToOpenCalls();
  Call.Responder->respond({});
}

/// Applies the new fault to calls that are already open: long-polling readers,
/// and calls left unanswered by an earlier Silent fault.
void log_server::applyFaultToOpenCalls() {
  if (Faults.mode() != log_fault::Silent) {
    for (const auto &Responder : std::exchange(UnansweredCalls, {})) {
      Responder->abort();
    }
  }
  const bool LeaveUnanswered = Faults.mode() == log_fault::Silent;
  const bool CloseConnections = Faults.mode() == log_fault::Down;
  while ((LeaveUnanswered || CloseConnections) && !Readers.empty()) {
    const reader Reader = removeReader(Readers.begin()->first);
    Reader.Responder->onCallerDisconnected(nullptr);
    if (LeaveUnanswered) {
      UnansweredCalls.push_back(Reader.Responder);
    } else {
      Reader.Responder->abort();
    }
  }
}

void log_server::sendStatistics(const call &Call) {
  const auto Field = [](std::string_view Name, std::uint64_t Value) {
    return "\"" + std::string(Name) + "\":" + std::to_string(Value);
  };
  Call.Responder->respond({.Code = 200,
                           .Headers = {{"Content-Type", "application/json"}},
                           .Body = "{" + Field("appends", Statistics.Appends) +
                                   "," + Field("refused", Statistics.Refused) +
                                   "," + Field("reads", Statistics.Reads) +
                                   "," + Field("bytes", Statistics.Bytes) +
                                   "," + Field("open_readers", Readers.size()) +
                                   "," + Field("head", Model.head()) + "," +
                                   Field("oldest", Model.oldest()) + "}\n"});
}

} // namespace geraniumpaddle::standins
