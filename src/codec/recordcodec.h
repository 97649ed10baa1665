#pragma once

#include "core/ledger/types/record.h"

#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Encodes \p Record as the payload of one log record.
std::string encodeRecord(const record &Record);

/// Decodes the payload of a log record: protobuf, or protobuf's JSON mapping
/// if the first byte is '{'.
/// \throws malformed_message_error that names the field at fault; the text is
/// the same for all who decode the same payload.
record decodeRecord(std::string_view Payload);

} // namespace geraniumpaddle
