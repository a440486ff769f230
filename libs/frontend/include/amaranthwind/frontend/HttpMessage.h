#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::frontend {

struct HttpHeader
{
  std::string name;
  std::string value;
};

struct HttpRequest
{
  std::string method = "GET";
  /** Request path without the query string. */
  std::string path = "/";
  /** Query string without the leading '?'. */
  std::string query;
  std::vector<HttpHeader> headers;
  std::string body;

  /** Returns a header by case-insensitive name; empty if it is missing. */
  std::string_view Header(std::string_view aName) const noexcept;
  /** Returns a query parameter without percent-decoding; empty if missing. */
  std::string_view QueryValue(std::string_view aName) const noexcept;
};

struct HttpResponse
{
  std::uint16_t status = 200;
  std::string contentType = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
};

} // namespace amaranthwind::frontend
