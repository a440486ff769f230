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
  /** Path without the query. */
  std::string path = "/";
  /** What follows '?'. */
  std::string query;
  std::vector<HttpHeader> headers;
  std::string body;

  /** Value of the header, in any case of letters; empty if it is missing. */
  std::string_view Header(std::string_view aName) const noexcept;
  /** Value of a query parameter, not decoded; empty if it is missing. */
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
