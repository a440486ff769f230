#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/StrongId.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace amaranthwind::codec {

/** Converts to a JSON string; bytes that are not UTF-8 become U+FFFD. */
boost::json::string
ToText(std::string_view aText);

/** Appends the text as a JSON string with the same content as ToText(). */
void
AppendText(std::string& aOut, std::string_view aText);

void
AppendNumber(std::string& aOut, std::uint64_t aNumber);

/** Milliseconds, rounded down and clamped to the range accepted on reading. */
std::uint64_t
ToMs(base::Duration aDuration);

template<typename Tag>
boost::json::string
ToText(const base::StrongId<Tag>& aId)
{
  return ToText(aId.View());
}

template<typename E>
std::string_view
NameOf(E aValue, std::span<const std::pair<E, std::string_view>> aNames)
{
  for (const auto& [value, name] : aNames) {
    if (value == aValue) {
      return name;
    }
  }
  return {};
}

template<typename E>
boost::json::string
ToText(E aValue, std::span<const std::pair<E, std::string_view>> aNames)
{
  return ToText(NameOf(aValue, aNames));
}

} // namespace amaranthwind::codec
