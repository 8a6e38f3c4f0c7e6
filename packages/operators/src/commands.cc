// The operators' commands.
#include "bambooquay/operators/commands.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "bambooquay/core/configuration.h"
#include "bambooquay/core/drain_set.h"
#include "bambooquay/core/ini_section_reader.h"
#include "bambooquay/core/key_set.h"
#include "bambooquay/core/random.h"
#include "command_line.h"
#include "command_result.h"
#include "platform_session.h"
#include "text_file.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;

// An edit is repeated from the read if another operator changed the document
// between read and write.
constexpr int kMaxEditAttempts = 5;

CommandError UnavailableError(const PlatformUnavailable& failure) {
  return {ExitCode::kUnavailable, failure.description, {}};
}

std::variant<std::string, CommandError> ReadFile(const std::string& path) {
  std::optional<std::string> text = ReadTextFile(path);
  if (!text.has_value()) {
    return CommandError{ExitCode::kNoInput, "cannot read '" + path + "'", {}};
  }
  return std::move(*text);
}

/// Reads the [platform] section of the settings file.
std::variant<PlatformEndpoints, CommandError> ReadPlatformEndpoints(
    const std::string& path) {
  if (path.empty()) {
    return CommandError{ExitCode::kBadSettings,
                        "no settings: give --settings FILE or set "
                        "BAMBOOQUAY_SETTINGS",
                        {}};
  }
  auto text = ReadFile(path);
  if (auto* error = std::get_if<CommandError>(&text)) {
    return *error;
  }
  std::vector<IniError> errors;
  const IniDocument document =
      ParseIni(std::get<std::string>(text), path, errors);
  PlatformEndpoints endpoints;
  bool found = false;
  for (const IniSection& section : document.sections) {
    if (section.name != "platform") {
      continue;
    }
    found = true;
    IniSectionReader reader(path, section, errors);
    const auto address = [&](const char* key) {
      const auto endpoint = ParseEndpoint(reader.Text(key));
      if (!endpoint.has_value()) {
        reader.AddError(key, "expected IP:PORT");
      }
      return endpoint.value_or(Endpoint{});
    };
    endpoints = {address("table"), address("objects"), address("instances")};
  }
  if (!found) {
    errors.push_back({path, 0, "platform", "", "the section is missing"});
  }
  if (!errors.empty()) {
    return CommandError{ExitCode::kBadSettings, "bad settings", errors};
  }
  return endpoints;
}

/// Runs one command.
class Command {
 public:
  explicit Command(CommandLine line) : m_line(std::move(line)) {}

  CommandResult Run() {
    static const std::map<std::string, CommandResult (Command::*)()> kVerbs = {
        {"config check", &Command::CheckConfiguration},
        {"config apply", &Command::ApplyConfiguration},
        {"config show", &Command::ShowConfiguration},
        {"key give", &Command::CreateKey},
        {"key withdraw", &Command::WithdrawKey},
        {"key list", &Command::ListKeys},
        {"datacentre out", &Command::ChangeDrains},
        {"datacentre in", &Command::ChangeDrains},
        {"upstream drain", &Command::ChangeDrains},
        {"upstream undrain", &Command::ChangeDrains},
        {"status", &Command::ShowStatus}};
    const std::string one_word_verb = PositionalArgument(0);
    const std::string two_word_verb =
        one_word_verb + " " + PositionalArgument(1);
    const auto verb = kVerbs.contains(two_word_verb)
                          ? kVerbs.find(two_word_verb)
                          : kVerbs.find(one_word_verb);
    if (verb == kVerbs.end()) {
      return UsageError("unknown command '" + two_word_verb + "'");
    }
    if (two_word_verb != "config check") {
      auto platform = ReadPlatformEndpoints(m_line.settings_path);
      if (auto* error = std::get_if<CommandError>(&platform)) {
        return *error;
      }
      m_session.emplace(std::get<PlatformEndpoints>(platform));
    }
    return (this->*verb->second)();
  }

 private:
  [[nodiscard]] std::string PositionalArgument(std::size_t index) const {
    return index < m_line.positional_arguments.size()
               ? m_line.positional_arguments[index]
               : std::string();
  }

  static CommandError UsageError(std::string message) {
    return {ExitCode::kUsage, std::move(message) + "; see --help", {}};
  }

