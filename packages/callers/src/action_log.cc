// Log of non-idempotent actions in the platform's table.
#include "bambooquay/callers/action_log.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/core/random.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

constexpr int kMaxReadBacks = 3;
constexpr std::size_t kMaxStoredBodyBytes = 200 * 1024;

std::string_view ToString(ActionState state) noexcept {
  switch (state) {
    case ActionState::kIntent:
      return "intent";
    case ActionState::kNotRun:
      return "not_run";
    case ActionState::kRan:
      break;
  }
  return "ran";
}

ActionState ParseState(std::string_view name) noexcept {
  if (name == "ran") {
    return ActionState::kRan;
  }
  return name == "not_run" ? ActionState::kNotRun : ActionState::kIntent;
}

}  // namespace

std::string ActionRecord::Serialize() const {
  Json json = {
      {"state", ToString(state)},           {"request_digest", request_digest},
      {"attempt", attempt_id.value()},      {"upstream", upstream.value()},
      {"agent", agent_incarnation.value()}, {"status", status},
      {"content_type", content_type},       {"body", body},
      {"body_dropped", body_dropped}};
  return json.dump(-1, ' ', true, Json::error_handler_t::replace);
}

std::optional<ActionRecord> ActionRecord::Parse(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  ActionRecord record;
  record.state = ParseState(json.value("state", ""));
  record.request_digest = json.value("request_digest", "");
  record.attempt_id = RequestId(json.value("attempt", ""));
  record.upstream = UpstreamId(json.value("upstream", ""));
  record.agent_incarnation = IncarnationId(json.value("agent", ""));
  record.status = json.value("status", 0);
  record.content_type = json.value("content_type", "");
  record.body = json.value("body", "");
  record.body_dropped = json.value("body_dropped", false);
  return record;
}

ActionLog::ActionLog(TableService& table, const OrganisationId& organisation,
                     std::string_view idempotency_key)
    : m_table(table),
      m_key{"action/" + organisation.value(), Sha256Hex(idempotency_key)} {}

void ActionLog::Read(std::function<void(ActionReadResult)> done) {
  m_table.Read(m_key, [done = std::move(done)](const ReadResult& result) {
    if (const auto* failure = std::get_if<PlatformUnavailable>(&result)) {
      done(*failure);
      return;
    }
    ActionRow action;
    if (const auto* row = std::get_if<Row>(&result)) {
      const auto record = ActionRecord::Parse(row->body);
      if (!record.has_value()) {
        done(PlatformUnavailable{"the action record is malformed"});
        return;
      }
      action = {row->version, *record};
    }
    done(action);
  });
}

void ActionLog::Write(std::uint64_t version, ActionRecord record,
                      std::function<void(WriteResult)> done) {
  if (record.body.size() > kMaxStoredBodyBytes) {
    record.body.clear();
    record.body_dropped = true;
  }
  WriteAndConfirm(m_table,
                  Row{m_key, version + 1, MakeRandomId(), record.Serialize()},
                  kMaxReadBacks, std::move(done));
}

}  // namespace bambooquay
