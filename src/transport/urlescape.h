#pragma once

#include <string>
#include <string_view>

namespace geraniumpaddle {

/// Percent-encodes all of \p Text except letters, digits and -_. for use in a
/// URL.
std::string urlEscape(std::string_view Text);

} // namespace geraniumpaddle
