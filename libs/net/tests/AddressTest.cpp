#include "amaranthwind/net/Address.h"

#include <doctest/doctest.h>

#include <string_view>

using namespace amaranthwind;

// Guards against accepting a mistyped address in the settings.
TEST_CASE("only an IP address with a port is accepted")
{
  for (const std::string_view text :
       { "127.0.0.1:80", "[::1]:65535", "10.0.0.1:0" }) {
    CAPTURE(text);
    const auto address = net::ParseAddress(text);
    REQUIRE(address.has_value());
    CHECK(net::ToString(address.value()) == text);
  }
  for (const std::string_view text : { "",
                                       "127.0.0.1",
                                       "host:80",
                                       "127.0.0.1:",
                                       "127.0.0.1:65536",
                                       "127.0.0.1:8x",
                                       "127.0.0.1:-1",
                                       ":80" }) {
    CAPTURE(text);
    const auto address = net::ParseAddress(text);
    REQUIRE(address.has_error());
    CHECK(address.error().code == base::ErrorCode::Malformed);
  }
}
