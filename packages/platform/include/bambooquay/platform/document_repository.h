// Stores versioned documents in the platform's services. The text of a document
// is an object named by its digest; a table row has its current version and
// digest.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "bambooquay/core/documents.h"
#include "bambooquay/platform/object_store.h"
#include "bambooquay/platform/table_service.h"

namespace bambooquay {

/// The document was published as `version`.
struct DocumentPublished {
  std::uint64_t version = 0;
};
/// Another writer published this version first.
struct DocumentConflict {};
/// No version of the document was published yet.
struct DocumentNotFound {};

using PublishResult =
    std::variant<DocumentPublished, DocumentConflict, PlatformUnavailable>;
using LoadResult =
    std::variant<Document, DocumentNotFound, PlatformUnavailable>;
using VersionsResult = std::variant<DocumentVersions, PlatformUnavailable>;

/// Publishes and loads documents. The table service and the object store must
/// outlive the repository.
class DocumentRepository {
 public:
  DocumentRepository(TableService& table, ObjectStore& objects);

  /// Publishes `document` if `document.version - 1` is the current version. If
  /// the response to the write is lost, reads the row back to find out whether
  /// the write took effect; success is reported only if it did.
  void Publish(const Document& document,
               std::function<void(PublishResult)> done);
  /// Loads the current version of a document and verifies its digest.
  void Load(DocumentKind kind, std::function<void(LoadResult)> done);
  /// Reads the current versions of all documents with one query.
  void ReadVersions(std::function<void(VersionsResult)> done);

 private:
  TableService& m_table;
  ObjectStore& m_objects;
};

}  // namespace bambooquay
