#pragma once

#include "amaranthwind/base/Error.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/try.hpp>

#include <string_view>

namespace amaranthwind::base {

/** A value or an Error. Accessors are unchecked; call has_value() first. */
template<typename T>
using Result = boost::outcome_v2::
  basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

/** Makes a failure; aSubject names the field, record or peer concerned. */
inline auto
Fail(ErrorCode aCode, std::string_view aSubject = {})
{
  return boost::outcome_v2::failure(Error{ aCode, std::string(aSubject) });
}

} // namespace amaranthwind::base
