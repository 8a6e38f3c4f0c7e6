// Datagrams between entries and agents, in Cap'n Proto's packed encoding.
#include "bambooquay/peers/status_messages.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <type_traits>

#include "status.capnp.h"

namespace bambooquay {
namespace {

// Numbers of an engine's work beyond these are errors of the sender.
constexpr float kMaxWorkNumber = 1e9F;
constexpr int kMaxStreams = 65535;

template <typename Builder, typename Items>
void WriteTextList(Builder list, const Items& items) {
  unsigned index = 0;
  for (const auto& item : items) {
    list.set(index++, item.value().c_str());
  }
}

template <typename Item, typename Reader>
std::vector<Item> ReadTextList(Reader list) {
  std::vector<Item> items;
  items.reserve(list.size());
  for (const auto text : list) {
    items.emplace_back(Item(std::string(text.cStr(), text.size())));
  }
  return items;
}

template <typename Text>
std::string ToString(Text text) {
  return std::string(text.cStr(), text.size());
}

std::uint32_t ToMs(Duration age) {
  return static_cast<std::uint32_t>(std::max(age, Duration::zero()) /
                                    std::chrono::milliseconds(1));
}

float ToFloatMs(Duration duration) {
  return static_cast<float>(ToSeconds(duration) * 1000.0);
}

/// @returns zero for a number that is negative or too large to make sense.
Duration FromFloatMs(float milliseconds) {
  const bool is_sound = milliseconds >= 0.0F && milliseconds <= kMaxWorkNumber;
  return is_sound ? FromSeconds(milliseconds / 1000.0) : Duration::zero();
}

void WriteParts(capnp::List<std::uint64_t>::Builder to,
                const std::vector<PromptPartId>& from) {
  unsigned index = 0;
  for (const PromptPartId part : from) {
    to.set(index++, static_cast<std::uint64_t>(part));
  }
}

std::vector<PromptPartId> ReadParts(capnp::List<std::uint64_t>::Reader from) {
  std::vector<PromptPartId> parts;
  for (const std::uint64_t part : from) {
    parts.push_back(PromptPartId{part});
  }
  return parts;
}

// On the wire, 0 means nothing.
std::uint32_t ToOptionalMs(const std::optional<Duration>& time) {
  return time.has_value() ? ToMs(*time) + 1 : 0;
}

std::optional<Duration> ReadOptionalMs(std::uint32_t ms) {
  return ms == 0 ? std::nullopt
                 : std::optional<Duration>(std::chrono::milliseconds(ms - 1));
}

void Write(status::EntryStatus::Builder to, const PromptPartReports& from) {
  auto crashes = to.initPartCrashes(static_cast<unsigned>(from.crashes.size()));
  unsigned index = 0;
  for (const PartCrash& item : from.crashes) {
    auto out = crashes[index++];
    WriteParts(out.initParts(static_cast<unsigned>(item.parts.size())),
               item.parts);
    out.setUpstreamRun(item.upstream_run);
    out.setBegunAgeMs(ToMs(item.begun_age));
    out.setCrashAgeMs(ToMs(item.crash_age));
    out.setProgressMs(ToOptionalMs(item.progress));
    out.setCertain(item.is_certain);
  }
  auto survivals =
      to.initPartSurvivals(static_cast<unsigned>(from.survivals.size()));
  index = 0;
  for (const PartSurvival& item : from.survivals) {
    auto out = survivals[index++];
    out.setPart(static_cast<std::uint64_t>(item.part));
    out.setBegunAgeMs(ToMs(item.begun_age));
    out.setLastedMs(ToMs(item.lasted));
  }
  auto quarantines =
      to.initPartQuarantines(static_cast<unsigned>(from.quarantines.size()));
  index = 0;
  for (const PartQuarantine& item : from.quarantines) {
    auto out = quarantines[index++];
    out.setPart(static_cast<std::uint64_t>(item.part));
    out.setRound(static_cast<std::uint32_t>(item.round));
    out.setLastCrashAgeMs(ToMs(item.last_crash_age));
    out.setLeftMs(static_cast<std::int32_t>(item.time_left /
                                            std::chrono::milliseconds(1)));
    WriteParts(
        out.initCompanions(static_cast<unsigned>(item.companions.size())),
        item.companions);
    out.setProgressMs(ToOptionalMs(item.progress));
    out.setTrialAgeMs(ToOptionalMs(item.trial_age));
  }
}

PromptPartReports ReadPromptParts(status::EntryStatus::Reader from) {
  using std::chrono::milliseconds;
  PromptPartReports to;
  for (const auto item : from.getPartCrashes()) {
    to.crashes.push_back(
        {ReadParts(item.getParts()), item.getUpstreamRun(),
         milliseconds(item.getBegunAgeMs()), milliseconds(item.getCrashAgeMs()),
         ReadOptionalMs(item.getProgressMs()), item.getCertain()});
  }
  for (const auto item : from.getPartSurvivals()) {
    to.survivals.push_back({PromptPartId{item.getPart()},
                            milliseconds(item.getBegunAgeMs()),
                            milliseconds(item.getLastedMs())});
  }
  for (const auto item : from.getPartQuarantines()) {
    to.quarantines.push_back(
        {PromptPartId{item.getPart()}, static_cast<int>(item.getRound()),
         milliseconds(item.getLastCrashAgeMs()), milliseconds(item.getLeftMs()),
         ReadParts(item.getCompanions()), ReadOptionalMs(item.getProgressMs()),
         ReadOptionalMs(item.getTrialAgeMs())});
  }
  return to;
}

void Write(status::EntryStatus::Builder to,
           const std::vector<CallLimitReport>& from) {
  auto limits = to.initCallLimits(static_cast<unsigned>(from.size()));
  unsigned index = 0;
  for (const CallLimitReport& item : from) {
    auto out = limits[index++];
    out.setUpstream(item.run.id.value().c_str());
    out.setBornMs(item.run.started_at_ms);
    out.setPerSecond(item.limit.value_or(CallsPerSecond{}).value);
    out.setAgeMs(ToMs(item.age));
  }
}

/// @returns the limit; nothing for 0, and for values that are none.
std::optional<CallsPerSecond> ReadCallLimit(double per_second) {
  return per_second > 0.0 && std::isfinite(per_second)
             ? std::optional(CallsPerSecond{per_second})
             : std::nullopt;
}

std::vector<CallLimitReport> ReadCallLimits(status::EntryStatus::Reader from) {
  std::vector<CallLimitReport> to;
  for (const auto item : from.getCallLimits()) {
    to.push_back({{UpstreamId(ToString(item.getUpstream())), item.getBornMs()},
                  ReadCallLimit(item.getPerSecond()),
                  std::chrono::milliseconds(item.getAgeMs())});
  }
  return to;
}

void Write(status::EntryStatus::Builder to,
           const std::vector<StreamVersionReport>& from) {
  auto versions = to.initStreamVersions(static_cast<unsigned>(from.size()));
  unsigned index = 0;
  for (const StreamVersionReport& item : from) {
    auto out = versions[index++];
    out.setService(item.service.value().c_str());
    out.setVersion(item.version.value().c_str());
    out.setListedAgeMs(ToMs(item.listed_age));
    out.setSharedAgeMs(ToOptionalMs(item.shared_age));
    auto streams = out.initStreams(static_cast<unsigned>(item.streams.size()));
    unsigned position = 0;
    for (const StreamKey stream : item.streams) {
      streams.set(position++, stream.value);
    }
  }
}

std::vector<StreamVersionReport> ReadStreamVersions(
    status::EntryStatus::Reader from) {
  std::vector<StreamVersionReport> to;
  for (const auto item : from.getStreamVersions()) {
    StreamVersionReport report;
    report.service = ServiceName(ToString(item.getService()));
    report.version = SoftwareVersion(ToString(item.getVersion()));
    report.listed_age = std::chrono::milliseconds(item.getListedAgeMs());
    report.shared_age = ReadOptionalMs(item.getSharedAgeMs());
    for (const std::uint64_t stream : item.getStreams()) {
      report.streams.push_back({stream});
    }
    to.push_back(std::move(report));
  }
  return to;
}

void Write(status::EntryStatus::Builder to, const EntryStatus& from) {
  Write(to, from.prompt_parts);
  Write(to, from.call_limits);
  Write(to, from.stream_versions);
  to.setLeaving(from.leaving);
  to.setConfiguration(from.configuration);
  to.setOperatorsVersion(from.operators_version);
  to.setStreamRoutes(from.stream_routes);
  to.setUptimeSeconds(ToSeconds(from.uptime));
  to.setDataCentre(from.data_centre.value().c_str());
  auto spending = to.initSpending(static_cast<unsigned>(from.spent.size()));
  unsigned index = 0;
  for (const auto& [organisation, tokens] : from.spent) {
    spending[index].setOrganisation(organisation.value().c_str());
    spending[index++].setTokens(tokens.count);
  }
  auto demand = to.initDemand(static_cast<unsigned>(from.demand.size()));
  index = 0;
  for (const ModelDemand& item : from.demand) {
    auto out = demand[index++];
    out.setService(item.service.value().c_str());
    out.setModel(item.model.value().c_str());
    out.setRequestsPerSecond(static_cast<float>(item.requests_per_second));
    out.setPromptTokensPerSecond(
        static_cast<float>(item.prompt_tokens_per_second));
    out.setReadingRate(static_cast<float>(item.reading_rate));
  }
}

EntryStatus Read(status::EntryStatus::Reader from) {
  EntryStatus to;
  to.leaving = from.getLeaving();
  to.configuration = from.getConfiguration();
  to.operators_version = from.getOperatorsVersion();
  to.stream_routes = from.getStreamRoutes();
  to.prompt_parts = ReadPromptParts(from);
  to.call_limits = ReadCallLimits(from);
  to.stream_versions = ReadStreamVersions(from);
  to.uptime = FromSeconds(from.getUptimeSeconds());
  to.data_centre = DataCentreId(ToString(from.getDataCentre()));
  for (const auto item : from.getSpending()) {
    to.spent[OrganisationId(ToString(item.getOrganisation()))] = {
        item.getTokens()};
  }
  for (const auto item : from.getDemand()) {
    to.demand.push_back(
        {ServiceName(ToString(item.getService())),
         ModelName(ToString(item.getModel())), item.getRequestsPerSecond(),
         item.getPromptTokensPerSecond(), item.getReadingRate()});
  }
  return to;
}

void Write(status::EngineTarget::Builder to, const EngineTarget& from) {
  to.setUpstream(from.upstream.value().c_str());
  to.setPlanned(from.models.has_value());
  to.setReportPeriodMs(static_cast<std::uint32_t>(
      from.report_period / std::chrono::milliseconds(1)));
  if (from.models.has_value()) {
    WriteTextList(to.initModels(static_cast<unsigned>(from.models->size())),
                  *from.models);
  }
}

EngineTarget Read(status::EngineTarget::Reader from) {
  EngineTarget to;
  to.upstream = UpstreamId(ToString(from.getUpstream()));
  to.report_period = std::chrono::milliseconds(from.getReportPeriodMs());
  if (from.getPlanned()) {
    to.models = ReadTextList<ModelName>(from.getModels());
  }
  return to;
}

void Write(status::EngineWork::Builder to, const EngineWork& from) {
  to.setPromptTokensPerMs(static_cast<float>(from.prompt_tokens_per_ms));
  to.setEventIntervalMs(ToFloatMs(from.event_interval));
  to.setUnreadTokens(static_cast<float>(from.unread_prompt_tokens));
  to.setStreams(
      static_cast<std::uint16_t>(std::clamp(from.streams, 0, kMaxStreams)));
  to.setSlowness(static_cast<float>(from.slowness));
  to.setWaitingTokens(static_cast<float>(from.waiting_prompt_tokens));
  to.setMemoryTokens(static_cast<float>(from.memory_tokens));
}

void Write(capnp::List<status::PromptPrefix>::Builder to,
           const std::vector<AnnouncedPrefix>& from) {
  unsigned index = 0;
  for (const AnnouncedPrefix& prefix : from) {
    to[index].setHash(prefix.hash);
    to[index++].setTokens(prefix.tokens);
  }
}

std::vector<AnnouncedPrefix> Read(
    capnp::List<status::PromptPrefix>::Reader from) {
  std::vector<AnnouncedPrefix> to;
  to.reserve(from.size());
  for (const auto prefix : from) {
    to.push_back({prefix.getHash(), prefix.getTokens()});
  }
  return to;
}

/// @returns nothing if a number makes no sense.
std::optional<EngineWork> Read(status::EngineWork::Reader from) {
  const std::array<float, 6> numbers = {
      from.getPromptTokensPerMs(), from.getEventIntervalMs(),
      from.getUnreadTokens(),      from.getWaitingTokens(),
      from.getSlowness(),          from.getMemoryTokens()};
  const bool is_sound = std::ranges::all_of(numbers, [](float number) {
    return number >= 0.0F && number <= kMaxWorkNumber;
  });
  if (!is_sound) {
    return std::nullopt;
  }
  return EngineWork{.prompt_tokens_per_ms = from.getPromptTokensPerMs(),
                    .event_interval = FromFloatMs(from.getEventIntervalMs()),
                    .unread_prompt_tokens = from.getUnreadTokens(),
                    .waiting_prompt_tokens = from.getWaitingTokens(),
                    .streams = from.getStreams(),
                    .slowness = from.getSlowness(),
                    .memory_tokens = from.getMemoryTokens()};
}

void Write(status::EngineStatus::Builder to, const EngineStatus& from) {
  const EngineReport& report = from.report;
  to.setUpstream(from.upstream.value().c_str());
  to.setBornMs(report.started_at_ms);
  to.setBusy(report.busy);
  to.setDraining(report.draining);
  to.setRunning(static_cast<std::uint32_t>(std::max(0, report.running)));
  to.setWaiting(static_cast<std::uint32_t>(std::max(0, report.waiting)));
  to.setKvUsed(report.kv_used);
  to.setLists(from.lists_version);
  to.setBrief(from.omits_lists);
  if (from.work.has_value()) {
    auto work = to.initWork();
    Write(work, *from.work);
    Write(
        work.initReadPrefixes(static_cast<unsigned>(from.read_prefixes.size())),
        from.read_prefixes);
  }
  if (from.omits_lists) {
    return;
  }
  auto models = to.initModels(static_cast<unsigned>(report.models.size()));
  unsigned index = 0;
  for (const LoadedModel& model : report.models) {
    auto out = models[index++];
    out.setName(model.name.value().c_str());
    WriteTextList(
        out.initAdapters(static_cast<unsigned>(model.adapters.size())),
        model.adapters);
  }
  WriteTextList(to.initOnDisk(static_cast<unsigned>(report.on_disk.size())),
                report.on_disk);
  WriteTextList(
      to.initInHostMemory(static_cast<unsigned>(report.in_host_memory.size())),
      report.in_host_memory);
}

EngineStatus Read(status::EngineStatus::Reader from) {
  EngineStatus to;
  to.upstream = UpstreamId(ToString(from.getUpstream()));
  to.lists_version = from.getLists();
  to.omits_lists = from.getBrief();
  EngineReport& report = to.report;
  report.started_at_ms = from.getBornMs();
  report.busy = from.getBusy();
  report.draining = from.getDraining();
  report.running = static_cast<int>(from.getRunning());
  report.waiting = static_cast<int>(from.getWaiting());
  report.kv_used = from.getKvUsed();
  for (const auto model : from.getModels()) {
    report.models.push_back({ModelName(ToString(model.getName())),
                             ReadTextList<AdapterName>(model.getAdapters())});
  }
  report.on_disk = ReadTextList<ModelName>(from.getOnDisk());
  report.in_host_memory = ReadTextList<ModelName>(from.getInHostMemory());
  if (from.hasWork()) {
    to.work = Read(from.getWork());
    to.read_prefixes = Read(from.getWork().getReadPrefixes());
  }
  return to;
}

void Write(status::AdapterRequest::Builder to, const AdapterRequest& from) {
  to.setNumber(from.request_id);
  to.setUpstream(from.upstream.value().c_str());
  to.setModel(from.model.value().c_str());
  to.setAdapter(from.adapter.value().c_str());
}

AdapterRequest Read(status::AdapterRequest::Reader from) {
  return {from.getNumber(), UpstreamId(ToString(from.getUpstream())),
          ModelName(ToString(from.getModel())),
          AdapterName(ToString(from.getAdapter()))};
}

void Write(status::AdapterReply::Builder to, const AdapterReply& from) {
  to.setNumber(from.request_id);
  to.setLoaded(from.loaded);
}

AdapterReply Read(status::AdapterReply::Reader from) {
  return {from.getNumber(), from.getLoaded()};
}

void Write(status::PermitRequest::Builder to, const PermitRequest& from) {
  to.setNumber(from.request_id);
  to.setUpstream(from.upstream.value().c_str());
  to.setWarm(!from.bounds.is_cold);
  to.setCallLimit(from.bounds.call_limit.value_or(CallsPerSecond{}).value);
}

PermitRequest Read(status::PermitRequest::Reader from) {
  return {from.getNumber(),
          UpstreamId(ToString(from.getUpstream())),
          {!from.getWarm(), ReadCallLimit(from.getCallLimit())}};
}

void Write(status::PermitReply::Builder to, const PermitReply& from) {
  to.setNumber(from.request_id);
  to.setGranted(from.granted);
  to.setWaitSeconds(ToSeconds(from.wait));
}

PermitReply Read(status::PermitReply::Reader from) {
  return {from.getNumber(), from.getGranted(),
          FromSeconds(from.getWaitSeconds())};
}

void Write(status::RoomRequest::Builder to, const RoomRequest& from) {
  to.setNumber(from.request_id);
  to.setUpstream(from.upstream.value().c_str());
  to.setCall(from.call.value().c_str());
  to.setOrganisation(from.organisation.value().c_str());
  to.setPromptTokens(from.prompt_tokens);
  to.setUnreadTokens(from.unread_tokens);
  to.setOutputTokens(from.output_tokens);
  to.setPriority(static_cast<std::uint8_t>(std::clamp(from.priority, 0, 255)));
  to.setTargetWaitMs(ToMs(from.target_wait));
  to.setMaxWaitMs(ToMs(from.max_wait));
  Write(to.initPrompt(static_cast<unsigned>(from.prompt.size())), from.prompt);
}

RoomRequest Read(status::RoomRequest::Reader from) {
  RoomRequest to;
  to.request_id = from.getNumber();
  to.upstream = UpstreamId(ToString(from.getUpstream()));
  to.call = RequestId(ToString(from.getCall()));
  to.prompt_tokens = from.getPromptTokens();
  to.unread_tokens = from.getUnreadTokens();
  to.output_tokens = from.getOutputTokens();
  to.priority = from.getPriority();
  to.organisation = OrganisationId(ToString(from.getOrganisation()));
  to.target_wait = std::chrono::milliseconds(from.getTargetWaitMs());
  to.max_wait = std::chrono::milliseconds(from.getMaxWaitMs());
  to.prompt = Read(from.getPrompt());
  return to;
}

void Write(status::RoomReply::Builder to, const RoomReply& from) {
  to.setNumber(from.request_id);
  to.setGranted(from.granted);
  to.setWaitMs(ToFloatMs(from.wait));
  to.setQueued(from.queued);
}

RoomReply Read(status::RoomReply::Reader from) {
  return {from.getNumber(), from.getGranted(), FromFloatMs(from.getWaitMs()),
          from.getQueued()};
}

void Write(status::RoomRelease::Builder to, const RoomRelease& from) {
  to.setUpstream(from.upstream.value().c_str());
  to.setCall(from.call.value().c_str());
  to.setBegun(from.begun);
}

RoomRelease Read(status::RoomRelease::Reader from) {
  return {UpstreamId(ToString(from.getUpstream())),
          RequestId(ToString(from.getCall())), from.getBegun()};
}

void Write(status::DutyNotice::Builder to, const DutyNotice& from) {
  to.setFencingToken(from.lease.fencing_token);
  to.setRowVersion(from.lease.row_version);
  to.setReleased(from.lease.released);
  to.setSettledThrough(static_cast<std::uint64_t>(from.settled_through));
}

DutyNotice Read(status::DutyNotice::Reader from) {
  return {{from.getFencingToken(), from.getRowVersion(), from.getReleased()},
          UsageWindow{from.getSettledThrough()}};
}

void Write(status::UsageCounts::Builder to, const UsageCounts& from) {
  to.setWindow(static_cast<std::uint64_t>(from.window));
  to.setFinal(from.is_final);
  auto counts = to.initCounts(static_cast<unsigned>(from.counts.size()));
  unsigned index = 0;
  for (const auto& [organisation, count] : from.counts) {
    counts[index].setOrganisation(organisation.value().c_str());
    counts[index++].setCount(static_cast<std::uint32_t>(count));
  }
}

UsageCounts Read(status::UsageCounts::Reader from) {
  UsageCounts to{UsageWindow{from.getWindow()}, from.getFinal(), {}};
  for (const auto item : from.getCounts()) {
    to.counts[OrganisationId(ToString(item.getOrganisation()))] =
        item.getCount();
  }
  return to;
}

void Write(status::UsageReceipt::Builder to, const UsageReceipt& from) {
  to.setWindow(static_cast<std::uint64_t>(from.window));
  to.setFencingToken(from.fencing_token);
}

UsageReceipt Read(status::UsageReceipt::Reader from) {
  return {UsageWindow{from.getWindow()}, from.getFencingToken()};
}

std::optional<StatusMessage> ReadMessage(status::Message::Reader from) {
  StatusMessage message;
  message.sender = InstanceId(ToString(from.getSender()));
  message.incarnation = from.getIncarnation();
  switch (from.which()) {
    case status::Message::ENTRY:
      message.body = Read(from.getEntry());
      return message;
    case status::Message::TARGET:
      message.body = Read(from.getTarget());
      return message;
    case status::Message::ENGINE:
      message.body = Read(from.getEngine());
      return message;
    case status::Message::ADAPTER_REQUEST:
      message.body = Read(from.getAdapterRequest());
      return message;
    case status::Message::ADAPTER_REPLY:
      message.body = Read(from.getAdapterReply());
      return message;
    case status::Message::PERMIT_REQUEST:
      message.body = Read(from.getPermitRequest());
      return message;
    case status::Message::PERMIT_REPLY:
      message.body = Read(from.getPermitReply());
      return message;
    case status::Message::ROOM_REQUEST:
      message.body = Read(from.getRoomRequest());
      return message;
    case status::Message::ROOM_REPLY:
      message.body = Read(from.getRoomReply());
      return message;
    case status::Message::ROOM_RELEASE:
      message.body = Read(from.getRoomRelease());
      return message;
    case status::Message::DUTY_NOTICE:
      message.body = Read(from.getDutyNotice());
      return message;
    case status::Message::USAGE_COUNTS:
      message.body = Read(from.getUsageCounts());
      return message;
    case status::Message::USAGE_RECEIPT:
      message.body = Read(from.getUsageReceipt());
      return message;
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeStatus(const StatusMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<status::Message>();
  root.setSender(message.sender.value().c_str());
  root.setIncarnation(message.incarnation);
  std::visit(
      [&](const auto& body) {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<Body, EntryStatus>) {
          Write(root.initEntry(), body);
        } else if constexpr (std::is_same_v<Body, EngineTarget>) {
          Write(root.initTarget(), body);
        } else if constexpr (std::is_same_v<Body, EngineStatus>) {
          Write(root.initEngine(), body);
        } else if constexpr (std::is_same_v<Body, AdapterRequest>) {
          Write(root.initAdapterRequest(), body);
        } else if constexpr (std::is_same_v<Body, AdapterReply>) {
          Write(root.initAdapterReply(), body);
        } else if constexpr (std::is_same_v<Body, PermitRequest>) {
          Write(root.initPermitRequest(), body);
        } else if constexpr (std::is_same_v<Body, PermitReply>) {
          Write(root.initPermitReply(), body);
        } else if constexpr (std::is_same_v<Body, RoomRequest>) {
          Write(root.initRoomRequest(), body);
        } else if constexpr (std::is_same_v<Body, RoomReply>) {
          Write(root.initRoomReply(), body);
        } else if constexpr (std::is_same_v<Body, RoomRelease>) {
          Write(root.initRoomRelease(), body);
        } else if constexpr (std::is_same_v<Body, DutyNotice>) {
          Write(root.initDutyNotice(), body);
        } else if constexpr (std::is_same_v<Body, UsageCounts>) {
          Write(root.initUsageCounts(), body);
        } else {
          Write(root.initUsageReceipt(), body);
        }
      },
      message.body);
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, builder);
  const auto bytes = output.getArray();
  return std::string(reinterpret_cast<const char*>(bytes.begin()),
                     bytes.size());
}

std::optional<StatusMessage> DecodeStatus(std::string_view bytes) {
  std::optional<StatusMessage> message;
  const auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream input(kj::ArrayPtr<const kj::byte>(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader reader(input);
    message = ReadMessage(reader.getRoot<status::Message>());
  });
  return failure == nullptr ? message : std::nullopt;
}

}  // namespace bambooquay
