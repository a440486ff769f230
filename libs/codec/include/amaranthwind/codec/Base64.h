#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace amaranthwind::codec {

/** Base64 of RFC 4648 with padding. */
std::string
ToBase64(std::string_view aBytes);

/** Nothing if aText is not canonical base64. */
std::optional<std::string>
FromBase64(std::string_view aText);

} // namespace amaranthwind::codec
