// Conversions between the structs of peer.capnp and the C++ types for them.
#include "conversions.h"

#include <algorithm>

namespace bambooquay {
namespace {

template <typename Enum>
Enum ReadEnum(std::uint8_t value, Enum last, Enum fallback) {
  return value <= static_cast<std::uint8_t>(last) ? static_cast<Enum>(value)
                                                  : fallback;
}

}  // namespace

void Write(const DocumentVersions& versions, rpc::Versions::Builder out) {
  auto numbers = out.initNumbers(kDocumentKindCount);
  for (const DocumentKind kind : kAllDocumentKinds) {
    numbers.set(static_cast<unsigned>(kind), versions[kind]);
  }
}

DocumentVersions Read(rpc::Versions::Reader in) {
  DocumentVersions versions;
  const auto numbers = in.getNumbers();
  const std::size_t count =
      std::min<std::size_t>(numbers.size(), kDocumentKindCount);
  for (std::size_t i = 0; i < count; ++i) {
    versions.numbers[i] = numbers[static_cast<unsigned>(i)];
  }
  return versions;
}

void Write(const Work& work, rpc::Work::Builder out) {
  out.setId(work.id.value());
  out.setOrganisation(work.organisation.value());
  out.setKey(work.key.value());
  out.setService(work.service.value());
  out.setModel(work.model.value());
  out.setAdapter(work.adapter.value());
  out.setMethod(work.method);
  out.setTarget(work.target);
  out.setContentType(work.content_type);
  out.setBody(ToData(work.body));
  out.setTraceparent(work.traceparent);
  out.setPriority(static_cast<std::uint8_t>(work.priority));
  out.setTimeLeftNs(work.time_left.count());
  out.setIdempotent(work.idempotent);
  out.setAllowanceEpoch(work.allowance_epoch);
  out.setReservedTokens(work.reserved.count);
  out.setAgent(work.agent.value());
}

Work Read(rpc::Work::Reader in) {
  Work work;
  work.id = RequestId(ToString(in.getId()));
  work.organisation = OrganisationId(ToString(in.getOrganisation()));
  work.key = KeyDigest(ToString(in.getKey()));
  work.service = ServiceName(ToString(in.getService()));
  work.model = ModelName(ToString(in.getModel()));
  work.adapter = AdapterName(ToString(in.getAdapter()));
  work.method = ToString(in.getMethod());
  work.target = ToString(in.getTarget());
  work.content_type = ToString(in.getContentType());
  work.body = ToString(in.getBody());
  work.traceparent = ToString(in.getTraceparent());
  work.priority =
      ReadEnum(in.getPriority(), Priority::kBatch, Priority::kBatch);
  work.time_left = Duration(in.getTimeLeftNs());
  work.idempotent = in.getIdempotent();
  work.allowance_epoch = in.getAllowanceEpoch();
  work.reserved = Tokens{in.getReservedTokens()};
  work.agent = IncarnationId(ToString(in.getAgent()));
  return work;
}

void Write(const WorkResult& result, rpc::Result::Builder out) {
  out.setOutcome(static_cast<std::uint8_t>(result.outcome));
  out.setRefusal(static_cast<std::uint8_t>(result.refusal));
  out.setMessage(result.message);
  out.setUsedTokens(result.used.count);
  out.setRetryAfterNs(result.retry_after.count());
  out.setInFlight(result.load.in_flight);
  out.setQueued(result.load.queued);
  out.setLimit(result.load.limit);
}

WorkResult Read(rpc::Result::Reader in) {
  WorkResult result;
  result.outcome =
      ReadEnum(in.getOutcome(), Outcome::kUnknown, Outcome::kUnknown);
  result.refusal =
      ReadEnum(in.getRefusal(), Refusal::kNotReady, Refusal::kNotReady);
  result.message = ToString(in.getMessage());
  result.used = Tokens{in.getUsedTokens()};
  result.retry_after = Duration(in.getRetryAfterNs());
  result.load = {in.getInFlight(), in.getQueued(), in.getLimit()};
  return result;
}

void Write(const AllowanceAsk& ask, rpc::AllowanceAsk::Builder out) {
  out.setOrganisation(ask.organisation.value());
  out.setAsker(ask.asker.value());
  out.setEpoch(ask.epoch);
  out.setLastApplied(ask.last_applied);
  out.setNeed(ask.need.count);
  out.setDemand(ask.demand.value);
  out.setHeld(ask.held);
  out.setGiver(ask.giver.value());
}

AllowanceAsk Read(rpc::AllowanceAsk::Reader in) {
  AllowanceAsk ask;
  ask.organisation = OrganisationId(ToString(in.getOrganisation()));
  ask.asker = IncarnationId(ToString(in.getAsker()));
  ask.epoch = in.getEpoch();
  ask.last_applied = in.getLastApplied();
  ask.need = Tokens{in.getNeed()};
  ask.demand = TokensPerSecond{in.getDemand()};
  ask.held = in.getHeld();
  ask.giver = IncarnationId(ToString(in.getGiver()));
  return ask;
}

void Write(const AllowanceTransfer& transfer, rpc::Transfer::Builder out) {
  out.setSequence(transfer.sequence);
  out.setEpoch(transfer.epoch);
  out.setFraction(transfer.fraction);
  out.setLevel(transfer.level.count);
  out.setGiver(transfer.giver.value());
}

AllowanceTransfer Read(rpc::Transfer::Reader in) {
  return {in.getSequence(), in.getEpoch(),
          IncarnationId(ToString(in.getGiver())), in.getFraction(),
          Tokens{in.getLevel()}};
}

}  // namespace bambooquay
