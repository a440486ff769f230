#pragma once

#include "amaranthwind/base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthwind::net {

/** An IP address and a port. Host names are not resolved. */
struct Address
{
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const Address&) const = default;
};

/** Parses "IP:port" or "[IPv6]:port". Errors: Malformed (subject: the text). */
base::Result<Address>
ParseAddress(std::string_view aText);

/** Formats aAddress in the form that ParseAddress() accepts. */
std::string
ToString(const Address& aAddress);

} // namespace amaranthwind::net
