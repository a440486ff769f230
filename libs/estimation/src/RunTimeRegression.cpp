#include "RunTimeRegression.h"

#include <algorithm>
#include <cmath>

namespace amaranthwind::estimation {

namespace {

/** Weight of the evidence after many observations of weight 1. */
constexpr double kMemory = 60;
/** Weight of the prior, as a number of observations. */
constexpr double kPriorWeight = 4;
/**
 * Variance of x that the prior of the slope stands for: callers' estimates of
 * one kind of work usually differ by a factor of about 1.4.
 */
constexpr double kPriorVarianceX = 0.12;
/** Limits of restored moments, far beyond those of real evidence. */
constexpr double kMaxSeconds = 1e8;
constexpr double kMinSeconds = 1e-3;
constexpr double kMaxVariance = 100;

base::Duration
ToDuration(double aLogSeconds)
{
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(
      std::clamp(std::exp(aLogSeconds), kMinSeconds, kMaxSeconds)));
}

double
ToLogSeconds(base::Duration aDuration)
{
  return std::log(std::clamp(std::chrono::duration<double>(aDuration).count(),
                             kMinSeconds,
                             kMaxSeconds));
}

} // namespace

void
RunTimeRegression::Add(double aX, double aY, double aWeight) noexcept
{
  const double keep = 1 - std::min(aWeight / kMemory, 1.0);
  this->weight *= keep;
  this->sumXX *= keep;
  this->sumXY *= keep;
  this->sumYY *= keep;
  // Update of weighted means and moments by West (CACM 22, 1979).
  const double total = this->weight + aWeight;
  const double dx = aX - this->meanX;
  const double dy = aY - this->meanY;
  const double part = aWeight / total;
  this->sumXX += this->weight * part * dx * dx;
  this->sumXY += this->weight * part * dx * dy;
  this->sumYY += this->weight * part * dy * dy;
  this->meanX += part * dx;
  this->meanY += part * dy;
  this->weight = total;
}

RegressionLine
RunTimeRegression::Fit(const RegressionLine& aPrior) const noexcept
{
  if (this->weight <= 0) {
    return aPrior;
  }
  RegressionLine line;
  line.centre = this->meanX;
  const double total = this->weight + kPriorWeight;
  line.level =
    (this->weight * this->meanY + kPriorWeight * aPrior.At(this->meanX)) /
    total;
  const double slopeWeight = kPriorWeight * kPriorVarianceX;
  line.slope = std::clamp((this->sumXY + slopeWeight * aPrior.slope) /
                            (this->sumXX + slopeWeight),
                          0.0,
                          1.5);
  const double bias = this->meanY - line.level;
  const double residuals = std::max(0.0,
                                    this->sumYY - 2 * line.slope * this->sumXY +
                                      line.slope * line.slope * this->sumXX +
                                      this->weight * bias * bias);
  line.spread = std::sqrt(
    (residuals + kPriorWeight * aPrior.spread * aPrior.spread) / total);
  return line;
}

WorkloadSummary
RunTimeRegression::Summarize(const WorkloadKey& aWorkload) const
{
  WorkloadSummary summary;
  summary.workload = aWorkload;
  summary.weight = this->weight;
  summary.estimate = ToDuration(this->meanX);
  summary.runTime = ToDuration(this->meanY);
  if (this->weight > 0) {
    summary.estimateVariance = this->sumXX / this->weight;
    summary.runTimeVariance = this->sumYY / this->weight;
  }
  const double scale = std::sqrt(this->sumXX * this->sumYY);
  if (scale > 0) {
    summary.correlation = std::clamp(this->sumXY / scale, -1.0, 1.0);
  }
  return summary;
}

void
RunTimeRegression::Restore(const WorkloadSummary& aSummary)
{
  this->weight = std::clamp(aSummary.weight, 0.0, kMemory);
  this->meanX = ToLogSeconds(aSummary.estimate);
  this->meanY = ToLogSeconds(aSummary.runTime);
  this->sumXX =
    this->weight * std::clamp(aSummary.estimateVariance, 0.0, kMaxVariance);
  this->sumYY =
    this->weight * std::clamp(aSummary.runTimeVariance, 0.0, kMaxVariance);
  this->sumXY = std::clamp(aSummary.correlation, -1.0, 1.0) *
                std::sqrt(this->sumXX * this->sumYY);
}

} // namespace amaranthwind::estimation
