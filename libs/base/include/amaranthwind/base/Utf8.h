#pragma once

#include <string>
#include <string_view>

namespace amaranthwind::base {

/** Returns whether aText is well-formed UTF-8, as JSON requires. */
bool
IsUtf8(std::string_view aText) noexcept;

/** Replaces each byte that is not part of well-formed UTF-8 with U+FFFD. */
std::string
ToUtf8(std::string_view aText);

} // namespace amaranthwind::base
