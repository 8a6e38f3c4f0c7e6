// `bambooquay serve`: the entry process on a hosted platform.
#include "run_serve.h"

#include <utility>

#include "bambooquay/serving/serving_entry.h"
#include "hosted_process.h"
#include "platform/call_headers.h"

namespace bambooquay {
namespace {

class EntryProcess final : public HostedProcess {
 public:
  EntryProcess(const ProcessIdentity& identity, const ServingSettings& settings,
               std::vector<std::string> arguments)
      : HostedProcess(identity, settings, std::move(arguments)),
        m_entry(settings, {m_loop, m_call_codec, m_document_codec, m_table,
                           m_metrics, m_random}) {}

 private:
  bool Start() override { return m_entry.Start(); }
  void Stop() override {
    m_entry.Drain([this] { m_loop.Stop(); });
  }
  void Reload(const ServingSettings& settings) override {
    m_entry.Reload(settings);
  }
  [[nodiscard]] std::string NotReadyReason() const override {
    return m_entry.NotReadyReason();
  }
  [[nodiscard]] std::string StatusJson() const override {
    return m_entry.StatusJson();
  }
  [[nodiscard]] std::pair<std::string, std::string> StartLogField()
      const override {
    return {"callers", m_settings.callers.ToString()};
  }

  hosting::CallHeaderCodec m_call_codec;
  ServingEntry m_entry;
};

}  // namespace

ExitCode RunServe(const std::vector<std::string>& arguments) {
  return RunHostedProcess<EntryProcess>(
      {"bambooquay serve", "entry", ServingRole::kEntry}, arguments);
}

}  // namespace bambooquay
