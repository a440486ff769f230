#pragma once

#include "amaranthwind/frontend/HttpMessage.h"

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

} // namespace amaranthwind::frontend
