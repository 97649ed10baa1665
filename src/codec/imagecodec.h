#pragma once

#include "core/ledger/types/state.h"

#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Encodes a whole ledger.
std::string encodeImage(const ledger_image &Image);

/// \throws malformed_message_error that names the field at fault.
ledger_image decodeImage(std::string_view Payload);

} // namespace geraniumpaddle
