// Strong types for identifiers, so that, for example, an organisation cannot be
// passed where an upstream is expected.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace bambooquay {

/// A string identifier. `Tag` makes each kind of identifier a distinct type.
///
/// @code
/// OrganisationId id{"fisheries"};
/// std::cout << id.value();  // fisheries
/// @endcode
template <typename Tag>
class Identifier {
 public:
  Identifier() = default;
  explicit Identifier(std::string value) : m_value(std::move(value)) {}

  /// @returns the identifier as text.
  [[nodiscard]] const std::string& value() const noexcept { return m_value; }
  [[nodiscard]] bool empty() const noexcept { return m_value.empty(); }

  friend auto operator<=>(const Identifier&, const Identifier&) = default;

 private:
  std::string m_value;
};

using OrganisationId = Identifier<struct OrganisationTag>;
using DataCentreId = Identifier<struct DataCentreTag>;
using RegionId = Identifier<struct RegionTag>;
using UpstreamId = Identifier<struct UpstreamTag>;
using InstanceId = Identifier<struct InstanceTag>;
using ServiceName = Identifier<struct ServiceTag>;
/// Version of the software that upstreams run, not of their models. Versions
/// have no order, and what two of them write does not fit together.
using SoftwareVersion = Identifier<struct SoftwareVersionTag>;
using ModelName = Identifier<struct ModelTag>;
using AdapterName = Identifier<struct AdapterTag>;
/// Identifies one attempt of a request, unique within the fleet: 128 random
/// bits in hexadecimal.
using RequestId = Identifier<struct RequestTag>;
/// Identifies one run of a process; a restarted process has a new one.
using IncarnationId = Identifier<struct IncarnationTag>;
/// SHA-256 digest of a caller's key in hexadecimal. The key itself is never
/// stored.
using KeyDigest = Identifier<struct KeyDigestTag>;
/// Hash of a part of a prompt; prompts with the same part have the same one.
enum class PromptPartId : std::uint64_t {};

}  // namespace bambooquay

template <typename Tag>
struct std::hash<bambooquay::Identifier<Tag>> {
  std::size_t operator()(const bambooquay::Identifier<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};
