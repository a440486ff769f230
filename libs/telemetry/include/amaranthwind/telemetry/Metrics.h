#pragma once

#include "amaranthwind/base/Clock.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace prometheus {
class Counter;
class Gauge;
}

namespace amaranthwind::telemetry {

struct HistogramCells;

/**
 * Handle of a metric. Handles are copied freely, update without a lock, and
 * stay valid as long as the Metrics that made them. A default-constructed
 * handle ignores updates. Thread-safe.
 */
class Counter
{
public:
  Counter() = default;
  void Increment(double aBy = 1) const noexcept;

private:
  friend class Metrics;
  explicit Counter(prometheus::Counter& aCounter)
    : counter(&aCounter)
  {
  }
  prometheus::Counter* counter = nullptr;
};

/** See Counter. */
class Gauge
{
public:
  Gauge() = default;
  void Set(double aValue) const noexcept;
  /** aBy may be negative. */
  void Add(double aBy) const noexcept;

private:
  friend class Metrics;
  explicit Gauge(prometheus::Gauge& aGauge)
    : gauge(&aGauge)
  {
  }
  prometheus::Gauge* gauge = nullptr;
};

/** See Counter. */
class Histogram
{
public:
  Histogram() = default;
  void Observe(double aValue) const noexcept;
  /** Observes seconds. */
  void Observe(base::Duration aDuration) const noexcept;

private:
  friend class Metrics;
  explicit Histogram(HistogramCells& aCells)
    : cells(&aCells)
  {
  }
  HistogramCells* cells = nullptr;
};

struct MetricLabel
{
  std::string_view name;
  std::string_view value;
};

/** Name without the prefix "amaranthwind_", and a help text. */
struct MetricInfo
{
  std::string_view name;
  std::string_view help;
};

/**
 * The metrics of one process. Register at the start or when a snapshot is
 * built, never on the path of a request: registering takes a lock. Registering
 * the same name and labels again gives the same metric.
 *
 * A family has at most kMaxSeries sets of labels, so that a stream of new
 * accounts or kinds cannot fill the memory. Further sets share one series in
 * which the value of every label is "other".
 *
 * An invalid name or a name that is registered with another type is an error
 * of the program; both throw std::invalid_argument.
 */
class Metrics
{
public:
  static constexpr std::size_t kMaxSeries = 512;

  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  Counter MakeCounter(const MetricInfo& aInfo,
                      std::span<const MetricLabel> aLabels = {});
  Gauge MakeGauge(const MetricInfo& aInfo,
                  std::span<const MetricLabel> aLabels = {});
  /**
   * @param aBounds Upper bounds of the buckets in rising order, at most 24; a
   *   last bucket without a bound is added. Equal for all labels of one name.
   */
  Histogram MakeHistogram(const MetricInfo& aInfo,
                          std::span<const double> aBounds,
                          std::span<const MetricLabel> aLabels = {});

  /** All metrics in the Prometheus text format. */
  std::string Render() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::telemetry
