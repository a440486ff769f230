#pragma once

#include <string>
#include <string_view>

namespace amaranthwind::base {

/** True if aText is well-formed UTF-8; JSON admits nothing else. */
bool
IsUtf8(std::string_view aText) noexcept;

/** aText with U+FFFD for each byte that is not part of well-formed UTF-8. */
std::string
ToUtf8(std::string_view aText);

} // namespace amaranthwind::base
