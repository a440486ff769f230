#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/frontend/HttpMessage.h"
#include "amaranthwind/net/Address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include <string>
#include <string_view>

namespace amaranthwind::frontend {

using BeastRequest =
  boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse =
  boost::beast::http::response<boost::beast::http::string_body>;

inline std::string_view
ToView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

template<typename Fields>
std::vector<HttpHeader>
ToHeaders(const Fields& aFields)
{
  std::vector<HttpHeader> headers;
  for (const auto& field : aFields) {
    headers.push_back({ std::string(ToView(field.name_string())),
                        std::string(ToView(field.value())) });
  }
  return headers;
}

inline base::Result<boost::asio::ip::tcp::endpoint>
ToEndpoint(std::string_view aAddress)
{
  BOOST_OUTCOME_TRY(const auto address, net::ParseAddress(aAddress));
  return boost::asio::ip::tcp::endpoint(
    boost::asio::ip::make_address(address.ip), address.port);
}

} // namespace amaranthwind::frontend
