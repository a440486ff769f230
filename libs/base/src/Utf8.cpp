#include "amaranthwind/base/Utf8.h"

#include <algorithm>
#include <cstddef>

namespace amaranthwind::base {

namespace {

constexpr std::string_view kReplacement = "\xEF\xBF\xBD";

/** Length of the UTF-8 sequence at the start of aText; 0 if ill-formed. */
std::size_t
SequenceLength(std::string_view aText) noexcept
{
  const auto at = [&](std::size_t aIndex) {
    return aIndex < aText.size() ? static_cast<unsigned char>(aText[aIndex])
                                 : 0U;
  };
  const auto isTail = [&](std::size_t aIndex) {
    return (at(aIndex) & 0xC0U) == 0x80U;
  };
  const unsigned lead = at(0);
  const unsigned second = at(1);
  if (lead < 0x80U) {
    return 1;
  }
  if (lead >= 0xC2U && lead <= 0xDFU) {
    return isTail(1) ? 2 : 0;
  }
  if (lead >= 0xE0U && lead <= 0xEFU) {
    // Rejects overlong encodings and surrogates.
    const bool isAllowed =
      !(lead == 0xE0U && second < 0xA0U) && !(lead == 0xEDU && second > 0x9FU);
    return isAllowed && isTail(1) && isTail(2) ? 3 : 0;
  }
  if (lead >= 0xF0U && lead <= 0xF4U) {
    // Rejects overlong encodings and code points above U+10FFFF.
    const bool isAllowed =
      !(lead == 0xF0U && second < 0x90U) && !(lead == 0xF4U && second > 0x8FU);
    return isAllowed && isTail(1) && isTail(2) && isTail(3) ? 4 : 0;
  }
  return 0;
}

} // namespace

bool
IsUtf8(std::string_view aText) noexcept
{
  while (!aText.empty()) {
    const std::size_t length = SequenceLength(aText);
    if (length == 0) {
      return false;
    }
    aText.remove_prefix(length);
  }
  return true;
}

std::string
ToUtf8(std::string_view aText)
{
  std::string text;
  text.reserve(aText.size());
  while (!aText.empty()) {
    const std::size_t length = SequenceLength(aText);
    text += length == 0 ? kReplacement : aText.substr(0, length);
    aText.remove_prefix(std::max<std::size_t>(length, 1));
  }
  return text;
}

} // namespace amaranthwind::base
