#include "amaranthwind/codec/Base64.h"

#include <cstddef>
#include <cstdint>

namespace amaranthwind::codec {

namespace {

constexpr std::string_view kDigits =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t kBytesPerGroup = 3;
constexpr std::size_t kDigitsPerGroup = 4;
constexpr unsigned kBitsPerDigit = 6;
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint32_t kDigitMask = 0x3F;
constexpr std::uint32_t kByteMask = 0xFF;

} // namespace

std::string
ToBase64(std::string_view aBytes)
{
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += kBytesPerGroup) {
    const std::string_view group = aBytes.substr(i, kBytesPerGroup);
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < kBytesPerGroup; ++j) {
      const unsigned byte =
        j < group.size() ? static_cast<unsigned char>(group[j]) : 0U;
      bits = (bits << kBitsPerByte) | byte;
    }
    for (std::size_t j = 0; j < kDigitsPerGroup; ++j) {
      const auto shift =
        static_cast<unsigned>(kDigitsPerGroup - 1 - j) * kBitsPerDigit;
      text += j <= group.size() ? kDigits[(bits >> shift) & kDigitMask] : '=';
    }
  }
  return text;
}

std::optional<std::string>
FromBase64(std::string_view aText)
{
  if (aText.size() % kDigitsPerGroup != 0) {
    return std::nullopt;
  }
  std::string_view digits = aText;
  for (int i = 0; i < 2 && digits.ends_with('='); ++i) {
    digits.remove_suffix(1);
  }
  std::string bytes;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char digit : digits) {
    const std::size_t value = kDigits.find(digit);
    if (value == std::string_view::npos) {
      return std::nullopt;
    }
    bits = (bits << kBitsPerDigit) | static_cast<std::uint32_t>(value);
    count += kBitsPerDigit;
    if (count >= kBitsPerByte) {
      count -= kBitsPerByte;
      bytes += static_cast<char>((bits >> count) & kByteMask);
    }
  }
  // Also rejects wrong padding and nonzero unused bits in the last digit.
  if (ToBase64(bytes) != aText) {
    return std::nullopt;
  }
  return bytes;
}

} // namespace amaranthwind::codec
