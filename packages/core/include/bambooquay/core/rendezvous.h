// Chooses a member of a group by hash, without communication.
#pragma once

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "bambooquay/core/ids.h"

namespace bambooquay {

/// Rendezvous hashing: all processes that know the same members choose the same
/// one, and when a member leaves only what it was chosen for moves.
/// @param seed  hash of what a member is chosen for.
/// @param members  not empty.
[[nodiscard]] inline InstanceId ChooseByRendezvous(
    std::size_t seed, const std::vector<InstanceId>& members) {
  return *std::ranges::max_element(members, {}, [seed](const InstanceId& id) {
    std::size_t hash = boost::hash<std::string>()(id.value());
    boost::hash_combine(hash, seed);
    return std::pair(hash, id);
  });
}

}  // namespace bambooquay
