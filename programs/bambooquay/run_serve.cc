// `bambooquay serve`: the entry process on a hosted platform.
#include "run_serve.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/duties/entry_duties.h"
#include "bambooquay/serving/serving_entry.h"
#include "hosted_process.h"
#include "platform/call_headers.h"
#include "platform/duty_client.h"

namespace bambooquay {
namespace {

class EntryProcess final : public HostedProcess {
 public:
  EntryProcess(const ProcessIdentity& identity, const ServingSettings& settings,
               std::vector<std::string> arguments)
      : HostedProcess(identity, settings, std::move(arguments)),
        m_entry(settings, {m_loop, m_call_codec, m_document_codec, m_table,
                           m_metrics, m_random}) {
    if (settings.duties.has_value() && settings.duties->has_duty()) {
      m_duty_client = std::make_unique<hosting::HttpDutyClient>(
          m_loop, settings.duties->platform, settings.duties->call_limit);
      m_duties = std::make_unique<EntryDuties>(
          *settings.duties, settings.id,
          EntryDutiesDeps{m_loop, m_table, *m_duty_client, m_metrics, m_entry});
    }
  }

 private:
  bool Start() override {
    if (!m_entry.Start()) {
      return false;
    }
    if (m_duties != nullptr) {
      m_duties->Start();
    }
    return true;
  }
  void Stop() override {
    if (m_duties == nullptr) {
      m_entry.Drain([this] { m_loop.Stop(); });
      return;
    }
    m_duties->Drain();
    m_entry.Drain([this] { m_duties->Finish([this] { m_loop.Stop(); }); });
  }
  void Reload(const ServingSettings& settings) override {
    m_entry.Reload(settings);
  }
  [[nodiscard]] std::string NotReadyReason() const override {
    return m_entry.NotReadyReason();
  }
  [[nodiscard]] std::string StatusJson() const override {
    if (m_duties == nullptr) {
      return m_entry.StatusJson();
    }
    nlohmann::json status = nlohmann::json::parse(m_entry.StatusJson());
    status["duties"] = nlohmann::json::parse(m_duties->StatusJson());
    return status.dump();
  }
  [[nodiscard]] std::pair<std::string, std::string> StartLogField()
      const override {
    return {"callers", m_settings.callers.ToString()};
  }

  hosting::CallHeaderCodec m_call_codec;
  ServingEntry m_entry;
  /// Null if the platform has no duties.
  std::unique_ptr<hosting::HttpDutyClient> m_duty_client;
  std::unique_ptr<EntryDuties> m_duties;
};

}  // namespace

ExitCode RunServe(const std::vector<std::string>& arguments) {
  return RunHostedProcess<EntryProcess>(
      {"bambooquay serve", "entry", ServingRole::kEntry}, arguments);
}

}  // namespace bambooquay
