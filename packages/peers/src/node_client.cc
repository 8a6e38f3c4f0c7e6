// A connection to another process, over Cap'n Proto RPC. Callbacks are run from
// the libevent loop and never within a kj continuation, so that a callback may
// destroy its own call.
#include "bambooquay/peers/node_client.h"

#include <capnp/rpc-twoparty.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "bambooquay/peers/peer_runtime.h"
#include "bambooquay/runtime/event_loop.h"
#include "bufferevent_stream.h"
#include "conversions.h"

namespace bambooquay {
namespace {

constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(400);
constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(1400);

/// State that a connection shares with its calls.
struct ConnectionState {
  std::size_t outstanding_calls = 0;
};

/// Counts a call as outstanding during its own lifetime.
class OutstandingCallGuard {
 public:
  explicit OutstandingCallGuard(std::shared_ptr<ConnectionState> state)
      : m_state(std::move(state)) {
    ++m_state->outstanding_calls;
  }
  OutstandingCallGuard(const OutstandingCallGuard&) = delete;
  OutstandingCallGuard& operator=(const OutstandingCallGuard&) = delete;
  ~OutstandingCallGuard() { --m_state->outstanding_calls; }

 private:
  std::shared_ptr<ConnectionState> m_state;
};

/// A call with one reply.
template <typename Reply>
class UnaryCall final : public RpcCall {
 public:
  using Callback = std::function<void(RpcResult<Reply>)>;

  UnaryCall(EventLoop& loop, std::shared_ptr<ConnectionState> state,
            Callback done, kj::Promise<RpcResult<Reply>> promise)
      : m_outstanding_guard(std::move(state)),
        m_done(std::make_shared<Callback>(std::move(done))),
        m_task(promise
                   .then([&loop, weak = std::weak_ptr<Callback>(m_done)](
                             RpcResult<Reply> result) {
                     loop.Post([weak, result = std::move(result)]() mutable {
                       if (const auto done = weak.lock()) {
                         (*done)(std::move(result));
                       }
                     });
                   })
                   .eagerlyEvaluate(nullptr)) {}

  ~UnaryCall() noexcept override {}

 private:
  OutstandingCallGuard m_outstanding_guard;
  std::shared_ptr<Callback> m_done;
  kj::Promise<void> m_task;
};

/// State of one Execute call. The sink has only a weak pointer to it, as the
/// agent may still use the sink after the call was destroyed.
struct ExecuteState {
  EventLoop& loop;
  WorkObserver& observer;
  std::uint64_t received_parts = 0;
  /// Set when the result has been received. It is passed to the observer after
  /// all parts of the response.
  std::optional<RpcResult<WorkResult>> result;
  std::uint64_t expected_parts = 0;
  bool is_delivered = false;

  void DeliverIfComplete() {
    if (!result.has_value() || is_delivered ||
        received_parts < expected_parts) {
      return;
    }
    is_delivered = true;
    const RpcResult<WorkResult> final_result = std::move(*result);
    observer.OnResult(final_result);
  }
};

/// Receives the head and the parts of the response of one Execute call.
class ResponseSinkServer final : public rpc::ResponseSink::Server {
 public:
  ResponseSinkServer(EventLoop& loop, std::weak_ptr<ExecuteState> state)
      : m_loop(loop), m_state(std::move(state)) {}

  kj::Promise<void> head(HeadContext context) override {
    const int status = context.getParams().getStatus();
    std::string content_type = ToString(context.getParams().getContentType());
    m_loop.Post(
        [weak = m_state, status, content_type = std::move(content_type)] {
          if (const auto state = weak.lock()) {
            ++state->received_parts;
            state->observer.OnHead(status, content_type);
            state->DeliverIfComplete();
          }
        });
    return kj::READY_NOW;
  }

  kj::Promise<void> part(PartContext context) override {
    auto paf = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
        kj::mv(paf.fulfiller));
    m_loop.Post([weak = m_state, fulfiller,
                 bytes = ToString(context.getParams().getBytes())] {
      const auto state = weak.lock();
      if (state == nullptr) {
        (*fulfiller)->fulfill();
        return;
      }
      ++state->received_parts;
      state->observer.OnPart(bytes, [fulfiller] { (*fulfiller)->fulfill(); });
      state->DeliverIfComplete();
    });
    return kj::mv(paf.promise);
  }

 private:
  EventLoop& m_loop;
  std::weak_ptr<ExecuteState> m_state;
};

class ExecuteCall final : public RpcCall {
 public:
  ExecuteCall(std::shared_ptr<ConnectionState> connection,
              std::shared_ptr<ExecuteState> state, kj::Promise<void> task)
      : m_outstanding_guard(std::move(connection)),
        m_state(std::move(state)),
        m_task(kj::mv(task)) {}

