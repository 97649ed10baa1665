#pragma once

#include "peercodec/peercodec.h"
#include "platform/ilogservice.h"
#include "transport/ieventloop.h"
#include "transport/ipeerclient.h"
#include "transport/ipeerserver.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>

namespace geraniumpaddle {

/// Address of the entry that reads the log for this region; nothing if this
/// entry reads it itself.
using relay_source = std::function<std::optional<std::string>()>;

/// The log as an entry reads it: directly, or through the one entry of its
/// region that reads it across the link, so that each record crosses the link
/// once. Reads go to the log itself whenever the relay does not answer.
class relayed_log final : public ilog_service {
public:
  static constexpr std::size_t MaxKeptItems = 4096;
  static constexpr std::size_t MaxKeptBytes = 8UL * 1024 * 1024;

  relayed_log(ievent_loop &Loop, ilog_service &Direct, ipeer_client &Peers,
              const peer_identity &Self, relay_source Source);
  ~relayed_log() override { *Alive = false; }

  void append(std::span<const std::string> Payloads,
              std::function<void(const append_result &)> Done) override;
  void read(log_offset From, std::uint32_t Limit, duration Wait,
            std::function<void(const read_result &)> Done) override;

  /// Answers another entry's read from the records that this one has read.
  void serve(const proto::FetchRecords &Request, const peer_responder &Respond);
  /// Reads that went through another entry, and that fell back to the log.
  std::uint64_t relayedReads() const { return Relayed; }
  std::uint64_t fallbacks() const { return Fallbacks; }

private:
  /// A read of another entry that waits for the next record.
  struct parked_read {
    proto::FetchRecords Request;
    peer_responder Respond;
    timer_id Timer{};
  };

  void readDirect(log_offset From, std::uint32_t Limit, duration Wait,
                  std::function<void(const read_result &)> Done);
  void keep(const read_result &Result);
  bool holds(std::uint64_t From) const;
  bool reachesEnd(std::uint64_t From) const;
  proto::PeerResponse batchFrom(const proto::FetchRecords &Request) const;
  void park(const proto::FetchRecords &Request, const peer_responder &Respond);
  void unpark(std::list<parked_read>::iterator Parked);

  ievent_loop &Loop;
  ilog_service &Direct;
  ipeer_client &Peers;
  const peer_identity Self;
  relay_source Source;
  std::deque<log_item> Kept;
  std::size_t KeptBytes = 0;
  log_offset Head{};
  log_offset Oldest{};
  std::list<parked_read> Parked;
  std::uint64_t Relayed = 0;
  std::uint64_t Fallbacks = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
