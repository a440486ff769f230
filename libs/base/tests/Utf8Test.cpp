#include "amaranthwind/base/Utf8.h"

#include <doctest/doctest.h>

#include <string_view>
#include <vector>

using namespace amaranthwind::base;

// Guards against writing JSON documents that a strict parser rejects.
TEST_CASE("only well-formed UTF-8 is accepted and other bytes are replaced")
{
  struct Case
  {
    std::string_view text;
    std::string_view replaced;
  };
  const std::vector<Case> cases{
    { "", "" },
    { "a\x7F", "a\x7F" },
    { "ñ 臺 \xF0\x9F\x8C\xB1", "ñ 臺 \xF0\x9F\x8C\xB1" },
    { "\xF4\x8F\xBF\xBF", "\xF4\x8F\xBF\xBF" },
    { "\xC3", "\uFFFD" },
    { "a\x80z", "a\uFFFDz" },
    { "\xC0\xAF", "\uFFFD\uFFFD" },
    { "\xED\xA0\x80", "\uFFFD\uFFFD\uFFFD" },
    { "\xE0\x80\x80", "\uFFFD\uFFFD\uFFFD" },
    { "\xF4\x90\x80\x80", "\uFFFD\uFFFD\uFFFD\uFFFD" },
    { "\xE8\x87", "\uFFFD\uFFFD" },
  };
  for (const Case& each : cases) {
    CAPTURE(each.replaced);
    CHECK(ToUtf8(each.text) == each.replaced);
    CHECK(IsUtf8(each.text) == (each.text == each.replaced));
  }
}
