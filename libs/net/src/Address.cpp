#include "amaranthwind/net/Address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace amaranthwind::net {

namespace {

/** Strips the brackets around an IPv6 address. */
std::string_view
StripBrackets(std::string_view aIp)
{
  if (aIp.size() >= 2 && aIp.front() == '[' && aIp.back() == ']') {
    return aIp.substr(1, aIp.size() - 2);
  }
  return aIp;
}

} // namespace

base::Result<Address>
ParseAddress(std::string_view aText)
{
  const auto malformed = [&] {
    return base::Fail(base::ErrorCode::Malformed, aText);
  };
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return malformed();
  }
  const std::string_view portText = aText.substr(colon + 1);
  Address address;
  const auto parsed = std::from_chars(
    portText.data(), portText.data() + portText.size(), address.port);
  if (parsed.ec != std::errc{} ||
      parsed.ptr != portText.data() + portText.size()) {
    return malformed();
  }
  address.ip = StripBrackets(aText.substr(0, colon));
  boost::system::error_code error;
  boost::asio::ip::make_address(address.ip, error);
  if (error) {
    return malformed();
  }
  return address;
}

std::string
ToString(const Address& aAddress)
{
  const bool isIpv6 = aAddress.ip.find(':') != std::string::npos;
  const std::string host = isIpv6 ? "[" + aAddress.ip + "]" : aAddress.ip;
  return host + ":" + std::to_string(aAddress.port);
}

} // namespace amaranthwind::net
