// Conversions between the structs of peer.capnp and the C++ types for them.
#pragma once

#include <string>

#include "bambooquay/core/allowance_messages.h"
#include "bambooquay/core/documents.h"
#include "bambooquay/core/work.h"
#include "peer.capnp.h"

namespace bambooquay {

[[nodiscard]] inline std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}
[[nodiscard]] inline std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}
[[nodiscard]] inline capnp::Data::Reader ToData(std::string_view bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

void Write(const DocumentVersions& versions, rpc::Versions::Builder out);
void Write(const Work& work, rpc::Work::Builder out);
void Write(const WorkResult& result, rpc::Result::Builder out);
void Write(const AllowanceAsk& ask, rpc::AllowanceAsk::Builder out);
void Write(const AllowanceTransfer& transfer, rpc::Transfer::Builder out);

// An unknown enumeration value can only come from a peer of a newer release. It
// is read as the most conservative enumerator.
[[nodiscard]] DocumentVersions Read(rpc::Versions::Reader in);
[[nodiscard]] Work Read(rpc::Work::Reader in);
[[nodiscard]] WorkResult Read(rpc::Result::Reader in);
[[nodiscard]] AllowanceAsk Read(rpc::AllowanceAsk::Reader in);
[[nodiscard]] AllowanceTransfer Read(rpc::Transfer::Reader in);

}  // namespace bambooquay
