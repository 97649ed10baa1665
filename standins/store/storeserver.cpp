#include "standins/store/storeserver.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace geraniumpaddle::standins {

namespace {

using json = nlohmann::json;

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int Gone = 410;
constexpr int Unavailable = 503;

std::string queryParameter(const std::string &Query, const std::string &Name) {
  std::size_t At = 0;
  while (At < Query.size()) {
    const std::size_t End = std::min(Query.find('&', At), Query.size());
    const std::string Part = Query.substr(At, End - At);
    if (Part.starts_with(Name + "="))
      return Part.substr(Name.size() + 1);
    At = End + 1;
  }
  return "";
}

std::uint64_t queryNumber(const std::string &Query, const std::string &Name) {
  return std::strtoull(queryParameter(Query, Name).c_str(), nullptr, 10);
}

std::string bigEndian(std::uint64_t Value, int Bytes) {
  constexpr int BitsPerByte = 8;
  std::string Text;
  for (int I = Bytes; I-- > 0;)
    Text += static_cast<char>(Value >> (BitsPerByte * I));
  return Text;
}

std::vector<store_record> splitRecords(const std::string &Body) {
  constexpr std::size_t LengthBytes = 4;
  std::vector<store_record> Records;
  std::size_t At = 0;
  while (At + LengthBytes <= Body.size()) {
    std::size_t Size = 0;
    for (std::size_t I = 0; I < LengthBytes; ++I)
      Size = Size << 8U | static_cast<unsigned char>(Body[At + I]);
    Records.push_back(Body.substr(At + LengthBytes, Size));
    At += LengthBytes + Size;
  }
  return Records;
}

std::string base64(const std::string &Bytes) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group = Group << 8U |
              (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                    : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Text +=
          I + J > Bytes.size() ? '=' : Digits[Group >> (18U - 6U * J) & 0x3FU];
  }
  return Text;
}

http_response jsonAnswer(int Code, const json &Body) {
  return {.Code = Code,
          .Headers = {{"Content-Type", "application/json"}},
          .Body = Body.dump()};
}

} // namespace

store_server::store_server(event_loop &Loop, std::string_view Listen)
    : Loop(Loop), Server(std::make_unique<http_server>(
                      Loop, Listen, http_server_limits{},
                      [this](const http_request_view &Request,
                             const responder_ptr &Responder) {
                        handle(Request, Responder);
                      })) {}

void store_server::handle(const http_request_view &Request,
                          const responder_ptr &Responder) {
  static constexpr auto Routes = std::to_array<route>(
      {{"POST", "/api/log-append", &store_server::append},
       {"GET", "/api/log-read", &store_server::read},
       {"GET", "/api/log-newest", &store_server::newest},
       {"POST", "/api/log-join", &store_server::join},
       {"POST", "/api/log-leave", &store_server::leave},
       {"POST", "/faults", &store_server::setFaults, false},
       {"POST", "/compact", &store_server::compact, false},
       {"POST", "/stale", &store_server::setStale, false},
       {"POST", "/alias", &store_server::addAlias, false}});
  const call Call{std::string(Request.Query), std::string(Request.Body),
                  Responder};
  for (const route &Route : Routes) {
    if (Route.Method != Request.Method || Route.Path != Request.Path)
      continue;
    if (Route.FaultsApply)
      applyFault(Call, Route.Handler);
    else
      (this->*Route.Handler)(Call);
    return;
  }
  Responder->respond({.Code = NotFound});
}

void store_server::applyFault(const call &Call, call_handler Handler) {
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
    // The call is executed with a responder that discards the response.
    class discarding_responder final : public ihttp_responder {
    public:
      void respond(http_response) override {}
      void abort() override {}
      void onCallerDisconnected(std::function<void()>) override {}
    };
    call Unanswered = Call;
    Unanswered.Responder = std::make_shared<discarding_responder>();
    (this->*Handler)(Unanswered);
    Call.Responder->abort();
    return;
  }
  case log_fault::Refuse:
    Call.Responder->respond({.Code = Unavailable});
    return;
  }
}

void store_server::append(const call &Call) {
  std::optional<producer_stamp> Stamp;
  if (!queryParameter(Call.Query, "Producer").empty())
    Stamp = producer_stamp{queryParameter(Call.Query, "Producer"),
                           queryNumber(Call.Query, "epoch"),
                           queryNumber(Call.Query, "Seq")};
  std::string Body = Call.Body;
  for (const auto &[Text, Alias] : Aliases)
    for (std::size_t At = Body.find(Text); At != Body.npos;
         At = Body.find(Text, At + Alias.size()))
      Body.replace(At, Text.size(), Alias);
  const append_result Answer = Model.append(queryParameter(Call.Query, "Topic"),
                                            splitRecords(Body), Stamp);
  switch (Answer.Answer) {
  case store_result::Fenced:
    Call.Responder->respond(jsonAnswer(Conflict, {{"Reason", "fenced"}}));
    return;
  case store_result::OutOfSequence:
    Call.Responder->respond(
        jsonAnswer(Conflict, {{"Reason", "seq"}, {"Seq", Answer.Expected}}));
    return;
  case store_result::Done:
  case store_result::Truncated:
    break;
  }
  Call.Responder->respond(
      jsonAnswer(Ok, {{"Offset", Answer.Offset}, {"End", Answer.End}}));
  respondToReaders();
}

