// The servers and the load of a service, as an entry knows them.
#include "bambooquay/duties/server_load.h"

#include <algorithm>

namespace bambooquay {

CallRates CallRatesOf(
    const ServiceName& service,
    const std::map<DataCentreId, std::vector<ModelDemand>>& demand) {
  CallRates rates;
  for (const auto& [data_centre, models] : demand) {
    for (const ModelDemand& model : models) {
      if (model.service == service) {
        rates[data_centre] += model.requests_per_second;
      }
    }
  }
  return rates;
}

std::vector<DataCentreLoad> MeasureServers(
    const ServiceName& service, const UpstreamSet& upstreams,
    const std::optional<CallRates>& calls) {
  std::map<DataCentreId, DataCentreLoad> loads;
  for (const auto& [id, upstream] : upstreams.all()) {
    if (upstream.record.service != service || !upstream.listed) {
      continue;
    }
    DataCentreLoad& load = loads[upstream.record.data_centre];
    const bool is_usable = upstreams.IsUsable(upstream);
    if (!is_usable) {
      load.leaving +=
          upstream.record.draining ||
                  (upstream.report.has_value() && upstream.report->draining)
              ? 1
              : 0;
      continue;
    }
    ++load.serving;
    if (upstreams.HasFreshReport(upstream)) {
      ++load.reporting;
      load.running += upstream.report->running;
      load.waiting += upstream.report->waiting;
    }
  }
  if (calls.has_value()) {
    // Callers may also come to data centres without servers of the service.
    std::ranges::for_each(*calls, [&](const auto& item) { loads[item.first]; });
  }
  std::vector<DataCentreLoad> result;
  for (auto& [data_centre, load] : loads) {
    load.data_centre = data_centre;
    load.in_service =
        load.serving > 0 && !upstreams.IsDataCentreDisabled(data_centre);
    if (calls.has_value()) {
      const auto found = calls->find(data_centre);
      load.calls_per_second = found == calls->end() ? 0.0 : found->second;
    }
    result.push_back(load);
  }
  return result;
}

}  // namespace bambooquay
