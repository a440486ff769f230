#include "amaranthwind/telemetry/Metrics.h"

#include "HistogramCells.h"

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
constexpr std::string_view kOther = "other";

using Labels = std::map<std::string, std::string>;

/** All series of one histogram; hands its counts out at collection. */
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

  /** Returns the series that is there, or else takes aCells. */
  HistogramCells& Add(const Labels& aLabels,
                      std::unique_ptr<HistogramCells> aCells)
  {
    return *this->series.try_emplace(aLabels, std::move(aCells)).first->second;
  }

  std::vector<prometheus::MetricFamily> Collect() const override
  {
    prometheus::MetricFamily family{
      this->name, this->help, prometheus::MetricType::Histogram, {}
    };
    for (const auto& [labels, cells] : this->series) {
      prometheus::ClientMetric& metric = family.metric.emplace_back();
      for (const auto& [label, value] : labels) {
        metric.label.push_back({ label, value });
      }
      metric.histogram = cells->Collect();
    }
    return { std::move(family) };
  }

private:
  std::string name;
  std::string help;
  std::map<Labels, std::unique_ptr<HistogramCells>> series;
};

template<typename T>
struct ScalarFamily
{
  prometheus::Family<T>* family = nullptr;
  std::size_t series = 0;
};

} // namespace

struct Metrics::Impl
{
  mutable std::mutex mutex;
  prometheus::Registry registry;
  std::map<std::string, ScalarFamily<prometheus::Counter>> counters;
  std::map<std::string, ScalarFamily<prometheus::Gauge>> gauges;
  std::map<std::string, HistogramFamily> histograms;

  /** The full name; throws if it is not valid for a new metric of one type. */
  std::string CheckedName(const MetricInfo& aInfo,
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
      throw std::invalid_argument("metric name " + name);
    }
    return name;
  }

  static Labels CheckedLabels(std::span<const MetricLabel> aLabels)
  {
    Labels labels;
    for (const MetricLabel& label : aLabels) {
      std::string name(label.name);
      if (name == "le" || !prometheus::CheckLabelName(name)) {
        throw std::invalid_argument("label name " + name);
      }
      labels.emplace(std::move(name), label.value);
    }
    return labels;
  }

  /** The labels to use in a family that already has aSeries sets of them. */
  static Labels Limit(Labels aLabels, bool aIsKnown, std::size_t aSeries)
  {
    if (!aIsKnown && aSeries >= kMaxSeries) {
      for (auto& [name, value] : aLabels) {
        value = kOther;
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
      Limit(aLabels, aFamily.family->Has(aLabels), aFamily.series);
    if (!aFamily.family->Has(labels)) {
      ++aFamily.series;
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
  if (this->cells != nullptr) {
    this->cells->Observe(aValue);
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
  const Labels labels = Impl::CheckedLabels(aLabels);
  const std::string name = this->impl->CheckedName(aInfo, true, false, false);
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
  const Labels labels = Impl::CheckedLabels(aLabels);
  const std::string name = this->impl->CheckedName(aInfo, false, true, false);
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
  const Labels wanted = Impl::CheckedLabels(aLabels);
  const std::string name = this->impl->CheckedName(aInfo, false, false, true);
  // Throws before a family is made that has no series.
  auto cells = std::make_unique<HistogramCells>(aBounds);
  HistogramFamily& family =
    this->impl->histograms.try_emplace(name, name, aInfo.help).first->second;
  const Labels labels = Impl::Limit(wanted, family.Has(wanted), family.Size());
  return Histogram(family.Add(labels, std::move(cells)));
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
