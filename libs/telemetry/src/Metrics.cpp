#include "amaranthwind/telemetry/Metrics.h"

#include "ShardedHistogram.h"

#include <prometheus/check_names.h>
#include <prometheus/collectable.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/metric_family.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

namespace amaranthwind::telemetry {

namespace {

constexpr std::string_view kPrefix = "amaranthwind_";
constexpr std::string_view kOverflowLabelValue = "other";

using Labels = std::map<std::string, std::string>;

/** All series of one histogram, exposed to Prometheus by Collect(). */
class HistogramFamily final : public prometheus::Collectable
{
public:
  HistogramFamily(std::string aName, std::string_view aHelp)
    : name(std::move(aName))
    , help(aHelp)
  {
  }

  bool Has(const Labels& aLabels) const
  {
    return this->series.contains(aLabels);
  }
  std::size_t Size() const { return this->series.size(); }

  /** Returns the existing series for aLabels, or inserts aHistogram. */
  ShardedHistogram& Add(const Labels& aLabels,
                        std::unique_ptr<ShardedHistogram> aHistogram)
  {
    return *this->series.try_emplace(aLabels, std::move(aHistogram))
              .first->second;
  }

  std::vector<prometheus::MetricFamily> Collect() const override
  {
    prometheus::MetricFamily family{
      this->name, this->help, prometheus::MetricType::Histogram, {}
    };
    for (const auto& [labels, histogram] : this->series) {
      prometheus::ClientMetric& metric = family.metric.emplace_back();
      for (const auto& [label, value] : labels) {
        metric.label.push_back({ label, value });
      }
      metric.histogram = histogram->Collect();
    }
    return { std::move(family) };
  }

private:
  std::string name;
  std::string help;
  std::map<Labels, std::unique_ptr<ShardedHistogram>> series;
};

template<typename T>
struct ScalarFamily
{
  prometheus::Family<T>* family = nullptr;
  std::size_t seriesCount = 0;
};

} // namespace

struct Metrics::Impl
{
  mutable std::mutex mutex;
  prometheus::Registry registry;
  std::map<std::string, ScalarFamily<prometheus::Counter>> counters;
  std::map<std::string, ScalarFamily<prometheus::Gauge>> gauges;
  std::map<std::string, HistogramFamily> histograms;

  /** Returns the full name; throws if it is invalid or has another type. */
  std::string ValidateName(const MetricInfo& aInfo,
                           bool aIsCounter,
                           bool aIsGauge,
                           bool aIsHistogram) const
  {
    std::string name(kPrefix);
    name += aInfo.name;
    const bool isTaken = (!aIsCounter && this->counters.contains(name)) ||
                         (!aIsGauge && this->gauges.contains(name)) ||
                         (!aIsHistogram && this->histograms.contains(name));
    if (isTaken || !prometheus::CheckMetricName(name)) {
      throw std::invalid_argument(
        "invalid metric name, or registered with another type: " + name);
    }
    return name;
  }

  static Labels ValidateLabels(std::span<const MetricLabel> aLabels)
  {
    Labels labels;
    for (const MetricLabel& label : aLabels) {
      std::string name(label.name);
      if (name == "le" || !prometheus::CheckLabelName(name)) {
        throw std::invalid_argument("invalid label name: " + name);
      }
      labels.emplace(std::move(name), label.value);
    }
    return labels;
  }

  /** Replaces the labels of a new series once the family has kMaxSeries. */
  static Labels LimitLabels(Labels aLabels,
                            bool aIsKnown,
                            std::size_t aSeriesCount)
  {
    if (!aIsKnown && aSeriesCount >= kMaxSeries) {
      for (auto& [name, value] : aLabels) {
        value = kOverflowLabelValue;
      }
    }
    return aLabels;
  }

  template<typename T, typename Builder>
  static T& AddScalar(ScalarFamily<T>& aFamily,
                      Builder aBuilder,
                      prometheus::Registry& aRegistry,
                      const std::string& aName,
                      const MetricInfo& aInfo,
                      const Labels& aLabels)
  {
    if (aFamily.family == nullptr) {
      aFamily.family =
        &aBuilder.Name(aName).Help(std::string(aInfo.help)).Register(aRegistry);
    }
    const Labels labels =
      LimitLabels(aLabels, aFamily.family->Has(aLabels), aFamily.seriesCount);
    if (!aFamily.family->Has(labels)) {
      ++aFamily.seriesCount;
    }
    return aFamily.family->Add(labels);
  }
};

void
Counter::Increment(double aBy) const noexcept
{
  if (this->counter != nullptr) {
    this->counter->Increment(aBy);
  }
}

void
Gauge::Set(double aValue) const noexcept
{
  if (this->gauge != nullptr) {
    this->gauge->Set(aValue);
  }
}

void
Gauge::Add(double aBy) const noexcept
{
  if (this->gauge != nullptr) {
    this->gauge->Increment(aBy);
  }
}

void
Histogram::Observe(double aValue) const noexcept
{
  if (this->histogram != nullptr) {
    this->histogram->Observe(aValue);
  }
}

void
Histogram::Observe(base::Duration aDuration) const noexcept
{
  this->Observe(std::chrono::duration<double>(aDuration).count());
}

Metrics::Metrics()
  : impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

Counter
Metrics::MakeCounter(const MetricInfo& aInfo,
                     std::span<const MetricLabel> aLabels)
{
  std::lock_guard lock(this->impl->mutex);
  const Labels labels = Impl::ValidateLabels(aLabels);
  const std::string name = this->impl->ValidateName(aInfo, true, false, false);
  return Counter(Impl::AddScalar(this->impl->counters[name],
                                 prometheus::BuildCounter(),
                                 this->impl->registry,
                                 name,
                                 aInfo,
                                 labels));
}

Gauge
Metrics::MakeGauge(const MetricInfo& aInfo,
                   std::span<const MetricLabel> aLabels)
{
  std::lock_guard lock(this->impl->mutex);
  const Labels labels = Impl::ValidateLabels(aLabels);
  const std::string name = this->impl->ValidateName(aInfo, false, true, false);
  return Gauge(Impl::AddScalar(this->impl->gauges[name],
                               prometheus::BuildGauge(),
                               this->impl->registry,
                               name,
                               aInfo,
                               labels));
}

Histogram
Metrics::MakeHistogram(const MetricInfo& aInfo,
                       std::span<const double> aBounds,
                       std::span<const MetricLabel> aLabels)
{
  std::lock_guard lock(this->impl->mutex);
  const Labels wanted = Impl::ValidateLabels(aLabels);
  const std::string name = this->impl->ValidateName(aInfo, false, false, true);
  // Throws on invalid bounds before a family without series is created.
  auto histogram = std::make_unique<ShardedHistogram>(aBounds);
  HistogramFamily& family =
    this->impl->histograms.try_emplace(name, name, aInfo.help).first->second;
  const Labels labels =
    Impl::LimitLabels(wanted, family.Has(wanted), family.Size());
  return Histogram(family.Add(labels, std::move(histogram)));
}

std::string
Metrics::Render() const
{
  std::vector<prometheus::MetricFamily> families =
    this->impl->registry.Collect();
  {
    std::lock_guard lock(this->impl->mutex);
    for (const auto& [name, family] : this->impl->histograms) {
      for (prometheus::MetricFamily& collected : family.Collect()) {
        families.push_back(std::move(collected));
      }
    }
  }
  std::sort(families.begin(),
            families.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.name < aRight.name;
            });
  return prometheus::TextSerializer().Serialize(families);
}

} // namespace amaranthwind::telemetry
