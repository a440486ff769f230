#include "amaranthwind/codec/ClaimCodec.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::codec;
using namespace std::chrono_literals;

TEST_CASE("a pulse round-trips")
{
  for (const bool isSettled : { false, true }) {
    for (const auto stalledFor : { 0ms, 340ms }) {
      const membership::LeaderPulse pulse{ base::FencingToken(12),
                                           isSettled,
                                           stalledFor };
      const auto decoded = DecodePulse(EncodePulse(pulse));
      REQUIRE(decoded.has_value());
      CHECK(decoded.value() == pulse);
    }
  }
}

// Guards against a leader of another version that counts as silent.
TEST_CASE("pulses of other versions are understood")
{
  const membership::LeaderPulse pulse{ base::FencingToken(12), false, 0ms };
  CHECK(DecodePulse("12").value() == pulse);
  CHECK(DecodePulse("12 other=3").value() == pulse);
  CHECK(EncodePulse(pulse) == "12");
  CHECK(DecodePulse("").has_error());
  CHECK(DecodePulse("x").has_error());
  CHECK(DecodePulse("12 stalledMs=").has_error());
}
