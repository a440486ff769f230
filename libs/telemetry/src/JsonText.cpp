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
/** Enough for the shortest form of any double. */
constexpr std::size_t kMaxNumberBytes = 32;
/** Longest text in a dump; the rest is cut. */
constexpr std::size_t kMaxTextBytes = 1024;

} // namespace

void
AppendJsonText(std::string& aOut, std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  aOut += '"';
  for (const char each : base::ToUtf8(aText.substr(0, kMaxTextBytes))) {
    const auto byte = static_cast<unsigned char>(each);
    if (byte < kFirstPrintable) {
      aOut += "\\u00";
      aOut += kDigits[byte >> kBitsPerDigit];
      aOut += kDigits[byte & kDigitMask];
    } else {
      if (each == '"' || each == '\\') {
        aOut += '\\';
      }
      aOut += each;
    }
  }
  aOut += '"';
}

void
AppendJsonValue(std::string& aOut, const DumpValue& aValue)
{
  std::visit(
    [&](const auto& aHeld) {
      using Held = std::decay_t<decltype(aHeld)>;
      if constexpr (std::is_same_v<Held, std::string_view>) {
        AppendJsonText(aOut, aHeld);
      } else if constexpr (std::is_same_v<Held, bool>) {
        aOut += aHeld ? "true" : "false";
      } else {
        if constexpr (std::is_same_v<Held, double>) {
          if (!std::isfinite(aHeld)) {
            aOut += "null";
            return;
          }
        }
        std::array<char, kMaxNumberBytes> text{};
        const auto end =
          std::to_chars(text.data(), text.data() + text.size(), aHeld).ptr;
        aOut.append(text.data(), end);
      }
    },
    aValue.value);
}

} // namespace amaranthwind::telemetry
