// Default implementations, for calls that a process does not support.
#include "bambooquay/peers/node_service.h"

namespace bambooquay {

std::unique_ptr<WorkHandle> NodeService::Execute(
    const Work& /*work*/, const DocumentVersions& /*sender_versions*/,
    const std::shared_ptr<WorkSink>& sink) {
  WorkResult result;
  result.outcome = Outcome::kNotRun;
  result.refusal = Refusal::kNotReady;
  result.message = "this process runs no work";
  sink->Finish(result);
  return nullptr;
}

SettleReply NodeService::Settle(const RequestId& /*id*/,
                                const IncarnationId& /*incarnation*/) {
  return {};
}

void NodeService::Fence(std::uint64_t /*epoch*/) {}

AllowanceTransfer NodeService::AskAllowance(const AllowanceAsk& /*ask*/) {
  return {};
}

}  // namespace bambooquay