  ~ExecuteCall() noexcept override {}

 private:
  OutstandingCallGuard m_outstanding_guard;
  std::shared_ptr<ExecuteState> m_state;
  kj::Promise<void> m_task;
};

class RpcNodeClient final : public NodeClient {
 public:
  RpcNodeClient(EventLoop& loop, BuffereventPtr stream)
      : m_loop(loop),
        m_state(std::make_shared<ConnectionState>()),
        m_stream(std::move(stream)),
        m_network(m_stream, capnp::rpc::twoparty::Side::CLIENT),
        m_system(capnp::makeRpcClient(m_network)),
        m_node(Bootstrap()),
        m_last_reply_at(loop.clock().Now()),
        m_heartbeat_timer(
            loop.Every(kHeartbeatPeriod, [this] { CheckHeartbeat(); })),
        m_disconnect_task(m_network.onDisconnect()
                              .then([this] { m_failed = true; })
                              .eagerlyEvaluate(nullptr)) {}

  ~RpcNodeClient() noexcept override {}

  [[nodiscard]] bool failed() const noexcept override { return m_failed; }
  [[nodiscard]] bool idle() const noexcept override {
    return m_state->outstanding_calls == 0;
  }

  std::unique_ptr<RpcCall> Exchange(
      const DocumentVersions& sender_versions,
      std::function<void(RpcResult<ExchangeReply>)> done) override {
    auto request = m_node.exchangeRequest();
    Write(sender_versions, request.initKnown());
    return StartCall<ExchangeReply>(
        request.send(), std::move(done), [](auto&& reply) {
          return ExchangeReply{Read(reply.getKnown()),
                               IncarnationId(ToString(reply.getIncarnation())),
                               Read(reply.getLoad()).load};
        });
  }

  std::unique_ptr<RpcCall> FetchDocument(
      DocumentKind kind,
      std::function<void(RpcResult<Document>)> done) override {
    auto request = m_node.fetchDocumentRequest();
    request.setKind(static_cast<std::uint8_t>(kind));
    return StartCall<Document>(
        request.send(), std::move(done), [kind](auto&& reply) {
          return Document{kind, reply.getVersion(), ToString(reply.getText())};
        });
  }

  std::unique_ptr<RpcCall> Execute(const Work& work,
                                   const DocumentVersions& sender_versions,
                                   WorkObserver& observer) override {
    auto state = std::make_shared<ExecuteState>(
        ExecuteState{m_loop, observer, 0, std::nullopt, 0, false});
    auto request = m_node.executeRequest();
    Write(work, request.initWork());
    Write(sender_versions, request.initKnown());
    request.setSink(kj::heap<ResponseSinkServer>(m_loop, state));
    const bool already_failed = m_failed;
    auto task =
        request.send()
            .then(
                [weak = std::weak_ptr<ExecuteState>(state)](auto&& reply) {
                  SetResult(weak, Read(reply.getResult()), reply.getParts());
                },
                [this, already_failed,
                 weak = std::weak_ptr<ExecuteState>(state)](
                    kj::Exception&& exception) {
                  SetResult(weak, MakeFailure(exception, already_failed), 0);
                })
            .eagerlyEvaluate(nullptr);
    return std::make_unique<ExecuteCall>(m_state, std::move(state),
                                         kj::mv(task));
  }

  std::unique_ptr<RpcCall> Settle(
      const RequestId& id, const IncarnationId& incarnation,
      std::function<void(RpcResult<SettleReply>)> done) override {
    auto request = m_node.settleRequest();
    request.setId(id.value());
    request.setIncarnation(incarnation.value());
    return StartCall<SettleReply>(
        request.send(), std::move(done), [](auto&& reply) {
          const std::uint8_t state = reply.getState();
          constexpr auto kLast =
              static_cast<std::uint8_t>(AttemptState::kIndeterminate);
          return SettleReply{state <= kLast ? static_cast<AttemptState>(state)
                                            : AttemptState::kIndeterminate,
                             Read(reply.getResult()), reply.getStatus(),
                             ToString(reply.getContentType()),
                             ToString(reply.getBody())};
        });
  }

  std::unique_ptr<RpcCall> Fence(
      std::uint64_t epoch, std::function<void(RpcResult<bool>)> done) override {
    auto request = m_node.fenceRequest();
    request.setEpoch(epoch);
    return StartCall<bool>(request.send(), std::move(done),
                           [](auto&&) { return true; });
  }

  std::unique_ptr<RpcCall> AskAllowance(
      const AllowanceAsk& ask,
      std::function<void(RpcResult<AllowanceTransfer>)> done) override {
    auto request = m_node.askAllowanceRequest();
    Write(ask, request.initAsk());
    return StartCall<AllowanceTransfer>(
        request.send(), std::move(done),
        [](auto&& reply) { return Read(reply.getTransfer()); });
  }

