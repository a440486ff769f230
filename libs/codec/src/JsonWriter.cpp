#include "JsonWriter.h"

#include "JsonReader.h"

#include "amaranthwind/base/Utf8.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <limits>

namespace amaranthwind::codec {

boost::json::string
ToText(std::string_view aText)
{
  if (base::IsUtf8(aText)) {
    return boost::json::string(aText.data(), aText.size());
  }
  const std::string text = base::ToUtf8(aText);
  return boost::json::string(text.data(), text.size());
}

void
AppendText(std::string& aOut, std::string_view aText)
{
  const bool isPlain = std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return aChar >= ' ' && aChar <= '~' && aChar != '"' && aChar != '\\';
  });
  if (isPlain) {
    aOut += '"';
    aOut += aText;
    aOut += '"';
  } else {
    aOut += boost::json::serialize(ToText(aText));
  }
}

void
AppendNumber(std::string& aOut, std::uint64_t aNumber)
{
  std::array<char, std::numeric_limits<std::uint64_t>::digits10 + 1> digits{};
  const auto end =
    std::to_chars(digits.data(), digits.data() + digits.size(), aNumber).ptr;
  aOut.append(digits.data(), end);
}

std::uint64_t
ToMs(base::Duration aDuration)
{
  const auto count =
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return std::min(static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0)),
                  kMaxDurationMs);
}

} // namespace amaranthwind::codec
