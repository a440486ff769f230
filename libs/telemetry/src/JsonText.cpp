#include "JsonText.h"

#include "amaranthwind/base/Utf8.h"

#include <array>
#include <charconv>
#include <cmath>
#include <type_traits>
#include <variant>

namespace amaranthwind::telemetry {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned kBitsPerDigit = 4;
constexpr unsigned kDigitMask = 0xF;
/** Sufficient for the shortest representation of any double. */
constexpr std::size_t kMaxNumberBytes = 32;
/** Longer texts are truncated. */
constexpr std::size_t kMaxTextBytes = 1024;

} // namespace

void
AppendJsonText(std::string& aOut, std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  aOut += '"';
  for (const char character : base::ToUtf8(aText.substr(0, kMaxTextBytes))) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < kFirstPrintable) {
      aOut += "\\u00";
      aOut += kDigits[byte >> kBitsPerDigit];
      aOut += kDigits[byte & kDigitMask];
    } else {
      if (character == '"' || character == '\\') {
        aOut += '\\';
      }
      aOut += character;
    }
  }
  aOut += '"';
}

void
AppendJsonValue(std::string& aOut, const DumpValue& aValue)
{
  std::visit(
    [&](const auto& aAlternative) {
      using Alternative = std::decay_t<decltype(aAlternative)>;
      if constexpr (std::is_same_v<Alternative, std::string_view>) {
        AppendJsonText(aOut, aAlternative);
      } else if constexpr (std::is_same_v<Alternative, bool>) {
        aOut += aAlternative ? "true" : "false";
      } else {
        if constexpr (std::is_same_v<Alternative, double>) {
          if (!std::isfinite(aAlternative)) {
            aOut += "null";
            return;
          }
        }
        std::array<char, kMaxNumberBytes> text{};
        const auto end =
          std::to_chars(text.data(), text.data() + text.size(), aAlternative)
            .ptr;
        aOut.append(text.data(), end);
      }
    },
    aValue.value);
}

} // namespace amaranthwind::telemetry
