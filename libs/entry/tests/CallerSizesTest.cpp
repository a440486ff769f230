#include "CallerSizes.h"

#include <doctest/doctest.h>

#include <memory>

using namespace amaranthwind;

// Guards against a large caller that is counted as small, which would hide how
// small callers fare (section 1.4 of the design).
TEST_CASE("a caller below the equal share of its account is small")
{
  const auto sizes = std::make_unique<entry::CallerSizes>();
  for (int i = 0; i < 90; ++i) {
    sizes->CountAndIsSmall("club", "judge");
  }
  for (int i = 0; i < 9; ++i) {
    sizes->CountAndIsSmall("club", "secretary");
  }
  CHECK(sizes->CountAndIsSmall("club", "secretary"));
  CHECK_FALSE(sizes->CountAndIsSmall("club", "judge"));
  CHECK_FALSE(sizes->CountAndIsSmall("other-club", "judge"));
}

// Guards against a verdict that never changes: old windows no longer count.
TEST_CASE("the size of a caller follows the last two windows")
{
  const auto sizes = std::make_unique<entry::CallerSizes>();
  for (int i = 0; i < 90; ++i) {
    sizes->CountAndIsSmall("club", "judge");
  }
  sizes->Rotate();
  CHECK(sizes->CountAndIsSmall("club", "secretary"));
  sizes->Rotate();
  sizes->Rotate();
  for (int i = 0; i < 9; ++i) {
    sizes->CountAndIsSmall("club", "secretary");
  }
  CHECK(sizes->CountAndIsSmall("club", "judge"));
  CHECK_FALSE(sizes->CountAndIsSmall("club", "secretary"));
}
