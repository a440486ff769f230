#pragma once

// Includes Asio; for source files only.

#include "amaranthwind/base/Result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace amaranthwind::net {

/** The endpoint of "IP:port". Error: Malformed. */
base::Result<boost::asio::ip::tcp::endpoint>
ToEndpoint(std::string_view aAddress);

/** A listening socket and the address that it got. */
struct Listening
{
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  std::string address;
};

/**
 * Listens on "IP:port"; port 0 takes a free one. Errors: Malformed (address),
 * ConnectFailed (the system's reason).
 */
base::Result<Listening>
ListenOn(boost::asio::io_context& aContext, std::string_view aAddress);

} // namespace amaranthwind::net
