// Serves a NodeService over Cap'n Proto RPC.
#include <capnp/rpc-twoparty.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <unordered_set>
#include <utility>

#include "bambooquay/peers/node_service.h"
#include "bambooquay/peers/peer_runtime.h"
#include "bambooquay/runtime/log.h"
#include "bufferevent_stream.h"
#include "conversions.h"

namespace bambooquay {
namespace {

/// Sends the response of one Execute call to the entry.
class RpcWorkSink final : public WorkSink,
                          public std::enable_shared_from_this<RpcWorkSink>,
                          private kj::TaskSet::ErrorHandler {
 public:
  RpcWorkSink(rpc::ResponseSink::Client sink,
              kj::Own<kj::PromiseFulfiller<void>> finished)
      : m_sink(kj::mv(sink)),
        m_finished(kj::mv(finished)),
        m_tasks(static_cast<kj::TaskSet::ErrorHandler&>(*this)) {}

  ~RpcWorkSink() noexcept override {}

  void SendHead(int status, std::string_view content_type) override {
    auto request = m_sink.headRequest();
    request.setStatus(static_cast<std::uint16_t>(status));
    request.setContentType(std::string(content_type));
    ++m_part_count;
    m_tasks.add(request.send().ignoreResult());
  }

  void SendPart(std::string_view bytes) override {
    auto request = m_sink.partRequest();
    request.setBytes(ToData(bytes));
    ++m_part_count;
    const std::size_t size = bytes.size();
    m_pending_bytes += size;
    m_tasks.add(request.send().then([weak = weak_from_this(), size](auto&&) {
      if (const auto self = weak.lock()) {
        self->HandleBytesConsumed(size);
      }
    }));
  }

  void Finish(const WorkResult& result) override {
    if (m_is_finished) {
      return;
    }
    m_is_finished = true;
    m_result = result;
    m_finished->fulfill();
  }

  [[nodiscard]] std::size_t pending_bytes() const noexcept override {
    return m_pending_bytes;
  }

  void OnBytesConsumed(std::function<void()> callback) override {
    m_on_bytes_consumed = std::move(callback);
  }

  void WriteTo(rpc::Node::ExecuteResults::Builder out) const {
    Write(m_result, out.initResult());
    out.setParts(m_part_count);
  }

 private:
  void HandleBytesConsumed(std::size_t size) {
    m_pending_bytes -= size;
    if (m_on_bytes_consumed) {
      const auto on_bytes_consumed = m_on_bytes_consumed;
      on_bytes_consumed();
    }
  }

  // A call on the sink fails only if the entry is gone. The work is then
  // cancelled as the connection closes.
  void taskFailed(kj::Exception&& /*exception*/) override {}

  rpc::ResponseSink::Client m_sink;
  kj::Own<kj::PromiseFulfiller<void>> m_finished;
  WorkResult m_result;
  bool m_is_finished = false;
  std::uint64_t m_part_count = 0;
  std::size_t m_pending_bytes = 0;
  std::function<void()> m_on_bytes_consumed;
  kj::TaskSet m_tasks;
};

/// Forwards RPC calls to a NodeService.
class NodeServiceAdapter final : public rpc::Node::Server {
 public:
  NodeServiceAdapter(NodeService& service, EventLoop& loop)
      : m_service(service), m_loop(loop) {}

  kj::Promise<void> exchange(ExchangeContext context) override {
    const ExchangeReply reply =
        m_service.Exchange(Read(context.getParams().getKnown()));
    auto results = context.getResults();
    Write(reply.versions, results.initKnown());
    results.setIncarnation(reply.incarnation.value());
    WorkResult load;
    load.load = reply.load;
    Write(load, results.initLoad());
    return kj::READY_NOW;
  }

