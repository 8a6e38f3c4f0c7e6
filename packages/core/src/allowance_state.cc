// Parses and writes the allowance document, and assigns shares to members.
#include "bambooquay/core/allowance_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "bambooquay/core/random.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kHoldersPerOrganisation = 5;
constexpr const char* kFencingName = "fencing";
constexpr const char* kActiveName = "active";

}  // namespace

std::optional<AllowanceState> AllowanceState::Parse(std::string_view json) {
  const Json document = Json::parse(json, nullptr, false);
  if (!document.is_object() || !document.contains("epoch") ||
      !document["epoch"].is_number_unsigned() ||
      !document.contains("members") || !document["members"].is_array()) {
    return std::nullopt;
  }
  AllowanceState state;
  state.epoch = document["epoch"].get<std::uint64_t>();
  state.phase = document.value("phase", kFencingName) == kActiveName
                    ? AllowancePhase::kActive
                    : AllowancePhase::kFencing;
  for (const Json& member : document["members"]) {
    if (!member.is_object()) {
      return std::nullopt;
    }
    state.members.push_back(
        {IncarnationId(member.value("incarnation", std::string())),
         InstanceId(member.value("instance", std::string()))});
  }
  return state;
}

std::string AllowanceState::Serialize() const {
  Json items = Json::array();
  for (const AllowanceMember& member : members) {
    items.push_back({{"incarnation", member.incarnation.value()},
                     {"instance", member.instance.value()}});
  }
  return Json{
      {"epoch", epoch},
      {"phase", phase == AllowancePhase::kActive ? kActiveName : kFencingName},
      {"members", std::move(items)}}
      .dump();
}

std::vector<AllowanceMember> AllowanceState::HoldersOf(
    const OrganisationId& organisation) const {
  if (members.size() <= kHoldersPerOrganisation) {
    return members;
  }
  struct RankedMember {
    std::string hash;
    const AllowanceMember* member;
  };
  std::vector<RankedMember> ranked;
  ranked.reserve(members.size());
  for (const AllowanceMember& member : members) {
    ranked.push_back(
        {Sha256Hex(organisation.value() + "/" + member.incarnation.value()),
         &member});
  }
  std::ranges::partial_sort(ranked, ranked.begin() + kHoldersPerOrganisation,
                            {}, &RankedMember::hash);
  std::vector<AllowanceMember> holders;
  for (std::size_t i = 0; i < kHoldersPerOrganisation; ++i) {
    holders.push_back(*ranked[i].member);
  }
  return holders;
}

double AllowanceState::AssignedFraction(
    const IncarnationId& incarnation,
    const OrganisationId& organisation) const {
  const auto holders = HoldersOf(organisation);
  const bool is_holder =
      std::ranges::find(holders, incarnation, &AllowanceMember::incarnation) !=
      holders.end();
  return is_holder ? 1.0 / static_cast<double>(holders.size()) : 0.0;
}

}  // namespace bambooquay
