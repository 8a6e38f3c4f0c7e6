// Metrics in the Prometheus text format: histograms by Boost.Histogram, sums
// by Boost.Accumulators.
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

// Upper bounds in seconds, from a local hop to the longest generation.
const std::vector<double> kBounds = {0.0,   0.001, 0.0025, 0.005, 0.01,
                                     0.025, 0.05,  0.1,    0.25,  0.5,
                                     1.0,   2.5,   5.0,    10.0,  30.0};
constexpr const char* kPrefix = "bambooquay_";

/// A metric's name and its labels without braces.
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
  LatencyHistogram buckets = bh::make_histogram(bh::axis::variable<>(kBounds));
  SumAccumulator sums;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Increment(const std::string& name, double amount) {
  m_counters[name] += amount;
}

void Metrics::SetGauge(const std::string& name, std::function<double()> read) {
  m_gauges[name] = std::move(read);
}

void Metrics::Observe(const std::string& name, Duration duration) {
  auto& histogram = m_histograms[name];
  if (histogram == nullptr) {
    histogram = std::make_unique<Histogram>();
  }
  histogram->buckets(ToSeconds(duration));
  histogram->sums(ToSeconds(duration));
}

double Metrics::Counter(const std::string& name) const {
  const auto found = m_counters.find(name);
  return found == m_counters.end() ? 0.0 : found->second;
}

void RegisterLogGauges(Metrics& metrics) {
  metrics.SetGauge("log_lines_not_written{reason=\"over_budget\"}", [] {
    return static_cast<double>(GetLogLosses().over_budget);
  });
  metrics.SetGauge("log_lines_not_written{reason=\"stalled\"}",
                   [] { return static_cast<double>(GetLogLosses().stalled); });
}

std::string Metrics::Render() const {
  std::ostringstream page;
  for (const auto& [name, value] : m_counters) {
    page << kPrefix << name << ' ' << value << '\n';
  }
  for (const auto& [name, read] : m_gauges) {
    page << kPrefix << name << ' ' << read() << '\n';
  }
  for (const auto& [full_name, histogram] : m_histograms) {
    const auto [name, labels] = SplitName(full_name);
    const std::string separator = labels.empty() ? "" : ",";
    const std::string braces =
        labels.empty() ? "" : "{" + std::string(labels) + "}";
    double below = 0.0;
    for (int i = 0; i + 1 < static_cast<int>(kBounds.size()); ++i) {
      below += histogram->buckets.at(i);
      page << kPrefix << name << "_bucket{" << labels << separator << "le=\""
           << kBounds[static_cast<std::size_t>(i) + 1] << "\"} " << below
           << '\n';
    }
    const auto count = acc::count(histogram->sums);
    page << kPrefix << name << "_bucket{" << labels << separator
         << "le=\"+Inf\"} " << count << '\n'
         << kPrefix << name << "_sum" << braces << ' '
         << acc::sum(histogram->sums) << '\n'
         << kPrefix << name << "_count" << braces << ' ' << count << '\n';
  }
  return page.str();
}

}  // namespace bambooquay
