#include "JsonWriter.h"

#include "JsonReader.h"

#include "amaranthwind/base/Utf8.h"

#include <algorithm>
#include <chrono>

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

std::uint64_t
ToMs(base::Duration aDuration)
{
  const auto count =
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return std::min(static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0)),
                  kMaxDurationMs);
}

} // namespace amaranthwind::codec
