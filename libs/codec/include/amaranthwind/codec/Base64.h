#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace amaranthwind::codec {

/** Encodes aBytes as RFC 4648 base64 with padding. */
std::string
ToBase64(std::string_view aBytes);

/** Decodes base64; returns nullopt if aText is not canonical base64. */
std::optional<std::string>
FromBase64(std::string_view aText);

} // namespace amaranthwind::codec
