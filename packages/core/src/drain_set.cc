// Parses and writes the drain document.
#include "bambooquay/core/drain_set.h"

#include <nlohmann/json.hpp>

namespace bambooquay {
namespace {

using Json = nlohmann::json;

template <typename Id>
bool ReadIds(const Json& document, const char* name, std::set<Id>& ids) {
  if (!document.contains(name)) {
    return true;
  }
  for (const Json& item : document[name]) {
    if (!item.is_string()) {
      return false;
    }
    ids.emplace(item.get<std::string>());
  }
  return true;
}

template <typename Id>
Json WriteIds(const std::set<Id>& ids) {
  Json items = Json::array();
  for (const Id& id : ids) {
    items.push_back(id.value());
  }
  return items;
}

}  // namespace

std::optional<DrainSet> DrainSet::Parse(std::string_view json) {
  const Json document = Json::parse(json, nullptr, false);
  DrainSet drains;
  if (!document.is_object() ||
      !ReadIds(document, "data_centres", drains.data_centres) ||
      !ReadIds(document, "upstreams", drains.upstreams)) {
    return std::nullopt;
  }
  return drains;
}

std::string DrainSet::Serialize() const {
  return Json{{"data_centres", WriteIds(data_centres)},
              {"upstreams", WriteIds(upstreams)}}
      .dump();
}

bool DrainSet::IsDrained(const UpstreamId& upstream,
                         const DataCentreId& data_centre) const noexcept {
  return upstreams.contains(upstream) || data_centres.contains(data_centre);
}

}  // namespace bambooquay