 private:
  rpc::Node::Client Bootstrap() {
    capnp::MallocMessageBuilder message;
    auto vat_id = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat_id.setSide(capnp::rpc::twoparty::Side::SERVER);
    return m_system.bootstrap(vat_id).castAs<rpc::Node>();
  }

  // Makes a call from the promise of its reply. Both a reply and an exception
  // become an RpcResult.
  template <typename Reply, typename Promise, typename Convert>
  std::unique_ptr<RpcCall> StartCall(Promise&& promise,
                                     std::function<void(RpcResult<Reply>)> done,
                                     Convert convert) {
    const bool already_failed = m_failed;
    auto result = promise.then(
        [convert = std::move(convert)](auto&& reply) {
          return RpcResult<Reply>(convert(reply));
        },
        [this, already_failed](kj::Exception&& exception) {
          return RpcResult<Reply>(MakeFailure(exception, already_failed));
        });
    return std::make_unique<UnaryCall<Reply>>(m_loop, m_state, std::move(done),
                                              kj::mv(result));
  }

  // A request has certainly not been sent if the connection had failed before
  // or was never established.
  [[nodiscard]] RpcFailure MakeFailure(const kj::Exception& exception,
                                       bool already_failed) const {
    return {exception.getDescription().cStr(),
            already_failed || !m_stream.connected()};
  }

  /// Records the result of an Execute call.
  /// @param parts  number of calls that the agent has made on the sink.
  static void SetResult(const std::weak_ptr<ExecuteState>& weak,
                        RpcResult<WorkResult> result, std::uint64_t parts) {
    const auto state = weak.lock();
    if (state == nullptr) {
      return;
    }
    state->result = std::move(result);
    state->expected_parts = parts;
    state->loop.Post([weak] {
      if (const auto execute_state = weak.lock()) {
        execute_state->DeliverIfComplete();
      }
    });
  }

  // Sends the next heartbeat. Closes the connection if the last reply is too
  // long ago.
  void CheckHeartbeat() {
    const TimePoint now = m_loop.clock().Now();
    if (m_state->outstanding_calls == (m_heartbeat_call == nullptr ? 0U : 1U) ||
        m_failed) {
      // No call except possibly the heartbeat itself is outstanding.
      m_heartbeat_call = nullptr;
      m_last_reply_at = now;
      return;
    }
    // Without a heartbeat that it could reply to, the peer is not silent.
    const TimePoint silent_since =
        std::max(m_last_reply_at, m_heartbeat_at - kHeartbeatPeriod);
    if (m_heartbeat_call != nullptr &&
        m_loop.input_clock().Now() - silent_since > kHeartbeatTimeout) {
      m_failed = true;
      m_stream.Fail("the peer is silent");
      return;
    }
    if (m_heartbeat_call == nullptr) {
      m_heartbeat_at = now;
      m_heartbeat_call =
          Exchange({}, [this](const RpcResult<ExchangeReply>& reply) {
            m_heartbeat_call = nullptr;
            if (std::holds_alternative<ExchangeReply>(reply)) {
              m_last_reply_at = m_loop.clock().Now();
            }
          });
    }
  }

  EventLoop& m_loop;
  std::shared_ptr<ConnectionState> m_state;
  BuffereventStream m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_system;
  rpc::Node::Client m_node;
  TimePoint m_last_reply_at;
  TimePoint m_heartbeat_at{};  ///< When the last one was sent.
  std::unique_ptr<RpcCall> m_heartbeat_call;
  std::unique_ptr<Timer> m_heartbeat_timer;
  bool m_failed = false;
  kj::Promise<void> m_disconnect_task;
};

}  // namespace

std::unique_ptr<NodeClient> ConnectNode(PeerRuntime& runtime,
                                        const Endpoint& endpoint) {
  BuffereventPtr stream(
      bufferevent_socket_new(runtime.loop().base(), -1, BEV_OPT_CLOSE_ON_FREE));
  sockaddr_storage address{};
  int length = sizeof(address);
  evutil_parse_sockaddr_port(endpoint.ToString().c_str(),
                             reinterpret_cast<sockaddr*>(&address), &length);
  bufferevent* raw = stream.get();
  auto client =
      std::make_unique<RpcNodeClient>(runtime.loop(), std::move(stream));
  bufferevent_socket_connect(raw, reinterpret_cast<sockaddr*>(&address),
                             length);
  const int enabled = 1;
  setsockopt(bufferevent_getfd(raw), IPPROTO_TCP, TCP_NODELAY, &enabled,
             sizeof(enabled));
  return client;
}

}  // namespace bambooquay
