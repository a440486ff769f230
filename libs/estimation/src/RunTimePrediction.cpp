#include "amaranthwind/estimation/RunTimePrediction.h"

#include "NormalDistribution.h"

#include <algorithm>
#include <cmath>

namespace amaranthwind::estimation {

namespace {

constexpr double kHighQuantile = 0.9;
/** Keeps quantiles finite for runs that have lasted far too long. */
constexpr double kMinTail = 1e-6;
/** A spread of 0 would make each overdue run infinitely unlikely. */
constexpr double kMinSpread = 0.02;
/** Limit of predictions, which keeps sums of several within base::Duration. */
constexpr base::Duration kMaxRunTime = std::chrono::hours(24 * 366);

double
ToSeconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

base::Duration
ToDuration(double aSeconds)
{
  return aSeconds >= ToSeconds(kMaxRunTime)
           ? kMaxRunTime
           : std::chrono::duration_cast<base::Duration>(
               std::chrono::duration<double>(aSeconds));
}

} // namespace

RunTimePrediction::RunTimePrediction(base::Duration aMedian, double aSpread)
  : median(std::clamp<base::Duration>(aMedian,
                                      std::chrono::milliseconds(1),
                                      kMaxRunTime))
  , spread(std::max(aSpread, kMinSpread))
{
}

base::Duration
RunTimePrediction::High() const
{
  const double z = boost::math::quantile(Normal(), kHighQuantile);
  return ToDuration(ToSeconds(this->median) * std::exp(z * this->spread));
}

base::Duration
RunTimePrediction::MedianAfter(base::Duration aElapsed) const
{
  if (aElapsed <= base::Duration::zero()) {
    return this->median;
  }
  const Normal normal;
  const double z =
    std::log(ToSeconds(aElapsed) / ToSeconds(this->median)) / this->spread;
  const double tail = std::max(
    boost::math::cdf(boost::math::complement(normal, z)) / 2, kMinTail);
  const double after =
    boost::math::quantile(boost::math::complement(normal, tail));
  return std::max(
    aElapsed,
    ToDuration(ToSeconds(this->median) * std::exp(after * this->spread)));
}

} // namespace amaranthwind::estimation
