#include "amaranthwind/net/ConnectionUse.h"

#include <doctest/doctest.h>

#include <vector>

using namespace amaranthwind::net;

// Guards against closing connections of ordinary clients while others hold
// large requests that they do not complete, or nothing but a connection.
TEST_CASE("the connection without a complete request for longest is closed")
{
  // The first ones send requests, the others have opened connections since.
  std::vector<ConnectionUse> uses{ { 90, 0, false }, { 80, 500, true } };
  for (std::uint64_t i = 0; i < 6; ++i) {
    uses.push_back({ 10 + i, i % 2 * 4096, false });
  }
  CHECK(ChooseToClose(uses, Shortage::Connections) == 2);
  CHECK(ChooseToClose(uses, Shortage::BufferedBytes) == 3);
  // With all of the crowd gone, the one that was idle for longest.
  uses.resize(2);
  CHECK(ChooseToClose(uses, Shortage::Connections) == 0);
  CHECK_FALSE(ChooseToClose(uses, Shortage::BufferedBytes).has_value());
  // A request that is being handled is answered.
  uses.erase(uses.begin());
  CHECK_FALSE(ChooseToClose(uses, Shortage::Connections).has_value());
  CHECK_FALSE(ChooseToClose({}, Shortage::Connections).has_value());
}
