#pragma once

#include "amaranthwind/estimation/LearnedSummary.h"

namespace amaranthwind::estimation {

/** A line with the standard deviation of what is around it. */
struct RegressionLine
{
  /** The line passes through (centre, level). */
  double centre = 0;
  double level = 0;
  double slope = 1;
  double spread = 0;

  double At(double aX) const noexcept
  {
    return this->level + this->slope * (aX - this->centre);
  }
};

/**
 * Weighted linear regression of y on x with exponentially decaying evidence.
 * Keeps sums only.
 */
class RunTimeRegression
{
public:
  void Add(double aX, double aY, double aWeight) noexcept;
  /**
   * The line that fits the evidence and the prior line, which counts as much as
   * some observations.
   */
  RegressionLine Fit(const RegressionLine& aPrior) const noexcept;
  double Weight() const noexcept { return this->weight; }
  /** Mean of x over the evidence; needs a weight above 0. */
  double MeanX() const noexcept { return this->meanX; }
  /** The moments; x and y are logarithms of seconds. */
  WorkloadSummary Summarize(const WorkloadKey& aWorkload) const;
  void Restore(const WorkloadSummary& aSummary);

private:
  double weight = 0;
  double meanX = 0;
  double meanY = 0;
  /** Weighted sums of squared and mixed deviations from the means. */
  double sumXX = 0;
  double sumXY = 0;
  double sumYY = 0;
};

} // namespace amaranthwind::estimation
