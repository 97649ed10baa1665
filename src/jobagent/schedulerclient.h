#pragma once

#include "core/work/types/records.h"
#include "logging/logging.h"
#include "peercodec/peercodec.h"
#include "platform/istore.h"
#include "transport/ieventloop.h"
#include "transport/ipeerclient.h"
#include "transport/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace geraniumpaddle {

/// Finds the scheduler among the entries and sends reports to it.
///
/// Addresses of entries come from the settings, the store and other entries,
/// and may be outdated. If an entry gives no orders, the next report goes to
/// the next entry; if it did not answer at all, its connection is opened again
/// too.
class scheduler_client {
public:
  /// \param Seeds peer addresses of entries.
  scheduler_client(ievent_loop &Loop, ipeer_client &Peers, istore &Store,
                   const peer_identity &Self, std::vector<std::string> Seeds);
  ~scheduler_client() { *Alive = false; }
  scheduler_client(const scheduler_client &) = delete;
  scheduler_client &operator=(const scheduler_client &) = delete;

  void start();
  /// Adds peer addresses of entries.
  void addSeeds(std::span<const std::string> Seeds);
  /// \param Done gets the orders, or null if the entry gave none.
  void report(const proto::work::WorkerReport &Report,
              std::function<void(const proto::work::WorkerOrders *)> Done);
  /// Pause before a report that got no orders is sent again.
  duration retryDelay() const;

private:
  void readEntries();
  void updateEntry(const work::entry_record &Entry);
  void handleAnswer(
      const std::string &Address, const peer_result &Result,
      const std::function<void(const proto::work::WorkerOrders *)> &Done);
  void selectNext(const std::string &Failed);
  void updateEntries(const proto::work::WorkerOrders &Orders);

  ievent_loop &Loop;
  ipeer_client &Peers;
  istore &Store;
  const peer_identity Self;
  std::vector<std::string> EntryAddresses; ///< peer addresses
  std::map<node_id, work::entry_record> Entries;
  std::string CurrentAddress;
  bool SchedulerFound = false; ///< at CurrentAddress
  std::uint64_t HighestTerm = 0;
  timer RefreshTimer;
  logger Log{"link"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
