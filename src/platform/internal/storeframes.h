#pragma once

#include "platform/types/storecalls.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Encodes records for an append. Each record consists of its length (4 bytes,
/// big-endian), the length of its key (1 byte), the key and the value.
std::string encodeFrames(std::span<const keyed_value> Records);

/// Decodes the answer to a read: the end offset and the first retained offset
/// (8 bytes each), then records as above. Nothing if the answer is truncated. A
/// record without a valid key is skipped, but takes up an offset.
std::optional<topic_batch> decodeFrames(std::string_view Bytes,
                                        std::uint64_t From);

/// Nothing if \p Text is not valid base64.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace geraniumpaddle
