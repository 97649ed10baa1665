// Stand-in for the platform's store, after PROTOCOL.md ("The platform's
// metadata store"): logs with partitions, producers with epochs, the newest
// record of each key, and groups. It enforces RecordBytes and CallBytes.
#pragma once

#include "net.hh"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace review3 {

using steady = std::chrono::steady_clock;

/// The value of a field in a flat JSON text without spaces between the tokens.
inline std::string jsonField(const std::string &Text, const std::string &Name) {
  const std::string Key = "\"" + Name + "\":";
  std::size_t At = Text.find(Key);
  if (At == std::string::npos)
    return "";
  At += Key.size();
  if (Text[At] == '"')
    return Text.substr(At + 1, Text.find('"', At + 1) - At - 1);
  return Text.substr(At, Text.find_first_of(",}]", At) - At);
}

class store {
public:
  std::size_t RecordBytes = 262144;
  std::size_t CallBytes = 2097152;

  /// While it is down, each call is answered with 503 and nothing is done.
  void setDown(bool Now) {
    const std::lock_guard Lock(Mutex);
    Down = Now;
    Changed.notify_all();
  }
  /// Bodies of appends that were refused for their size.
  std::vector<std::size_t> oversized() {
    const std::lock_guard Lock(Mutex);
    return Oversized;
  }
  std::size_t largestAppend() {
    const std::lock_guard Lock(Mutex);
    return Largest;
  }

  response handle(const request &Request) {
    std::unique_lock Lock(Mutex);
    if (Down)
      return {.Code = 503};
    if (Request.Path == "/api/log-append")
      return append(Request);
    if (Request.Path == "/api/log-read")
      return read(Request, Lock);
    if (Request.Path == "/api/log-newest")
      return newest(Request);
    if (Request.Path == "/api/log-join")
      return join(Request);
    if (Request.Path == "/api/log-leave") {
      Members.erase(jsonField(Request.Body, "Member"));
      assign();
      return {.Body = "{}"};
    }
    return {.Code = 404};
  }

private:
  struct producer {
    std::uint64_t Epoch = 0;
    std::uint64_t Last = 0;
    bool Appended = false;
    std::map<std::uint64_t, std::string> Answers;
  };
  struct log {
    std::deque<std::string> Records;
    std::map<std::string, std::pair<std::string, std::uint64_t>> Newest;
    std::map<std::string, producer> Producers;
  };

  static std::string parameter(const std::string &Query,
                               const std::string &Name) {
    const std::string Text = "&" + Query;
    const std::size_t At = Text.find("&" + Name + "=");
    if (At == std::string::npos)
      return "";
    const std::size_t First = At + Name.size() + 2;
    return Text.substr(First, Text.find('&', First) - First);
  }
  static std::uint64_t number(const std::string &Query,
                              const std::string &Name) {
    return std::strtoull(parameter(Query, Name).c_str(), nullptr, 10);
  }
  log &logOf(const request &Request) {
    return Logs[parameter(Request.Query, "Topic") + "/" +
                parameter(Request.Query, "part")];
  }
  static std::string bigEndian(std::uint64_t Value, int Bytes) {
    std::string Text;
    for (int I = Bytes; I-- > 0;)
      Text += static_cast<char>(Value >> (8 * I));
    return Text;
  }

  response append(const request &Request) {
    std::vector<std::string> Records;
    std::size_t Total = 0;
    for (std::size_t At = 0; At + 4 <= Request.Body.size();) {
      std::size_t Size = 0;
      for (std::size_t I = 0; I < 4; ++I)
        Size = Size << 8 | static_cast<unsigned char>(Request.Body[At + I]);
      if (At + 4 + Size > Request.Body.size())
        return {.Code = 400};
      Records.push_back(Request.Body.substr(At + 4, Size));
      Total += Size;
      At += 4 + Size;
      if (Size > RecordBytes) {
        Oversized.push_back(Size);
        return {.Code = 413};
      }
    }
    Largest = std::max(Largest, Total);
    if (Total > CallBytes) {
      Oversized.push_back(Total);
      return {.Code = 413};
    }
    log &Log = logOf(Request);
    const std::string Name = parameter(Request.Query, "Producer");
    producer *Producer = Name.empty() ? nullptr : &Log.Producers[Name];
    const std::uint64_t Sequence = number(Request.Query, "Seq");
    const std::uint64_t First = Log.Records.size();
    const std::string Answer =
        "{\"Offset\":" + std::to_string(First) +
        ",\"End\":" + std::to_string(First + Records.size()) + "}";
    if (Producer) {
      const std::uint64_t Epoch = number(Request.Query, "epoch");
      if (Epoch < Producer->Epoch)
        return {.Code = 409, .Body = R"({"Reason":"fenced"})"};
      if (Epoch > Producer->Epoch)
        *Producer = {.Epoch = Epoch};
      if (Records.empty())
        return {.Body = Answer};
      const auto Known = Producer->Answers.find(Sequence);
      if (Known != Producer->Answers.end())
        return {.Body = Known->second};
      if (Producer->Appended && Sequence != Producer->Last + 1)
        return {.Code = 409,
                .Body = "{\"Reason\":\"seq\",\"Seq\":" +
                        std::to_string(Producer->Last + 1) + "}"};
    }
    for (const std::string &Record : Records) {
      const auto KeySize = static_cast<unsigned char>(Record.at(0));
      const std::string Key = Record.substr(1, KeySize);
      const std::string Value = Record.substr(1 + KeySize);
      if (Value.empty())
        Log.Newest.erase(Key);
      else
        Log.Newest[Key] = {Value, Log.Records.size()};
      Log.Records.push_back(Record);
    }
    if (Producer) {
      Producer->Appended = true;
      Producer->Last = Sequence;
      Producer->Answers[Sequence] = Answer;
      if (Producer->Answers.size() > 5)
        Producer->Answers.erase(Producer->Answers.begin());
    }
    Changed.notify_all();
    return {.Body = Answer};
  }

