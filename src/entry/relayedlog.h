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

/// Returns the address of the relay, the entry that reads the log for this
/// region; empty if this entry reads the log directly.
using relay_source = std::function<std::optional<std::string>()>;

/// Reads the log directly or through the relay, the one entry of the region
/// that reads it over the link to the log's region, so that each record crosses
/// the link once. Reads fall back to the log itself when the relay does not
/// answer.
class relayed_log final : public ilog_service {
public:
  static constexpr std::size_t MaxCachedItems = 4096;
  static constexpr std::size_t MaxCachedBytes = 8UL * 1024 * 1024;

  relayed_log(ievent_loop &Loop, ilog_service &Direct, ipeer_client &Peers,
              const peer_identity &Self, relay_source Source);
  ~relayed_log() override { *Alive = false; }

  void append(std::span<const std::string> Payloads,
              std::function<void(const append_result &)> Done) override;
  void read(log_offset From, std::uint32_t Limit, duration Wait,
            std::function<void(const read_result &)> Done) override;

  /// Answers another entry's read from the cached records of this entry.
  void serve(const proto::FetchRecords &Request, const peer_responder &Respond);
  /// Number of reads that the relay served, and that fell back to the log.
  std::uint64_t relayedReads() const { return Relayed; }
  std::uint64_t fallbacks() const { return Fallbacks; }

private:
  /// Another entry's read that waits for the next record.
  struct deferred_read {
    proto::FetchRecords Request;
    peer_responder Respond;
    timer_id Timer{};
  };

  void readDirect(log_offset From, std::uint32_t Limit, duration Wait,
                  std::function<void(const read_result &)> Done);
  void cacheItems(const read_result &Result);
  bool contains(std::uint64_t From) const;
  bool isNextOffset(std::uint64_t From) const;
  proto::PeerResponse batchFrom(const proto::FetchRecords &Request) const;
  void deferRead(const proto::FetchRecords &Request,
                 const peer_responder &Respond);
  void completeRead(std::list<deferred_read>::iterator Read);

  ievent_loop &Loop;
  ilog_service &Direct;
  ipeer_client &Peers;
  const peer_identity Self;
  relay_source Source;
  std::deque<log_item> Cached;
  std::size_t CachedBytes = 0;
  log_offset Head{};
  log_offset Oldest{};
  std::list<deferred_read> DeferredReads;
  std::uint64_t Relayed = 0;
  std::uint64_t Fallbacks = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
