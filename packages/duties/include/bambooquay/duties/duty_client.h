// Calls to the platform that only the holder of a duty may make.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/peers/status_messages.h"

namespace bambooquay {

/// Proves to the platform who holds a duty. A later holder has a higher token.
struct DutyGrant {
  InstanceId holder;
  std::uint64_t fencing_token = 0;

  friend bool operator==(const DutyGrant&, const DutyGrant&) = default;
};

/// Requests of each organisation that began to run in one window.
struct UsageReport {
  UsageWindow window{};
  RunCounts counts;

  friend bool operator==(const UsageReport&, const UsageReport&) = default;
};

/// Orders the number of servers of a service in one data centre.
struct ServerCountOrder {
  ServiceName service;
  DataCentreId data_centre;
  int count = 0;

  friend bool operator==(const ServerCountOrder&,
                         const ServerCountOrder&) = default;
};

enum class DutyCallResult : std::uint8_t {
  kAccepted,
  kBusy,      ///< Rejected by the platform's rate limit; not applied.
  kRejected,  ///< The platform does not accept the call; not applied.
  kNotSent,   ///< The call did not leave, so it was not applied.
  kUnknown,   ///< No response; the call may be applied, also later.
};

[[nodiscard]] std::string_view ToString(DutyCallResult result) noexcept;

/// Makes the calls. Callbacks run from the event loop; pending ones are dropped
/// when the client is destroyed.
class DutyClient {
 public:
  using Done = std::function<void(DutyCallResult)>;

  /// A call has ended or is withdrawn after this time. A grant must last as
  /// long, so that a call cannot arrive after one of the next holder.
  static constexpr Duration kCallTime = std::chrono::milliseconds(600);

  DutyClient() = default;
  DutyClient(const DutyClient&) = delete;
  DutyClient& operator=(const DutyClient&) = delete;
  virtual ~DutyClient() = default;

  virtual void ReportUsage(const DutyGrant& grant, const UsageReport& report,
                           Done done) = 0;
  virtual void OrderServerCount(const DutyGrant& grant,
                                const ServerCountOrder& order, Done done) = 0;
};

}  // namespace bambooquay
