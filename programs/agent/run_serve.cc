// `bambooquay-agent serve`: the agent process on a hosted platform.
#include "run_serve.h"

#include <utility>

#include "bambooquay/serving/serving_agent.h"
#include "hosted_process.h"
#include "platform/engine_client.h"

namespace bambooquay {
namespace {

class AgentProcess final : public HostedProcess {
 public:
  AgentProcess(const ProcessIdentity& identity, const ServingSettings& settings,
               std::vector<std::string> arguments)
      : HostedProcess(identity, settings, std::move(arguments)),
        m_engine(m_loop, settings.engine),
        m_agent(settings, {m_loop, m_document_codec, m_table, m_engine,
                           m_metrics, m_random}) {}

 private:
  bool Start() override { return m_agent.Start(); }
  void Stop() override { m_loop.Stop(); }
  void Reload(const ServingSettings& settings) override {
    m_agent.Reload(settings);
  }
  [[nodiscard]] std::string NotReadyReason() const override {
    return m_agent.NotReadyReason();
  }
  [[nodiscard]] std::string StatusJson() const override {
    return m_agent.StatusJson();
  }
  [[nodiscard]] std::pair<std::string, std::string> StartLogField()
      const override {
    return {"engine", m_settings.engine.ToString()};
  }

  hosting::HttpEngineClient m_engine;
  ServingAgent m_agent;
};

}  // namespace

ExitCode RunServe(const std::vector<std::string>& arguments) {
  return RunHostedProcess<AgentProcess>(
      {"bambooquay-agent serve", "agent", ServingRole::kAgent}, arguments);
}

}  // namespace bambooquay
