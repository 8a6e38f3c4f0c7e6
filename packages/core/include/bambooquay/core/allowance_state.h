// The allowance document: the current epoch and the entries that hold shares
// of allowances in it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambooquay/core/ids.h"

namespace bambooquay {

/// An entry that the epoch assigns shares to.
struct AllowanceMember {
  IncarnationId incarnation;
  InstanceId instance;
};

enum class AllowancePhase : std::uint8_t {
  /// Agents are being told to refuse work of older epochs. Until all of them
  /// do, members hold at most what they held before.
  kFencing,
  /// Every agent refuses work of older epochs, and members hold the shares
  /// that the epoch assigns to them.
  kActive,
};

/// One epoch of the allowance. Every epoch assigns all shares again, so that
/// the share of a dead entry is reassigned once agents refuse whatever that
/// entry may still send.
struct AllowanceState {
  std::uint64_t epoch = 0;
  AllowancePhase phase = AllowancePhase::kFencing;
  std::vector<AllowanceMember> members;

  /// @returns the state parsed from JSON, or nothing if malformed.
  [[nodiscard]] static std::optional<AllowanceState> Parse(
      std::string_view json);
  [[nodiscard]] std::string Serialize() const;

  /// @returns the members that are assigned shares of `organisation`. They are
  ///   a few, chosen by rendezvous hashing, so that even in a large fleet an
  ///   entry that needs more asks only those.
  [[nodiscard]] std::vector<AllowanceMember> HoldersOf(
      const OrganisationId& organisation) const;
  /// @returns the fraction of the allowance of `organisation` that this epoch
  ///   assigns to `incarnation`; 0 if it holds no share.
  [[nodiscard]] double AssignedFraction(
      const IncarnationId& incarnation,
      const OrganisationId& organisation) const;
};

}  // namespace bambooquay
