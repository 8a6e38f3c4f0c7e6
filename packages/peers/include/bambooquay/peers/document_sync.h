// Keeps a process's documents at their newest versions. They are fetched from
// the platform's services, or from other processes while those are unavailable.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "bambooquay/core/documents.h"
#include "bambooquay/core/random.h"
#include "bambooquay/peers/membership.h"
#include "bambooquay/peers/node_pool.h"
#include "bambooquay/peers/poll_pacer.h"
#include "bambooquay/platform/document_repository.h"
#include "bambooquay/runtime/event_loop.h"

namespace bambooquay {

/// Polls the platform's table for the current versions, and gossips: it
/// exchanges versions with one other process at a time, chosen at random. The
/// process whose version is older fetches the newer document. A gossip peer is
/// kept for some seconds, which limits the number of connections. Neither
/// polling nor gossip costs a process more in a larger fleet.
class DocumentSync {
 public:
  DocumentSync(EventLoop& loop, DocumentRepository& repository,
               Membership& membership, NodePool& pool, DocumentSet& documents,
               RandomSource& random);

  /// Fetches the documents of which this process has an older version.
  /// @param versions  the versions that another process has.
  void FetchNewer(const DocumentVersions& versions);
  /// Does the same as FetchNewer() and reports when it is complete.
  /// @param done  is run with true once this process has `versions` or newer
  ///   ones, and with false if that takes too long.
  void CatchUp(const DocumentVersions& versions,
               std::function<void(bool)> done);
  /// @returns whether the last poll of the platform's table succeeded.
  [[nodiscard]] bool table_reachable() const noexcept {
    return m_table_reachable;
  }

 private:
  struct PendingCatchUp {
    DocumentVersions versions;
    std::function<void(bool)> done;
    TimePoint deadline;
  };

  /// Reads the current versions from the platform's table, if a poll is due.
  void Poll();
  /// Exchanges versions with the gossip peer.
  void Gossip();
  /// @returns the current gossip peer, or a new one if that has expired;
  ///   nothing if no other process is known.
  [[nodiscard]] std::optional<Endpoint> PickGossipPeer();
  void FetchFromStore(DocumentKind kind);
  void FetchFromPeer(const Endpoint& peer,
                     const DocumentVersions& peer_versions);
  /// Runs the callbacks of the pending calls of CatchUp() that are complete or
  /// past their deadline.
  void CompletePendingCatchUps();
  /// @returns whether this process has `versions` or newer ones.
  [[nodiscard]] bool HasVersions(
      const DocumentVersions& versions) const noexcept;
  void AddCall(std::unique_ptr<RpcCall> call);

  EventLoop& m_loop;
  DocumentRepository& m_repository;
  Membership& m_membership;
  NodePool& m_pool;
  DocumentSet& m_documents;
  RandomSource& m_random;
  /// Empty if another process is to be picked at the next exchange.
  std::optional<Endpoint> m_gossip_peer;
  TimePoint m_gossip_peer_expires_at{};
  bool m_table_reachable = false;
  bool m_is_polling = false;
  PollPacer m_poll_pacer;
  /// Kinds that are being fetched from the platform's object store.
  std::set<DocumentKind> m_fetching_kinds;
  std::vector<PendingCatchUp> m_pending_catch_ups;
  /// The most recent calls. Older ones are destroyed, which cancels them if
  /// they have not finished.
  std::vector<std::unique_ptr<RpcCall>> m_calls;
  std::unique_ptr<Timer> m_poll_timer;
  std::unique_ptr<Timer> m_gossip_timer;
  std::unique_ptr<Timer> m_catch_up_timer;
};

}  // namespace bambooquay
