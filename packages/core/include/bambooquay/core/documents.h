// Versioned documents that hold the state shared by the fleet. Every process
// keeps the highest version that it has seen of each document and never returns
// to a lower one.
#pragma once

#include <sigc++/signal.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bambooquay {

enum class DocumentKind : std::uint8_t {
  kConfiguration,  ///< The operators' configuration file, as INI text.
  kKeys,           ///< Digests of the callers' keys.
  kDrains,         ///< Drained data centres and upstreams.
  kAllowance,      ///< Epoch and the members that hold allowance shares.
  kPlacement,      ///< Which models are loaded on which upstream.
};

inline constexpr std::size_t kDocumentKindCount = 5;
inline constexpr std::array<DocumentKind, kDocumentKindCount>
    kAllDocumentKinds = {DocumentKind::kConfiguration, DocumentKind::kKeys,
                         DocumentKind::kDrains, DocumentKind::kAllowance,
                         DocumentKind::kPlacement};

/// @returns the name of `kind` in table rows, logs and commands.
[[nodiscard]] std::string_view ToString(DocumentKind kind) noexcept;

/// One version of a document. Versions start at 1.
struct Document {
  DocumentKind kind = DocumentKind::kConfiguration;
  std::uint64_t version = 0;
  std::string text;
};

/// The version number of each kind of document; 0 means that there is none.
struct DocumentVersions {
  /// Indexed by DocumentKind.
  std::array<std::uint64_t, kDocumentKindCount> numbers{};

  [[nodiscard]] std::uint64_t operator[](DocumentKind kind) const noexcept {
    return numbers[static_cast<std::size_t>(kind)];
  }
  std::uint64_t& operator[](DocumentKind kind) noexcept {
    return numbers[static_cast<std::size_t>(kind)];
  }
  friend bool operator==(const DocumentVersions&,
                         const DocumentVersions&) = default;
};

/// Holds the highest version seen of each document.
///
/// @code
/// DocumentSet documents;
/// documents.Adopt({DocumentKind::kKeys, 2, "..."});  // true
/// documents.Adopt({DocumentKind::kKeys, 1, "..."});  // false: older
/// @endcode
class DocumentSet {
 public:
  /// Stores `document` and emits changed(), if its version is higher than that
  /// of the stored one.
  /// @returns whether it was stored.
  bool Adopt(Document document);
  /// @returns the stored document, or nullptr. The pointer stays valid until a
  ///   newer version is stored.
  [[nodiscard]] const Document* Find(DocumentKind kind) const noexcept;
  [[nodiscard]] DocumentVersions versions() const noexcept;

  /// Signal emitted after a newer version has been stored.
  [[nodiscard]] sigc::signal<void(const Document&)>& changed() noexcept {
    return m_changed;
  }

 private:
  /// By kind. The version of each never decreases.
  std::array<std::optional<Document>, kDocumentKindCount> m_documents;
  sigc::signal<void(const Document&)> m_changed;
};

}  // namespace bambooquay
