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

/// Notifies the other entries of records that are in the log, since reads of
/// the store may return them seconds late. An entry that misses a notification
/// gets the record from the log.
class record_notifier {
public:
  record_notifier(ipeer_client &Peers, metric_registry &Metrics,
                  const peer_identity &Self)
      : Peers(Peers), Metrics(Metrics), Self(Self) {}
  ~record_notifier() { *Alive = false; }
  record_notifier(const record_notifier &) = delete;
  record_notifier &operator=(const record_notifier &) = delete;

  /// \param Addresses ip:port of the peer interfaces of the other entries.
  /// \param OnAnswer called with each answer that arrives before the timeout.
  void notify(std::span<const std::string> Addresses,
              const keyed_record &Record,
              const std::function<void(const proto::PeerResponse &)> &OnAnswer);

private:
  ipeer_client &Peers;
  metric_registry &Metrics;
  const peer_identity Self;
  logger Log{"news"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/// The record in a notification from another entry.
keyed_record decodeNotification(const proto::work::RecordStored &Message);

} // namespace geraniumpaddle
