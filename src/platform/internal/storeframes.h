#pragma once

#include "platform/types/storecalls.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Records as an append sends them: each with its length (4 bytes, big-endian),
/// the length of its key (1 byte), the key and the value.
std::string encodeFrames(std::span<const keyed_value> Records);

/// The answer to a read: the end and the first kept offset (8 bytes each),
/// then records as above. Nothing if it is cut short. A record without a
/// readable key counts, but is left out.
std::optional<topic_batch> decodeFrames(std::string_view Bytes,
                                        std::uint64_t From);

/// Nothing if \p Text is not base64.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace geraniumpaddle
