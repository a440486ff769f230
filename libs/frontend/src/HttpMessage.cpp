#include "amaranthwind/frontend/HttpMessage.h"

#include <algorithm>
#include <cctype>

namespace amaranthwind::frontend {

namespace {

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight) noexcept
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char aA, unsigned char aB) {
                      return std::tolower(aA) == std::tolower(aB);
                    });
}

} // namespace

std::string_view
HttpRequest::Header(std::string_view aName) const noexcept
{
  for (const auto& header : this->headers) {
    if (EqualIgnoringCase(header.name, aName)) {
      return header.value;
    }
  }
  return {};
}

std::string_view
HttpRequest::QueryValue(std::string_view aName) const noexcept
{
  std::string_view rest = this->query;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == aName) {
      return pair.substr(std::min(equals + 1, pair.size()));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

} // namespace amaranthwind::frontend
