// The key document: the API keys of callers, stored as digests only.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bambooquay/core/ids.h"

namespace bambooquay {

/// An API key issued to an organisation.
struct ApiKey {
  KeyDigest digest;
  OrganisationId organisation;
  /// Unique name that operators gave the key; shown instead of the digest.
  std::string label;
};

/// The set of valid API keys.
///
/// @code
/// KeySet keys;
/// keys.Add({DigestOfKey("secret"), OrganisationId("fisheries"), "desk-1"});
/// keys.Find(DigestOfKey("secret"))->organisation.value();  // fisheries
/// @endcode
class KeySet {
 public:
  /// @returns the key set parsed from JSON, or nothing if malformed.
  [[nodiscard]] static std::optional<KeySet> Parse(std::string_view json);
  [[nodiscard]] std::string Serialize() const;

  /// Adds `key`.
  /// @returns false if the set already has a key with this digest or label.
  bool Add(ApiKey key);
  /// Removes the key with this label.
  /// @returns whether there was one.
  bool Remove(std::string_view label);
  /// Looks up a key. Beyond the prefix that m_keys is indexed by, digests are
  /// compared in constant time.
  /// @returns the key, or nullptr.
  [[nodiscard]] const ApiKey* Find(const KeyDigest& digest) const noexcept;
  /// @returns all keys, sorted by label.
  [[nodiscard]] std::vector<ApiKey> List() const;

 private:
  /// Keys, indexed by the first hexadecimal digits of their digest.
  std::unordered_multimap<std::string, ApiKey> m_keys;
};

/// @returns the digest that represents `key` in a KeySet.
[[nodiscard]] KeyDigest DigestOfKey(std::string_view key);

}  // namespace bambooquay