  CommandResult CheckConfiguration() {
    if (PositionalArgument(2).empty()) {
      return UsageError("'config check' needs a file");
    }
    auto text = ReadFile(PositionalArgument(2));
    if (auto* error = std::get_if<CommandError>(&text)) {
      return *error;
    }
    m_text = std::get<std::string>(text);
    auto parsed = ParseConfiguration(m_text, PositionalArgument(2));
    if (auto* errors = std::get_if<ConfigurationErrors>(&parsed)) {
      return CommandError{ExitCode::kDataError,
                          "the configuration is not valid", *errors};
    }
    const auto& configuration = std::get<Configuration>(parsed);
    return Json{{"valid", true},
                {"organisations", configuration.organisations.size()},
                {"models", configuration.models.size()},
                {"services", configuration.services.size()},
                {"upstreams", configuration.upstreams.size()}};
  }

  CommandResult ApplyConfiguration() {
    CommandResult checked = CheckConfiguration();
    if (std::holds_alternative<CommandError>(checked)) {
      return checked;
    }
    const LoadResult loaded = m_session->Load(DocumentKind::kConfiguration);
    if (const auto* failure = std::get_if<PlatformUnavailable>(&loaded)) {
      return UnavailableError(*failure);
    }
    const auto* current = std::get_if<Document>(&loaded);
    const std::uint64_t version = current == nullptr ? 0 : current->version;
    if (m_line.expected_version.value_or(version) != version) {
      return CommandError{ExitCode::kConflict,
                          "version " + std::to_string(version) +
                              " is in force, not " +
                              std::to_string(*m_line.expected_version),
                          {}};
    }
    return PublishOnce(
        Document{DocumentKind::kConfiguration, version + 1, m_text});
  }

  /// Publishes a document without a retry after a conflict.
  CommandResult PublishOnce(const Document& document) {
    const PublishResult result = m_session->Publish(document);
    if (const auto* published = std::get_if<DocumentPublished>(&result)) {
      return Json{{"version", published->version}};
    }
    if (std::holds_alternative<DocumentConflict>(result)) {
      return CommandError{ExitCode::kConflict,
                          "another operator changed the " +
                              std::string(ToString(document.kind)) + " first",
                          {}};
    }
    return UnavailableError(std::get<PlatformUnavailable>(result));
  }

  CommandResult ShowConfiguration() {
    const LoadResult loaded = m_session->Load(DocumentKind::kConfiguration);
    if (const auto* document = std::get_if<Document>(&loaded)) {
      return Json{{"version", document->version}, {"text", document->text}};
    }
    if (const auto* failure = std::get_if<PlatformUnavailable>(&loaded)) {
      return UnavailableError(*failure);
    }
    return CommandError{
        ExitCode::kDataError, "no configuration is in force", {}};
  }

  /// Reads a document, applies `change` and writes the result only if the
  /// version that was read is still in force, so that no other operator's
  /// change is overwritten.
  /// @param change  gets the current text and returns the new one, or an error.
  CommandResult EditDocument(
      DocumentKind kind,
      const std::function<std::variant<std::string, CommandError>(
          const std::string&)>& change) {
    CommandResult last_result = CommandError{};
    for (int attempt = 0; attempt < kMaxEditAttempts; ++attempt) {
      const LoadResult loaded = m_session->Load(kind);
      if (const auto* failure = std::get_if<PlatformUnavailable>(&loaded)) {
        return UnavailableError(*failure);
      }
      const auto* document = std::get_if<Document>(&loaded);
      const auto text =
          change(document == nullptr ? std::string() : document->text);
      if (const auto* error = std::get_if<CommandError>(&text)) {
        return *error;
      }
      last_result = PublishOnce(
          Document{kind, (document == nullptr ? 0 : document->version) + 1,
                   std::get<std::string>(text)});
      const auto* error = std::get_if<CommandError>(&last_result);
      if (error == nullptr || error->code != ExitCode::kConflict) {
        return last_result;
      }
    }
    return last_result;
  }

  CommandResult EditKeys(
      const std::function<std::optional<CommandError>(KeySet&)>& change) {
    return EditDocument(
        DocumentKind::kKeys,
        [&](const std::string& text)
            -> std::variant<std::string, CommandError> {
          auto keys = text.empty() ? KeySet{} : KeySet::Parse(text);
          if (!keys.has_value()) {
            return CommandError{
                ExitCode::kDataError, "the key set is malformed", {}};
          }
          if (auto error = change(*keys)) {
            return *error;
          }
          return keys->Serialize();
        });
  }

  CommandResult CreateKey() {
    const OrganisationId organisation(PositionalArgument(2));
    const std::string label = PositionalArgument(3);
    if (organisation.empty() || label.empty()) {
      return UsageError("'key give' needs an organisation and a label");
    }
    const std::string key = "bq-" + MakeRandomId() + MakeRandomId();
    CommandResult result = EditKeys([&](KeySet& keys) {
      return keys.Add({DigestOfKey(key), organisation, label})
                 ? std::nullopt
                 : std::optional<CommandError>(
                       {ExitCode::kDataError,
                        "the label '" + label + "' is already used",
                        {}});
    });
    if (auto* json = std::get_if<Json>(&result)) {
      (*json)["key"] = key;
      (*json)["organisation"] = organisation.value();
    }
    return result;
  }

