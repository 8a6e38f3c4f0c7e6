// A conditional write that is confirmed by reading the row back if the response
// is lost.
#include <memory>
#include <utility>

#include "bambooquay/platform/table_service.h"

namespace bambooquay {
namespace {

/// Writes a row and reads it back until the result of the write is known.
class ConfirmedWrite : public std::enable_shared_from_this<ConfirmedWrite> {
 public:
  ConfirmedWrite(TableService& table, Row row, int max_read_backs,
                 std::function<void(WriteResult)> done)
      : m_table(table),
        m_row(std::move(row)),
        m_remaining_read_backs(max_read_backs),
        m_done(std::move(done)) {}

  void Start() {
    m_table.Write(m_row,
                  [self = shared_from_this()](const WriteResult& result) {
                    self->HandleWriteResult(result);
                  });
  }

 private:
  void HandleWriteResult(const WriteResult& result) {
    const auto* unavailable = std::get_if<PlatformUnavailable>(&result);
    if (unavailable != nullptr &&
        !(unavailable->never_sent && m_is_first_attempt)) {
      m_is_first_attempt = false;
      ReadBack(*unavailable);
    } else if (std::holds_alternative<RowConflict>(result) &&
               !m_is_first_attempt) {
      // The conflict may be caused by an earlier attempt of this write.
      ReadBack(PlatformUnavailable{"the write's fate is not known"});
    } else {
      m_done(result);
    }
  }

  /// @param reason  the result of the write if no read-backs remain.
  void ReadBack(const PlatformUnavailable& reason) {
    if (m_remaining_read_backs-- <= 0) {
      m_done(reason);
      return;
    }
    m_table.Read(m_row.key,
                 [self = shared_from_this()](const ReadResult& result) {
                   self->HandleReadBack(result);
                 });
  }

  void HandleReadBack(const ReadResult& result) {
    if (const auto* unavailable = std::get_if<PlatformUnavailable>(&result)) {
      ReadBack(*unavailable);
      return;
    }
    const auto* row = std::get_if<Row>(&result);
    if (row != nullptr && row->write_id == m_row.write_id) {
      m_done(RowWritten{});
    } else if (row != nullptr && row->version >= m_row.version) {
      // Another write created this version or a later one. If the version is
      // later, this write may have taken effect before it was overwritten; if
      // it is the same, this write cannot have taken effect.
      if (row->version == m_row.version) {
        m_done(RowConflict{});
      } else {
        m_done(PlatformUnavailable{"the row has moved on", false});
      }
    } else {
      // The row is not written yet, but an earlier attempt may still be in
      // transit. The write is repeated; its condition ensures that at most one
      // attempt takes effect.
      Start();
    }
  }

  TableService& m_table;
  Row m_row;
  int m_remaining_read_backs;
  /// Whether this is the first attempt, so that no earlier attempt can have
  /// taken effect.
  bool m_is_first_attempt = true;
  std::function<void(WriteResult)> m_done;
};

}  // namespace

void WriteAndConfirm(TableService& table, const Row& row, int max_read_backs,
                     std::function<void(WriteResult)> done) {
  std::make_shared<ConfirmedWrite>(table, row, max_read_backs, std::move(done))
      ->Start();
}

}  // namespace bambooquay
