#pragma once

#include "core/ledger/types/state.h"

#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Encodes the image of a ledger for a snapshot.
std::string encodeImage(const ledger_image &Image);

/// \throws malformed_message_error that names the invalid field.
ledger_image decodeImage(std::string_view Payload);

} // namespace geraniumpaddle
