// Registers an agent in the platform's table.
#include "bambooquay/upstreams/agent_registration.h"

#include <utility>

#include "bambooquay/core/random.h"
#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
constexpr int kMaxReadBacks = 5;

}  // namespace

AgentRegistration::AgentRegistration(EventLoop& loop, TableService& table,
                                     DocumentRepository& repository,
                                     DocumentSet& documents)
    : m_loop(loop),
      m_table(table),
      m_repository(repository),
      m_documents(documents) {}

void AgentRegistration::Start(const UpstreamId& upstream, const Endpoint& peer,
                              std::function<void(std::uint64_t)> done) {
  m_upstream = upstream;
  m_peer = peer;
  m_on_registered = std::move(done);
  ReadRow();
}

void AgentRegistration::ReadRow() {
  m_table.Read({kAgentPartition, m_upstream.value()},
               [this](const ReadResult& result) {
                 if (std::holds_alternative<PlatformUnavailable>(result)) {
                   ScheduleRetry();
                   return;
                 }
                 const auto* row = std::get_if<Row>(&result);
                 WriteRow(row == nullptr ? 1 : row->version + 1);
               });
}

void AgentRegistration::WriteRow(std::uint64_t version) {
  const Row row{{kAgentPartition, m_upstream.value()},
                version,
                MakeRandomId(),
                m_peer.ToString()};
  WriteAndConfirm(m_table, row, kMaxReadBacks,
                  [this, version](const WriteResult& result) {
                    if (std::holds_alternative<RowWritten>(result)) {
                      ReadEpoch(version);
                    } else {
                      ScheduleRetry();
                    }
                  });
}

void AgentRegistration::ReadEpoch(std::uint64_t version) {
  m_repository.Load(
      DocumentKind::kAllowance, [this, version](LoadResult result) {
        if (std::holds_alternative<PlatformUnavailable>(result)) {
          m_retry_timer = m_loop.After(kRetryDelay,
                                       [this, version] { ReadEpoch(version); });
          return;
        }
        if (auto* document = std::get_if<Document>(&result)) {
          m_documents.Adopt(std::move(*document));
        }
        LogEvent(LogLevel::kInfo, "agent_registered")
            .With("fencing_number", version);
        m_on_registered(version);
      });
}

void AgentRegistration::ScheduleRetry() {
  m_retry_timer = m_loop.After(kRetryDelay, [this] { ReadRow(); });
}

}  // namespace bambooquay
