#pragma once

#include "amaranthwind/base/Clock.h"

namespace amaranthwind::estimation {

/**
 * Log-normal distribution of the run time of a task on a worker of normal
 * speed.
 */
class RunTimePrediction
{
public:
  /**
   * @param aMedian Above 0.
   * @param aSpread Standard deviation of the natural logarithm, at least 0.
   */
  RunTimePrediction(base::Duration aMedian, double aSpread);

  base::Duration Median() const noexcept { return this->median; }
  double Spread() const noexcept { return this->spread; }
  /** Nine of ten runs are expected to be shorter. */
  base::Duration High() const;
  /** Median of the whole run time of a run that has lasted for aElapsed. */
  base::Duration MedianAfter(base::Duration aElapsed) const;

private:
  base::Duration median;
  double spread;
};

} // namespace amaranthwind::estimation
