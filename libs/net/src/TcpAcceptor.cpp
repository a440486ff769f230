#include "amaranthwind/net/TcpAcceptor.h"

#include "amaranthwind/net/Address.h"

#include <utility>

namespace amaranthwind::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** Opens, binds and listens; returns the first error. */
boost::system::error_code
OpenAndListen(tcp::acceptor& aAcceptor, const tcp::endpoint& aEndpoint)
{
  boost::system::error_code error;
  aAcceptor.open(aEndpoint.protocol(), error);
  if (!error) {
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(aEndpoint, error);
  }
  if (!error) {
    aAcceptor.listen(tcp::acceptor::max_listen_connections, error);
  }
  return error;
}

} // namespace

base::Result<tcp::endpoint>
ToEndpoint(std::string_view aAddress)
{
  BOOST_OUTCOME_TRY(const auto address, ParseAddress(aAddress));
  return tcp::endpoint(asio::ip::make_address(address.ip), address.port);
}

base::Result<BoundAcceptor>
ListenOn(asio::io_context& aContext, std::string_view aAddress)
{
  BOOST_OUTCOME_TRY(const auto endpoint, ToEndpoint(aAddress));
  auto acceptor = std::make_unique<tcp::acceptor>(aContext);
  if (const auto error = OpenAndListen(*acceptor, endpoint)) {
    return base::Fail(base::ErrorCode::ConnectFailed,
                      std::string(aAddress) + ": " + error.message());
  }
  const auto bound = acceptor->local_endpoint();
  return BoundAcceptor{
    std::move(acceptor), ToString({ bound.address().to_string(), bound.port() })
  };
}

} // namespace amaranthwind::net
