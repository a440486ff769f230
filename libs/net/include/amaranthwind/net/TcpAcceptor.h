#pragma once

// Include from source files only, since it pulls in Asio.

#include "amaranthwind/base/Result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace amaranthwind::net {

/** Parses "IP:port" to an endpoint. Errors: Malformed. */
base::Result<boost::asio::ip::tcp::endpoint>
ToEndpoint(std::string_view aAddress);

/** A listening socket and its bound address. */
struct BoundAcceptor
{
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  std::string address;
};

/**
 * Listens on "IP:port"; port 0 selects a free port. Errors: Malformed
 * (address), ConnectFailed (operating system error).
 */
base::Result<BoundAcceptor>
ListenOn(boost::asio::io_context& aContext, std::string_view aAddress);

} // namespace amaranthwind::net
