// Holds the highest version seen of each document.
#include "bambooquay/core/documents.h"

#include <utility>

namespace bambooquay {

std::string_view ToString(DocumentKind kind) noexcept {
  switch (kind) {
    case DocumentKind::kConfiguration:
      return "configuration";
    case DocumentKind::kKeys:
      return "keys";
    case DocumentKind::kDrains:
      return "drains";
    case DocumentKind::kAllowance:
      return "allowance";
    case DocumentKind::kPlacement:
      break;
  }
  return "placement";
}

bool DocumentSet::Adopt(Document document) {
  auto& stored = m_documents[static_cast<std::size_t>(document.kind)];
  const std::uint64_t stored_version = stored.has_value() ? stored->version : 0;
  if (document.version <= stored_version) {
    return false;
  }
  stored = std::move(document);
  // Emit a copy, as a slot may adopt an even newer version of the same kind.
  const Document adopted = *stored;
  m_changed.emit(adopted);
  return true;
}

const Document* DocumentSet::Find(DocumentKind kind) const noexcept {
  const auto& stored = m_documents[static_cast<std::size_t>(kind)];
  return stored.has_value() ? &*stored : nullptr;
}

DocumentVersions DocumentSet::versions() const noexcept {
  DocumentVersions versions;
  for (const DocumentKind kind : kAllDocumentKinds) {
    const Document* document = Find(kind);
    versions[kind] = document == nullptr ? 0 : document->version;
  }
  return versions;
}

}  // namespace bambooquay
