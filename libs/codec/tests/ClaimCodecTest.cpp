#include "amaranthwind/codec/ClaimCodec.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::codec;

TEST_CASE("a pulse round-trips")
{
  for (const bool isSettled : { false, true }) {
    const membership::LeaderPulse pulse{ base::FencingToken(12), isSettled };
    const auto decoded = DecodePulse(EncodePulse(pulse));
    REQUIRE(decoded.has_value());
    CHECK(decoded.value() == pulse);
  }
}

// Guards against a leader of another version that counts as silent.
TEST_CASE("pulses of other versions are understood")
{
  const membership::LeaderPulse pulse{ base::FencingToken(12), false };
  CHECK(DecodePulse("12").value() == pulse);
  CHECK(DecodePulse("12 other=3").value() == pulse);
  CHECK(EncodePulse(pulse) == "12");
  CHECK(DecodePulse("").has_error());
  CHECK(DecodePulse("x").has_error());
}
