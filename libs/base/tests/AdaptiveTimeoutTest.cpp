#include "amaranthwind/base/AdaptiveTimeout.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace std::chrono_literals;

TEST_CASE("the limit follows the response time within its bounds")
{
  base::AdaptiveTimeout timeout(700ms, 3s);
  CHECK(timeout.Limit() == 700ms);
  timeout.OnResponse(4ms);
  CHECK(timeout.Limit() == 700ms);
  timeout.OnResponse(500ms);
  CHECK(timeout.Limit() == 1500ms);
  timeout.OnResponse(20s);
  CHECK(timeout.Limit() == 3s);
}

TEST_CASE("the limit returns to its minimum once responses are fast again")
{
  base::AdaptiveTimeout timeout(700ms, 3s);
  timeout.OnResponse(1500ms);
  for (int i = 0; i < 5; ++i) {
    timeout.OnResponse(4ms);
  }
  CHECK(timeout.Limit() == 700ms);
}
