// Stores versioned documents in the platform's services.
#include "bambooquay/platform/document_repository.h"

#include <algorithm>
#include <utility>

#include "bambooquay/core/random.h"

namespace bambooquay {
namespace {

constexpr int kMaxReadBacks = 5;
constexpr int kMaxStoreAttempts = 3;
constexpr const char* kPartition = "document";

RowKey KeyOf(DocumentKind kind) {
  return {kPartition, std::string(ToString(kind))};
}

std::string ObjectName(const std::string& digest) {
  return "documents/" + digest;
}

PublishResult ToPublishResult(const WriteResult& result,
                              std::uint64_t version) {
  if (std::holds_alternative<RowWritten>(result)) {
    return DocumentPublished{version};
  }
  if (std::holds_alternative<RowConflict>(result)) {
    return DocumentConflict{};
  }
  return std::get<PlatformUnavailable>(result);
}

/// Stores an object and retries on failure, which is safe because storing the
/// same object again has no effect.
/// @param attempts  maximum number of requests, at least 1.
void StoreWithRetries(ObjectStore& objects, const std::string& name,
                      const std::string& bytes, int attempts,
                      std::function<void(ObjectWriteResult)> done) {
  objects.Store(
      name, bytes,
      [&objects, name, bytes, attempts,
       done = std::move(done)](const ObjectWriteResult& result) {
        if (std::holds_alternative<ObjectStored>(result) || attempts <= 1) {
          done(result);
          return;
        }
        StoreWithRetries(objects, name, bytes, attempts - 1, done);
      });
}

}  // namespace

DocumentRepository::DocumentRepository(TableService& table,
                                       ObjectStore& objects)
    : m_table(table), m_objects(objects) {}

void DocumentRepository::Publish(const Document& document,
                                 std::function<void(PublishResult)> done) {
  const std::string digest = Sha256Hex(document.text);
  const Row row{KeyOf(document.kind), document.version, MakeRandomId(), digest};
  // The object is stored first, so that a row never refers to a missing object.
  StoreWithRetries(
      m_objects, ObjectName(digest), document.text, kMaxStoreAttempts,
      [&table = m_table, row,
       done = std::move(done)](const ObjectWriteResult& store_result) {
        if (const auto* failure =
                std::get_if<PlatformUnavailable>(&store_result)) {
          // `never_sent` is set: the row was not written, so the document was
          // certainly not published.
          done(PlatformUnavailable{failure->description, true});
          return;
        }
        WriteAndConfirm(
            table, row, kMaxReadBacks,
            [done, version = row.version](const WriteResult& result) {
              done(ToPublishResult(result, version));
            });
      });
}

void DocumentRepository::Load(DocumentKind kind,
                              std::function<void(LoadResult)> done) {
  m_table.Read(KeyOf(kind), [&objects = m_objects, kind,
                             done = std::move(done)](
                                const ReadResult& row_result) {
    if (std::holds_alternative<RowNotFound>(row_result)) {
      done(DocumentNotFound{});
      return;
    }
    if (const auto* failure = std::get_if<PlatformUnavailable>(&row_result)) {
      done(*failure);
      return;
    }
    const Row row = std::get<Row>(row_result);
    objects.Fetch(ObjectName(row.body), [kind, row,
                                         done](const ObjectReadResult& result) {
      const auto* text = std::get_if<std::string>(&result);
      if (text == nullptr) {
        done(PlatformUnavailable{"the document's object is unavailable"});
      } else if (Sha256Hex(*text) != row.body) {
        done(PlatformUnavailable{"the document's digest does not match"});
      } else {
        done(Document{kind, row.version, *text});
      }
    });
  });
}

void DocumentRepository::ReadVersions(
    std::function<void(VersionsResult)> done) {
  m_table.Query(
      kPartition, [done = std::move(done)](const QueryResult& result) {
        if (const auto* failure = std::get_if<PlatformUnavailable>(&result)) {
          done(*failure);
          return;
        }
        DocumentVersions versions;
        for (const Row& row : std::get<std::vector<Row>>(result)) {
          const auto kind = std::ranges::find_if(
              kAllDocumentKinds,
              [&](DocumentKind k) { return ToString(k) == row.key.name; });
          if (kind != kAllDocumentKinds.end()) {
            versions[*kind] = row.version;
          }
        }
        done(versions);
      });
}

}  // namespace bambooquay
