#pragma once

#include "core/work/types/queueforecast.h"
#include "core/work/types/records.h"
#include "core/work/types/worker.h"

#include "work.pb.h"

#include <string>
#include <string_view>

namespace geraniumpaddle::work {

/// Serializes \p Record as a value for the log.
std::string encodeRecord(const work_record &Record);
/// \throws malformed_message_error
work_record decodeRecord(std::string_view Bytes);

proto::work::WorkerReport encodeReport(const worker_report &Report);
/// \throws malformed_message_error
worker_report decodeReport(const proto::work::WorkerReport &Message);

void encodeOrders(const worker_orders &Orders,
                  proto::work::WorkerOrders &Message);
/// \throws malformed_message_error
worker_orders decodeOrders(const proto::work::WorkerOrders &Message);

/// \p Count milliseconds, at most MaxDuration; for answers of other entries, of
/// which a part is still of use.
duration boundedMilliseconds(std::uint64_t Count);

proto::work::QueueForecast encodeForecast(const queue_forecast &Forecast);
queue_forecast decodeForecast(const proto::work::QueueForecast &Message);

proto::work::EntryPresent encodeEntry(const entry_record &Entry);
entry_record decodeEntry(const proto::work::EntryPresent &Message);

} // namespace geraniumpaddle::work
