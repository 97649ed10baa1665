#pragma once

#include "core/ledger/types/record.h"

#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Encodes \p Record as the payload of one log record.
std::string encodeRecord(const record &Record);

/// Decodes the payload of a log record: protobuf, or protobuf's JSON mapping
/// if the first byte is '{'.
/// \throws malformed_message_error that names the invalid field. The text
/// depends on the payload only, so it is the same in every process.
record decodeRecord(std::string_view Payload);

} // namespace geraniumpaddle
