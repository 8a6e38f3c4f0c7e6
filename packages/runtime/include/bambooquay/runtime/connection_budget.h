// Decides which connections of a server give way when all together take too
// much memory or too many file descriptors.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>

#include "bambooquay/core/clock.h"

namespace bambooquay {

class BudgetedConnection;

/// What a connection is doing, which decides whether it can give way.
enum class ConnectionPhase : std::uint8_t {
  kIdle,     ///< Waits for a request.
  kReading,  ///< Part of a request has arrived.
  kServed,   ///< The request is being served. Never gives way.
  kWriting,  ///< The response is complete and not fully written.
  kRefused,  ///< Was answered with an error and is being closed.
};

/// Why a connection gives way.
enum class YieldReason : std::uint8_t { kMemory, kDescriptors };

/// Memory and connections that a server may use.
struct ConnectionBudgetLimits {
  std::size_t max_bytes = 0;
  std::size_t max_connections = 0;
};

/// Adds up what connections take. If that is too much, the group of connections
/// that holds most for longest without progress gives way, and in it the
/// connection that does. A group is a peer's address, or its organisation once
/// that is known. A connection that makes progress is thus served while others
/// stall. Load it answers: many callers that send large requests and stop just
/// short of their end.
///
/// Invariant: after Enforce(), connections other than those whose requests are
/// being served hold no more than the limit leaves them.
///
/// @code
/// budget.Enforce();  // After a connection has read.
/// if (!budget.MayServe(connection.held())) {
///   // Refuse the request.
/// }
/// @endcode
class ConnectionBudget {
 public:
  ConnectionBudget(const Clock& clock, ConnectionBudgetLimits limits) noexcept
      : m_clock(clock), m_limits(limits) {}
  ConnectionBudget(const ConnectionBudget&) = delete;
  ConnectionBudget& operator=(const ConnectionBudget&) = delete;

  void SetLimits(ConnectionBudgetLimits limits) noexcept { m_limits = limits; }
  /// Lets connections give way until the bytes are within the limit, or none
  /// can.
  void Enforce();
  /// Lets one connection give way and free its descriptor.
  /// @returns whether one could.
  bool FreeDescriptor();
  /// @returns whether another connection is within the limit.
  [[nodiscard]] bool HasDescriptor() const noexcept {
    return m_connections.size() < m_limits.max_connections;
  }
  /// @returns whether a request that will hold `bytes` may be served now. Large
  ///   requests leave half of the limit to others.
  [[nodiscard]] bool MayServe(std::size_t bytes) const noexcept;
  /// @returns whether less than half of the limit is free.
  [[nodiscard]] bool IsShort() const noexcept {
    return m_held > m_limits.max_bytes / 2;
  }
  /// @returns whether a request arrives too slowly, which is allowed only while
  ///   there is plenty of memory.
  [[nodiscard]] bool IsTooSlow(const BudgetedConnection& connection) const;
  /// @returns the number of bytes that all connections hold.
  [[nodiscard]] std::size_t held() const noexcept { return m_held; }

 private:
  friend class BudgetedConnection;

  /// What a group of connections costs the others, while one is chosen.
  struct Group {
    std::size_t connection_count = 0;
    double cost = 0.0;
  };

  [[nodiscard]] BudgetedConnection* ChooseToYield(YieldReason reason);
  /// The same, but idle connections on which input has arrived count as reading
  /// from now on.
  [[nodiscard]] BudgetedConnection* ChooseUnused(YieldReason reason);
  /// @returns what a connection costs the others: the bytes, or the descriptor,
  ///   that it holds, times the time for which it has made no progress.
  [[nodiscard]] double Cost(const BudgetedConnection& connection,
                            YieldReason reason) const;

  const Clock& m_clock;
  ConnectionBudgetLimits m_limits;
  std::list<BudgetedConnection*> m_connections;
  std::map<std::string, Group> m_groups;
  std::size_t m_held = 0;
  /// Bytes of connections whose requests are being served.
  std::size_t m_served = 0;
  /// The part of m_served that large requests hold.
  std::size_t m_served_large = 0;
};

/// A connection that a budget counts. Must not outlive the budget.
class BudgetedConnection {
 public:
  /// @param address  of the peer, the connection's group at first.
  BudgetedConnection(ConnectionBudget& budget, std::string address);
  BudgetedConnection(const BudgetedConnection&) = delete;
  BudgetedConnection& operator=(const BudgetedConnection&) = delete;
  virtual ~BudgetedConnection();

  /// Gives up the connection's memory: enters kRefused, or destroys it. Closes
  /// it if its descriptor is needed.
  virtual void GiveWay(YieldReason reason) = 0;
  /// @returns whether input has arrived that was not read yet.
  [[nodiscard]] virtual bool HasArrivedInput() const { return false; }

  /// Charges the connection to another group.
  void SetGroup(const std::string& name);
  /// @returns the name of the connection's group.
  [[nodiscard]] const std::string& group() const noexcept {
    return m_group->first;
  }
  /// Enters a phase, which counts as progress.
  void SetPhase(ConnectionPhase phase);
  /// @param bytes  that the connection holds now.
  void SetHeld(std::size_t bytes) noexcept;
  /// @param bytes  number of payload bytes received or sent since the phase
  ///   began. A few more bytes are no progress.
  void SetProgress(std::size_t bytes) noexcept;
  [[nodiscard]] std::size_t held() const noexcept { return m_held; }

 private:
  friend class ConnectionBudget;

  using Groups = std::map<std::string, ConnectionBudget::Group>;

  void Uncount() noexcept;
  void Count() noexcept;
  void LeaveGroup();

  ConnectionBudget& m_budget;
  std::list<BudgetedConnection*>::iterator m_position;
  Groups::iterator m_group;
  ConnectionPhase m_phase = ConnectionPhase::kIdle;
  TimePoint m_phase_since;
  TimePoint m_progress_at;
  /// Payload bytes of this phase, and those at the last progress.
  std::size_t m_payload = 0;
  std::size_t m_payload_at_progress = 0;
  std::size_t m_held = 0;
};

}  // namespace bambooquay
