// The API keys of callers, stored as digests only.
#include "bambooquay/core/key_set.h"

#include <sodium.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/core/random.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kPrefixDigits = 8;
constexpr std::size_t kDigestDigits = 64;

std::string PrefixOf(const KeyDigest& digest) {
  return digest.value().substr(0, kPrefixDigits);
}

bool EqualInConstantTime(const KeyDigest& a, const KeyDigest& b) noexcept {
  return a.value().size() == b.value().size() &&
         sodium_memcmp(a.value().data(), b.value().data(), a.value().size()) ==
             0;
}

std::string TextField(const Json& item, const char* name) {
  return item.is_object() && item.contains(name) && item[name].is_string()
             ? item[name].get<std::string>()
             : std::string();
}

}  // namespace

std::optional<KeySet> KeySet::Parse(std::string_view json) {
  const Json document = Json::parse(json, nullptr, false);
  if (!document.is_object() || !document.contains("keys") ||
      !document["keys"].is_array()) {
    return std::nullopt;
  }
  KeySet keys;
  for (const Json& item : document["keys"]) {
    ApiKey key{KeyDigest(TextField(item, "digest")),
               OrganisationId(TextField(item, "organisation")),
               TextField(item, "label")};
    if (key.digest.value().size() != kDigestDigits ||
        key.organisation.empty()) {
      return std::nullopt;
    }
    keys.m_keys.emplace(PrefixOf(key.digest), std::move(key));
  }
  return keys;
}

std::string KeySet::Serialize() const {
  Json items = Json::array();
  for (const ApiKey& key : List()) {
    items.push_back({{"digest", key.digest.value()},
                     {"organisation", key.organisation.value()},
                     {"label", key.label}});
  }
  return Json{{"keys", std::move(items)}}.dump();
}

bool KeySet::Add(ApiKey key) {
  const bool label_used = std::ranges::any_of(m_keys, [&](const auto& entry) {
    return entry.second.label == key.label;
  });
  if (label_used || Find(key.digest) != nullptr) {
    return false;
  }
  std::string prefix = PrefixOf(key.digest);
  m_keys.emplace(std::move(prefix), std::move(key));
  return true;
}

bool KeySet::Remove(std::string_view label) {
  const auto found = std::ranges::find_if(
      m_keys, [&](const auto& entry) { return entry.second.label == label; });
  if (found == m_keys.end()) {
    return false;
  }
  m_keys.erase(found);
  return true;
}

const ApiKey* KeySet::Find(const KeyDigest& digest) const noexcept {
  const auto [first, last] = m_keys.equal_range(PrefixOf(digest));
  const ApiKey* match = nullptr;
  for (auto entry = first; entry != last; ++entry) {
    if (EqualInConstantTime(entry->second.digest, digest)) {
      match = &entry->second;
    }
  }
  return match;
}

std::vector<ApiKey> KeySet::List() const {
  std::vector<ApiKey> keys;
  std::ranges::transform(m_keys, std::back_inserter(keys),
                         [](const auto& entry) { return entry.second; });
  std::ranges::sort(keys, {}, &ApiKey::label);
  return keys;
}

KeyDigest DigestOfKey(std::string_view key) {
  return KeyDigest(Sha256Hex(key));
}

}  // namespace bambooquay
