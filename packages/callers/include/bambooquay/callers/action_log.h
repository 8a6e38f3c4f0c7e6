// Log of non-idempotent actions that callers identify by an Idempotency-Key. It
// is stored in the platform's table, so that a retry through any entry returns
// the result of the first run.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "bambooquay/core/ids.h"
#include "bambooquay/platform/table_service.h"

namespace bambooquay {

enum class ActionState : std::uint8_t {
  kIntent,  ///< An attempt is planned and may have been made.
  kNotRun,  ///< The last attempt is known not to have run.
  kRan,     ///< The action has run.
};

/// The stored record of one action.
struct ActionRecord {
  ActionState state = ActionState::kIntent;
  /// Digest of method, target and body. A request that reuses the key with
  /// another digest is rejected.
  std::string request_digest;
  /// Request id of the last attempt.
  RequestId attempt_id;
  UpstreamId upstream;
  /// Incarnation of the agent that the last attempt was sent to.
  IncarnationId agent_incarnation;
  /// Status and body of the stored response; the status is 0 if there is none.
  int status = 0;
  std::string content_type;
  std::string body;
  /// Whether the action ran but its response is not stored, because it was too
  /// large or was lost.
  bool body_dropped = false;

  [[nodiscard]] std::string Serialize() const;
  /// @returns the record, or nothing if `text` is not a JSON object.
  [[nodiscard]] static std::optional<ActionRecord> Parse(std::string_view text);
};

/// A row of the log. Version 0 means that the action has no row yet.
struct ActionRow {
  std::uint64_t version = 0;
  ActionRecord record;
};

using ActionReadResult = std::variant<ActionRow, PlatformUnavailable>;

/// Reads and writes the record of one action of one organisation.
class ActionLog {
 public:
  ActionLog(TableService& table, const OrganisationId& organisation,
            std::string_view idempotency_key);

  /// Reads the action's row.
  void Read(std::function<void(ActionReadResult)> done);
  /// Replaces version `version` of the row by `record`. A body that is too
  /// large for a row is dropped.
  /// @param done  gets RowConflict if another entry wrote the row first.
  void Write(std::uint64_t version, ActionRecord record,
             std::function<void(WriteResult)> done);

 private:
  TableService& m_table;
  RowKey m_key;
};

}  // namespace bambooquay
