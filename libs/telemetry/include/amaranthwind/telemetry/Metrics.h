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

struct ShardedHistogram;

/**
 * Handle of a metric. Handles are cheap to copy, update without locking, and
 * are valid for the lifetime of the Metrics object that created them. A
 * default-constructed handle ignores updates. Thread-safe.
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
  /** Observes the duration in seconds. */
  void Observe(base::Duration aDuration) const noexcept;

private:
  friend class Metrics;
  explicit Histogram(ShardedHistogram& aHistogram)
    : histogram(&aHistogram)
  {
  }
  ShardedHistogram* histogram = nullptr;
};

struct MetricLabel
{
  std::string_view name;
  std::string_view value;
};

/** Metric name without the prefix "amaranthwind_", and its help text. */
struct MetricInfo
{
  std::string_view name;
  std::string_view help;
};

/**
 * Metrics registry of one process. Register metrics at startup or when a
 * snapshot is built, never on the request path, because registration takes a
 * lock. Registering the same name and labels again returns the same metric.
 *
 * A metric family has at most kMaxSeries label sets, which bounds the memory
 * used when accounts or kinds keep being added. Further label sets share one
 * series in which the value of every label is "other".
 *
 * An invalid name, or a name already registered with another type, is a
 * programming error; both throw std::invalid_argument.
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
   * @param aBounds Upper bounds of the buckets in increasing order, at most 24;
   *   an unbounded last bucket is added. Must be equal for all label sets of
   * one name.
   */
  Histogram MakeHistogram(const MetricInfo& aInfo,
                          std::span<const double> aBounds,
                          std::span<const MetricLabel> aLabels = {});

  /** Renders all metrics in the Prometheus text format. */
  std::string Render() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::telemetry
