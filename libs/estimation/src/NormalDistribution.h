#pragma once

#include <boost/math/distributions/normal.hpp>

namespace amaranthwind::estimation {

/**
 * Computes in double: the default promotes to long double, which arm64 emulates
 * in software.
 */
using Normal = boost::math::normal_distribution<
  double,
  boost::math::policies::policy<boost::math::policies::promote_double<false>>>;

} // namespace amaranthwind::estimation
