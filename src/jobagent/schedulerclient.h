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

/// Finds the scheduler among the entries and carries reports to it.
///
/// Entries are known from the settings, from the store and from other entries;
/// any of them may be gone. A report that gets no answer is tried over a new
/// connection and at the other entries in turn.
class scheduler_link {
public:
  /// \param Seeds peer addresses of entries.
  scheduler_link(ievent_loop &Loop, ipeer_client &Peers, istore &Store,
                 const peer_identity &Self, std::vector<std::string> Seeds);
  ~scheduler_link() { *Alive = false; }
  scheduler_link(const scheduler_link &) = delete;
  scheduler_link &operator=(const scheduler_link &) = delete;

  void start();
  /// Further addresses to look for entries at.
  void addSeeds(std::span<const std::string> Seeds);
  /// \param Done gets the orders, or null if this entry had none to give.
  void report(const proto::work::WorkerReport &Report,
              std::function<void(const proto::work::WorkerOrders *)> Done);
  /// Pause before a report that got no orders is sent again.
  duration retryDelay() const;

private:
  void readEntries();
  void learn(const work::entry_record &Entry);
  void
  answered(const std::string &Address, const peer_result &Result,
           const std::function<void(const proto::work::WorkerOrders *)> &Done);
  void tryNext(const std::string &Failed);
  void follow(const proto::work::WorkerOrders &Orders);

  ievent_loop &Loop;
  ipeer_client &Peers;
  istore &Store;
  const peer_identity Self;
  std::vector<std::string> Candidates; ///< peer addresses
  std::map<node_id, work::entry_record> Known;
  std::string Current;
  bool InOffice = false; ///< the current one gave orders last
  std::uint64_t HighestTerm = 0;
  timer Refresh;
  logger Log{"link"};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace geraniumpaddle
