#include "CallerSizes.h"

#include <doctest/doctest.h>

#include <memory>

using namespace amaranthwind;

// Guards against a large caller that is counted as small: its requests would
// distort the latency metrics of small callers (section 1.4 of the design).
TEST_CASE("a caller below the equal share of its account is small")
{
  const auto sizes = std::make_unique<entry::CallerSizes>();
  for (int i = 0; i < 90; ++i) {
    sizes->CountAndIsSmall("account", "batch");
  }
  for (int i = 0; i < 9; ++i) {
    sizes->CountAndIsSmall("account", "interactive");
  }
  CHECK(sizes->CountAndIsSmall("account", "interactive"));
  CHECK_FALSE(sizes->CountAndIsSmall("account", "batch"));
  CHECK_FALSE(sizes->CountAndIsSmall("other-account", "batch"));
}

// Guards against a classification that never changes because old windows still
// count.
TEST_CASE("the size of a caller follows the last two windows")
{
  const auto sizes = std::make_unique<entry::CallerSizes>();
  for (int i = 0; i < 90; ++i) {
    sizes->CountAndIsSmall("account", "batch");
  }
  sizes->Rotate();
  CHECK(sizes->CountAndIsSmall("account", "interactive"));
  sizes->Rotate();
  sizes->Rotate();
  for (int i = 0; i < 9; ++i) {
    sizes->CountAndIsSmall("account", "interactive");
  }
  CHECK(sizes->CountAndIsSmall("account", "batch"));
  CHECK_FALSE(sizes->CountAndIsSmall("account", "interactive"));
}