  CommandResult WithdrawKey() {
    const std::string label = PositionalArgument(2);
    if (label.empty()) {
      return UsageError("'key withdraw' needs a label");
    }
    return EditKeys([&](KeySet& keys) {
      return keys.Remove(label) ? std::nullopt
                                : std::optional<CommandError>(
                                      {ExitCode::kDataError,
                                       "no key is labelled '" + label + "'",
                                       {}});
    });
  }

  CommandResult ListKeys() {
    const LoadResult loaded = m_session->Load(DocumentKind::kKeys);
    if (const auto* failure = std::get_if<PlatformUnavailable>(&loaded)) {
      return UnavailableError(*failure);
    }
    Json items = Json::array();
    if (const auto* document = std::get_if<Document>(&loaded)) {
      const auto keys = KeySet::Parse(document->text);
      for (const ApiKey& key : keys.value_or(KeySet{}).List()) {
        items.push_back(
            {{"label", key.label}, {"organisation", key.organisation.value()}});
      }
    }
    return Json{{"keys", items}};
  }

  CommandResult ChangeDrains() {
    const std::string name = PositionalArgument(2);
    if (name.empty()) {
      return UsageError("'" + PositionalArgument(0) + " " +
                        PositionalArgument(1) + "' needs a name");
    }
    const bool should_drain =
        PositionalArgument(1) == "out" || PositionalArgument(1) == "drain";
    if (const auto error = CheckConfigured(name)) {
      return *error;
    }
    return EditDocument(
        DocumentKind::kDrains,
        [&](const std::string& text)
            -> std::variant<std::string, CommandError> {
          auto drains = text.empty() ? DrainSet{} : DrainSet::Parse(text);
          if (!drains.has_value()) {
            return CommandError{
                ExitCode::kDataError, "the drains are malformed", {}};
          }
          if (PositionalArgument(0) == "datacentre") {
            SetMember(drains->data_centres, DataCentreId(name), should_drain);
          } else {
            SetMember(drains->upstreams, UpstreamId(name), should_drain);
          }
          return drains->Serialize();
        });
  }

  std::optional<CommandError> CheckConfigured(const std::string& name) {
    const LoadResult loaded = m_session->Load(DocumentKind::kConfiguration);
    if (const auto* failure = std::get_if<PlatformUnavailable>(&loaded)) {
      return UnavailableError(*failure);
    }
    const auto* document = std::get_if<Document>(&loaded);
    if (document == nullptr) {
      return CommandError{
          ExitCode::kDataError, "no configuration is in force", {}};
    }
    const auto parsed = ParseConfiguration(document->text, "configuration");
    const auto* configuration = std::get_if<Configuration>(&parsed);
    const bool is_configured =
        configuration != nullptr &&
        (PositionalArgument(0) == "datacentre"
             ? configuration->Find(DataCentreId(name)) != nullptr
             : configuration->Find(UpstreamId(name)) != nullptr);
    if (!is_configured) {
      return CommandError{
          ExitCode::kDataError,
          "no " + PositionalArgument(0) + " '" + name + "' is listed",
          {}};
    }
    return std::nullopt;
  }

  template <typename Id>
  static void SetMember(std::set<Id>& set, const Id& id, bool present) {
    if (present) {
      set.insert(id);
    } else {
      set.erase(id);
    }
  }

  CommandResult ShowStatus() {
    InstanceListResult list = m_session->FetchInstances();
    if (const auto* failure = std::get_if<PlatformUnavailable>(&list)) {
      return UnavailableError(*failure);
    }
    Json items = Json::array();
    for (const Instance& instance : std::get<std::vector<Instance>>(list)) {
      const Json state =
          Json::parse(m_session->FetchStatus(instance.admin), nullptr, false);
      items.push_back({{"instance", instance.id.value()},
                       {"datacentre", instance.data_centre.value()},
                       {"leaving", instance.leaving},
                       {"answers", state.is_object()},
                       {"state", state.is_object() ? state : Json()}});
    }
    return Json{{"instances", items}};
  }

  CommandLine m_line;
  std::string m_text;
  std::optional<PlatformSession> m_session;
};

}  // namespace

ExitCode RunCommand(const std::vector<std::string>& arguments) {
  auto parsed = ParseCommandLine(arguments);
  if (const auto* code = std::get_if<ExitCode>(&parsed)) {
    return *code;
  }
  const auto& line = std::get<CommandLine>(parsed);
  return PrintResult(line, Command(line).Run());
}

}  // namespace bambooquay
