// A kj::AsyncIoStream over a libevent bufferevent.
#pragma once

#include <event2/bufferevent.h>
#include <kj/async-io.h>

#include <memory>

namespace bambooquay {

struct BuffereventDeleter {
  void operator()(bufferevent* stream) const noexcept {
    bufferevent_free(stream);
  }
};
using BuffereventPtr = std::unique_ptr<bufferevent, BuffereventDeleter>;

/// Transport for Cap'n Proto RPC. Reads are fulfilled from the bufferevent's
/// input buffer. Writes complete immediately unless the output buffer has
/// reached its high-water mark.
class BuffereventStream final : public kj::AsyncIoStream {
 public:
  explicit BuffereventStream(BuffereventPtr stream);
  BuffereventStream(const BuffereventStream&) = delete;
  BuffereventStream& operator=(const BuffereventStream&) = delete;
  ~BuffereventStream() noexcept(false);

  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes,
                              size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> buffers) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;

  /// @returns whether the connection has been established.
  [[nodiscard]] bool connected() const noexcept { return m_connected; }
  /// For accepted connections, which are established from the start.
  void MarkConnected() noexcept { m_connected = true; }
  /// Closes the stream: all pending and later operations fail.
  void Fail(const char* reason);

 private:
  /// A read that waits for data. There is at most one at a time.
  struct PendingRead {
    void* buffer = nullptr;
    size_t min_bytes = 0;
    size_t max_bytes = 0;
    kj::Own<kj::PromiseFulfiller<size_t>> fulfiller;
  };

  static void HandleRead(bufferevent* stream, void* self);
  static void HandleWrite(bufferevent* stream, void* self);
  static void HandleEvent(bufferevent* stream, short events, void* self);
  /// @returns a promise that is fulfilled at once if the output buffer is below
  ///   its high-water mark, and otherwise when it is down to its low-water
  ///   mark.
  kj::Promise<void> WaitUntilWritable();
  /// Fulfils the pending read if enough data is buffered or the peer has closed
  /// the connection.
  void FulfillPendingRead();

  BuffereventPtr m_stream;
  kj::Maybe<PendingRead> m_pending_read;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> m_write_fulfiller;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> m_disconnect_fulfiller;
  bool m_connected = false;
  bool m_is_closed = false;
};

}  // namespace bambooquay