void store_server::read(const call &Call) {
  const reader Reader{queryParameter(Call.Query, "Topic"),
                      queryNumber(Call.Query, "From"), Call.Responder};
  const read_result Now = visibleModel().read(Reader.Topic, Reader.From);
  const std::uint64_t WaitMs = queryNumber(Call.Query, "WaitMs");
  if (Now.Answer != store_result::Done || !Now.Records.empty() || WaitMs == 0) {
    respondToReader(Reader);
    return;
  }
  const std::uint64_t Id = ++LastReader;
  Readers.emplace(Id, Reader);
  Loop.startTimer(std::chrono::milliseconds(WaitMs), [this, Id] {
    const auto Found = Readers.extract(Id);
    if (!Found.empty())
      respondToReader(Found.mapped());
  });
}

void store_server::respondToReader(const reader &Reader) {
  const read_result Read = visibleModel().read(Reader.Topic, Reader.From);
  if (Read.Answer == store_result::Truncated) {
    Reader.Responder->respond(jsonAnswer(Gone, {{"First", Read.First}}));
    return;
  }
  http_response Response;
  Response.Body = bigEndian(Read.End, 8) + bigEndian(Read.First, 8);
  for (const store_record &Record : Read.Records)
    Response.Body += bigEndian(Record.size(), 4) + Record;
  Reader.Responder->respond(std::move(Response));
}

void store_server::respondToReaders() {
  for (auto It = Readers.begin(); It != Readers.end();) {
    const reader Reader = It->second;
    if (visibleModel().end(Reader.Topic) <= Reader.From) {
      ++It;
      continue;
    }
    It = Readers.erase(It);
    respondToReader(Reader);
  }
}

void store_server::newest(const call &Call) {
  // Small pages, so that tests exercise paging.
  constexpr std::size_t PageRecords = 5;
  const std::string Topic = queryParameter(Call.Query, "Topic");
  const std::string After = queryParameter(Call.Query, "After");
  json Items = json::array();
  bool HasMore = false;
  for (const newest_record &Record : visibleModel().newest(Topic)) {
    if (!After.empty() && Record.Key <= After)
      continue;
    if (Items.size() == PageRecords) {
      HasMore = true;
      break;
    }
    Items.push_back({{"Key", Record.Key},
                     {"Value", base64(Record.Value)},
                     {"Offset", Record.Offset}});
  }
  Call.Responder->respond(jsonAnswer(Ok, {{"items", Items},
                                          {"HasMore", HasMore},
                                          {"End", visibleModel().end(Topic)}}));
}

void store_server::join(const call &Call) {
  const json Body = json::parse(Call.Body);
  const join_result Answer = Model.join(
      Body.at("Member"), Body.at("Generation"),
      std::chrono::milliseconds(Body.at("TtlMs").get<int>()), Loop.now());
  json Parts = json::array();
  if (Answer.IsHolder)
    Parts.push_back({Body.at("Topics").at(0), 0, 0});
  Call.Responder->respond(
      jsonAnswer(Ok, {{"Generation", Answer.Generation}, {"parts", Parts}}));
}

void store_server::leave(const call &Call) {
  Model.leave(json::parse(Call.Body).at("Member"), Loop.now());
  Call.Responder->respond(jsonAnswer(Ok, json::object()));
}

void store_server::setFaults(const call &Call) {
  const auto Plan = log_fault_plan::parse(Call.Body);
  if (Plan)
    Faults = *Plan;
  constexpr int BadRequest = 400;
  Call.Responder->respond({.Code = Plan ? Ok : BadRequest});
}

void store_server::compact(const call &Call) {
  Model.compact();
  Call.Responder->respond({.Code = Ok});
}

void store_server::addAlias(const call &Call) {
  const std::string Text = queryParameter(Call.Query, "text");
  const std::string Alias = queryParameter(Call.Query, "alias");
  const bool Usable = !Text.empty() && Text.size() == Alias.size();
  if (Usable)
    Aliases[Text] = Alias;
  constexpr int BadRequest = 400;
  Call.Responder->respond({.Code = Usable ? Ok : BadRequest});
}

void store_server::setStale(const call &Call) {
  StaleCopy.reset();
  if (queryParameter(Call.Query, "on") == "1")
    StaleCopy = Model;
  Call.Responder->respond({.Code = Ok});
  respondToReaders();
}

} // namespace geraniumpaddle::standins
