#pragma once

#include "core/topics/types/topicevents.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "peercodec/peercodec.h"
#include "transport/ipeerclient.h"

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace geraniumpaddle {

/// Tells the other entries of records that are in the log, since the store may
/// show them seconds late. An entry that misses the news reads the log.
class record_news {
public:
  record_news(ipeer_client &Peers, metric_registry &Metrics,
              const peer_identity &Self)
      : Peers(Peers), Metrics(Metrics), Self(Self) {}
  ~record_news() { *Alive = false; }
  record_news(const record_news &) = delete;
  record_news &operator=(const record_news &) = delete;

  /// \param Addresses ip:port of the peer interfaces of the other entries.
  /// \param Answered gets each answer that arrives in time.
  void tell(std::span<const std::string> Addresses, const keyed_record &Record,
            const std::function<void(const proto::PeerResponse &)> &Answered);

private:
  ipeer_client &Peers;
  metric_registry &Metrics;
  const peer_identity Self;
  logger Log{"news"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/// The record that another entry tells of.
keyed_record decodeNews(const proto::work::RecordStored &Message);

} // namespace geraniumpaddle