  kj::Promise<void> fetchDocument(FetchDocumentContext context) override {
    const std::uint8_t kind = context.getParams().getKind();
    KJ_REQUIRE(kind < kDocumentKindCount, "unknown document kind");
    const auto document =
        m_service.FetchDocument(static_cast<DocumentKind>(kind));
    if (document.has_value()) {
      context.getResults().setVersion(document->version);
      context.getResults().setText(document->text);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> execute(ExecuteContext context) override {
    context.allowCancellation();
    auto params = context.getParams();
    auto finished = kj::newPromiseAndFulfiller<void>();
    auto sink = std::make_shared<RpcWorkSink>(params.getSink(),
                                              kj::mv(finished.fulfiller));
    std::shared_ptr<WorkHandle> handle = m_service.Execute(
        Read(params.getWork()), Read(params.getKnown()), sink);
    return finished.promise
        .then(
            [context, sink]() mutable { sink->WriteTo(context.getResults()); })
        .attach(kj::defer([handle, sink, &loop = m_loop]() mutable {
          // Destruction is deferred, as this may run in a callback of the sink.
          loop.Post([handle = std::move(handle), sink = std::move(sink)] {});
        }));
  }

  kj::Promise<void> settle(SettleContext context) override {
    auto params = context.getParams();
    const SettleReply reply =
        m_service.Settle(RequestId(ToString(params.getId())),
                         IncarnationId(ToString(params.getIncarnation())));
    auto results = context.getResults();
    results.setState(static_cast<std::uint8_t>(reply.state));
    Write(reply.result, results.initResult());
    results.setStatus(static_cast<std::uint16_t>(reply.status));
    results.setContentType(reply.content_type);
    results.setBody(ToData(reply.body));
    return kj::READY_NOW;
  }

  kj::Promise<void> fence(FenceContext context) override {
    m_service.Fence(context.getParams().getEpoch());
    return kj::READY_NOW;
  }

  kj::Promise<void> askAllowance(AskAllowanceContext context) override {
    const AllowanceTransfer transfer =
        m_service.AskAllowance(Read(context.getParams().getAsk()));
    Write(transfer, context.getResults().initTransfer());
    return kj::READY_NOW;
  }

 private:
  NodeService& m_service;
  EventLoop& m_loop;
};

/// One accepted connection.
class ServerConnection {
 public:
  ServerConnection(BuffereventPtr stream, rpc::Node::Client bootstrap)
      : m_stream(std::move(stream)),
        m_network(m_stream, capnp::rpc::twoparty::Side::SERVER),
        m_system(capnp::makeRpcServer(m_network, kj::mv(bootstrap))) {
    m_stream.MarkConnected();
  }

  kj::Promise<void> WhenClosed() { return m_network.onDisconnect(); }

 private:
  BuffereventStream m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_system;
};

}  // namespace

class NodeServer::Impl final : private kj::TaskSet::ErrorHandler {
 public:
  Impl(PeerRuntime& runtime, NodeService& service)
      : m_loop(runtime.loop()),
        m_bootstrap(kj::heap<NodeServiceAdapter>(service, runtime.loop())),
        m_tasks(static_cast<kj::TaskSet::ErrorHandler&>(*this)) {}

  ~Impl() noexcept {
    if (m_listener != nullptr) {
      evconnlistener_free(m_listener);
    }
  }

  bool Listen(const Endpoint& endpoint) {
    sockaddr_storage address{};
    int length = sizeof(address);
    if (evutil_parse_sockaddr_port(endpoint.ToString().c_str(),
                                   reinterpret_cast<sockaddr*>(&address),
                                   &length) != 0) {
      return false;
    }
    m_listener = evconnlistener_new_bind(
        m_loop.base(), &Impl::HandleAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<sockaddr*>(&address), length);
    return m_listener != nullptr;
  }

 private:
  static void HandleAccept(evconnlistener* /*listener*/, evutil_socket_t fd,
                           sockaddr* /*address*/, int /*length*/, void* self) {
    static_cast<Impl*>(self)->Accept(fd);
  }

  void Accept(evutil_socket_t fd) {
    const int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    BuffereventPtr stream(
        bufferevent_socket_new(m_loop.base(), fd, BEV_OPT_CLOSE_ON_FREE));
    auto connection =
        std::make_shared<ServerConnection>(std::move(stream), m_bootstrap);
    m_connections.insert(connection);
    m_tasks.add(connection->WhenClosed().then([this, connection]() mutable {
      m_connections.erase(connection);
      m_loop.Post([connection = std::move(connection)] {});
    }));
  }

  void taskFailed(kj::Exception&& exception) override {
    LogEvent(LogLevel::kWarning, "peer_connection_failed")
        .With("description", exception.getDescription().cStr());
  }

  EventLoop& m_loop;
  rpc::Node::Client m_bootstrap;
  evconnlistener* m_listener = nullptr;
  std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
  kj::TaskSet m_tasks;
};

NodeServer::NodeServer(PeerRuntime& runtime, NodeService& service)
    : m_impl(std::make_unique<Impl>(runtime, service)) {}

NodeServer::~NodeServer() = default;

bool NodeServer::Listen(const Endpoint& endpoint) {
  return m_impl->Listen(endpoint);
}

}  // namespace bambooquay
