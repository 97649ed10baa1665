#pragma once

#include "platform/types/storecalls.h"

#include <functional>

namespace geraniumpaddle {

/// The platform's store: topics that are compacted to the newest record of each
/// key, and the group that assigns the candidacy for leadership.
/// Each Done is called exactly once, from the event loop.
class istore {
public:
  virtual ~istore() = default;

  /// Appends all records or none.
  virtual void append(const append_call &Call,
                      std::function<void(const append_outcome &)> Done) = 0;
  /// \param Wait how long the store may wait for a record; at most 30 s.
  virtual void read(store_topic Topic, std::uint64_t From, duration Wait,
                    std::function<void(const read_outcome &)> Done) = 0;
  /// Reads one page of the newest records.
  /// \param After last key of the previous page; empty for the first page.
  virtual void newest(store_topic Topic, std::string_view After,
                      std::function<void(const newest_outcome &)> Done) = 0;
  virtual void join(const join_call &Call,
                    std::function<void(const join_outcome &)> Done) = 0;
  virtual void leave(std::string_view Member) = 0;
};

} // namespace geraniumpaddle
