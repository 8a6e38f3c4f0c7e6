// Metrics in the Prometheus text format. Histograms use Boost.Histogram and
// Boost.Accumulators.
#include "bambooquay/runtime/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

namespace acc = boost::accumulators;
namespace bh = boost::histogram;

using SumAccumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;
using LatencyHistogram =
    decltype(bh::make_histogram(bh::axis::variable<>(std::vector<double>{})));

// Bucket bounds in seconds, from a local network hop to the longest generation.
// The first one is the lower bound of the first bucket.
const std::vector<double> kBucketBoundsSeconds = {
    0.0,  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.25, 0.5,   1.0,    2.5,   5.0,  10.0,  30.0};
constexpr const char* kPrefix = "bambooquay_";

/// The name of a metric and its labels, without the braces.
struct LabelledName {
  std::string_view name;
  std::string_view labels;
};

LabelledName SplitName(std::string_view name) {
  const auto brace = name.find('{');
  if (brace == std::string_view::npos) {
    return {name, {}};
  }
  return {name.substr(0, brace),
          name.substr(brace + 1, name.size() - brace - 2)};
}

}  // namespace

struct Metrics::Histogram {
  LatencyHistogram buckets =
      bh::make_histogram(bh::axis::variable<>(kBucketBoundsSeconds));
  SumAccumulator totals;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Increment(const std::string& name, double amount) {
  m_counters[name] += amount;
}

void Metrics::RegisterGauge(const std::string& name,
                            std::function<double()> read) {
  m_gauges[name] = std::move(read);
}

void Metrics::Observe(const std::string& name, Duration duration) {
  auto& histogram = m_histograms[name];
  if (histogram == nullptr) {
    histogram = std::make_unique<Histogram>();
  }
  histogram->buckets(ToSeconds(duration));
  histogram->totals(ToSeconds(duration));
}

double Metrics::Counter(const std::string& name) const {
  const auto counter = m_counters.find(name);
  return counter == m_counters.end() ? 0.0 : counter->second;
}

void RegisterLogGauges(Metrics& metrics) {
  metrics.RegisterGauge("log_lines_not_written{reason=\"over_budget\"}", [] {
    return static_cast<double>(GetDroppedLogLines().rate_limited);
  });
  metrics.RegisterGauge("log_lines_not_written{reason=\"stalled\"}", [] {
    return static_cast<double>(GetDroppedLogLines().buffer_full);
  });
}

std::string Metrics::Render() const {
  std::ostringstream output;
  for (const auto& [name, value] : m_counters) {
    output << kPrefix << name << ' ' << value << '\n';
  }
  for (const auto& [name, read] : m_gauges) {
    output << kPrefix << name << ' ' << read() << '\n';
  }
  for (const auto& [full_name, histogram] : m_histograms) {
    const auto [name, labels] = SplitName(full_name);
    const std::string separator = labels.empty() ? "" : ",";
    const std::string braces =
        labels.empty() ? "" : "{" + std::string(labels) + "}";
    double cumulative_count = 0.0;
    for (int i = 0; i + 1 < static_cast<int>(kBucketBoundsSeconds.size());
         ++i) {
      cumulative_count += histogram->buckets.at(i);
      output << kPrefix << name << "_bucket{" << labels << separator << "le=\""
             << kBucketBoundsSeconds[static_cast<std::size_t>(i) + 1] << "\"} "
             << cumulative_count << '\n';
    }
    const auto count = acc::count(histogram->totals);
    output << kPrefix << name << "_bucket{" << labels << separator
           << "le=\"+Inf\"} " << count << '\n'
           << kPrefix << name << "_sum" << braces << ' '
           << acc::sum(histogram->totals) << '\n'
           << kPrefix << name << "_count" << braces << ' ' << count << '\n';
  }
  return output.str();
}

}  // namespace bambooquay