  response read(const request &Request, std::unique_lock<std::mutex> &Lock) {
    const std::uint64_t From = number(Request.Query, "From");
    const auto Until = steady::now() + std::chrono::milliseconds(
                                           number(Request.Query, "WaitMs"));
    log &Log = logOf(Request);
    while (Log.Records.size() <= From && !Down && steady::now() < Until)
      Changed.wait_until(Lock, Until);
    if (Down)
      return {.Code = 503};
    std::string MaxKb = parameter(Request.Query, "MaxKb");
    const std::size_t Limit =
        1024 *
        (MaxKb.empty() ? 1024 : std::strtoull(MaxKb.c_str(), nullptr, 10));
    std::string Body = bigEndian(Log.Records.size(), 8) + bigEndian(0, 8);
    for (std::size_t At = From; At < Log.Records.size(); ++At) {
      const std::string &Record = Log.Records[At];
      if (At > From && Body.size() + 4 + Record.size() > Limit)
        break;
      Body += bigEndian(Record.size(), 4) + Record;
    }
    return {.Body = Body};
  }

  static std::string base64(const std::string &Bytes) {
    static const char Digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string Text;
    for (std::size_t I = 0; I < Bytes.size(); I += 3) {
      std::uint32_t Group = 0;
      for (std::size_t J = 0; J < 3; ++J)
        Group = Group << 8 |
                (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                      : 0U);
      for (std::size_t J = 0; J < 4; ++J)
        Text += I + J > Bytes.size() ? '=' : Digits[Group >> (18 - 6 * J) & 63];
    }
    return Text;
  }

  response newest(const request &Request) {
    std::string After;
    const std::string Escaped = parameter(Request.Query, "After");
    for (std::size_t I = 0; I < Escaped.size(); ++I)
      if (Escaped[I] == '%' && I + 2 < Escaped.size()) {
        After += static_cast<char>(
            std::strtol(Escaped.substr(I + 1, 2).c_str(), nullptr, 16));
        I += 2;
      } else {
        After += Escaped[I];
      }
    log &Log = logOf(Request);
    std::string Items;
    std::size_t Count = 0;
    std::size_t Bytes = 0;
    bool HasMore = false;
    for (auto It = After.empty() ? Log.Newest.begin()
                                 : Log.Newest.upper_bound(After);
         It != Log.Newest.end(); ++It) {
      const auto &[Key, Record] = *It;
      Bytes += Key.size() + Record.first.size();
      if (Count == 500 || (Count > 0 && Bytes > 1000000)) {
        HasMore = true;
        break;
      }
      Items += std::string(Count++ ? "," : "") + "{\"Key\":\"" + Key +
               "\",\"Value\":\"" + base64(Record.first) +
               "\",\"Offset\":" + std::to_string(Record.second) + "}";
    }
    return {.Body = "{\"items\":[" + Items +
                    "],\"HasMore\":" + (HasMore ? "true" : "false") +
                    ",\"End\":" + std::to_string(Log.Records.size()) + "}"};
  }

  /// Gives the only partition that matters here (the first of the topic) to the
  /// first member.
  void assign() {
    for (auto It = Members.begin(); It != Members.end();)
      It = It->second <= steady::now() ? Members.erase(It) : std::next(It);
    if (Members.contains(Holder))
      return;
    Holder = Members.empty() ? "" : Members.begin()->first;
    ++Generation;
  }

  response join(const request &Request) {
    const std::string Member = jsonField(Request.Body, "Member");
    Members[Member] =
        steady::now() +
        std::chrono::milliseconds(std::strtoull(
            jsonField(Request.Body, "TtlMs").c_str(), nullptr, 10));
    assign();
    const std::size_t Topics = Request.Body.find("\"Topics\":[\"");
    const std::string Topic = Request.Body.substr(
        Topics + 11, Request.Body.find('"', Topics + 11) - Topics - 11);
    return {.Body = "{\"Generation\":" + std::to_string(Generation) +
                    ",\"parts\":[" +
                    (Member == Holder ? "[\"" + Topic + "\",0,0]" : "") + "]}"};
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, log> Logs;
  std::map<std::string, steady::time_point> Members;
  std::string Holder;
  std::uint64_t Generation = 0;
  bool Down = false;
  std::vector<std::size_t> Oversized;
  std::size_t Largest = 0;
};

} // namespace review3
