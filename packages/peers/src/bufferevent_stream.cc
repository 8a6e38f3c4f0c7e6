// A kj::AsyncIoStream over a libevent bufferevent.
#include "bufferevent_stream.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <kj/debug.h>

#include <algorithm>
#include <utility>

namespace bambooquay {
namespace {

constexpr size_t kHighWaterBytes = 1024 * 1024;
constexpr size_t kLowWaterBytes = 256 * 1024;

}  // namespace

BuffereventStream::BuffereventStream(BuffereventPtr stream)
    : m_stream(std::move(stream)) {
  bufferevent_setcb(m_stream.get(), &BuffereventStream::HandleRead,
                    &BuffereventStream::HandleWrite,
                    &BuffereventStream::HandleEvent, this);
  bufferevent_setwatermark(m_stream.get(), EV_WRITE, kLowWaterBytes, 0);
  bufferevent_setwatermark(m_stream.get(), EV_READ, 0, kHighWaterBytes);
  bufferevent_enable(m_stream.get(), EV_READ | EV_WRITE);
}

BuffereventStream::~BuffereventStream() noexcept(false) = default;

kj::Promise<size_t> BuffereventStream::tryRead(void* buffer, size_t min_bytes,
                                               size_t max_bytes) {
  auto paf = kj::newPromiseAndFulfiller<size_t>();
  // The read buffer has to hold the whole of a message that is longer than the
  // high-water mark.
  bufferevent_setwatermark(m_stream.get(), EV_READ, 0,
                           std::max(kHighWaterBytes, min_bytes));
  m_pending_read =
      PendingRead{buffer, min_bytes, max_bytes, kj::mv(paf.fulfiller)};
  FulfillPendingRead();
  return kj::mv(paf.promise);
}

void BuffereventStream::FulfillPendingRead() {
  KJ_IF_MAYBE (read, m_pending_read) {
    evbuffer* input = bufferevent_get_input(m_stream.get());
    const size_t available = evbuffer_get_length(input);
    if (available < read->min_bytes && !m_is_closed) {
      return;
    }
    const int byte_count =
        evbuffer_remove(input, read->buffer, read->max_bytes);
    auto fulfiller = kj::mv(read->fulfiller);
    m_pending_read = nullptr;
    fulfiller->fulfill(static_cast<size_t>(std::max(byte_count, 0)));
  }
}

kj::Promise<void> BuffereventStream::write(const void* buffer, size_t size) {
  if (m_is_closed) {
    return KJ_EXCEPTION(DISCONNECTED, "the connection is closed");
  }
  bufferevent_write(m_stream.get(), buffer, size);
  return WaitUntilWritable();
}

kj::Promise<void> BuffereventStream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> buffers) {
  if (m_is_closed) {
    return KJ_EXCEPTION(DISCONNECTED, "the connection is closed");
  }
  for (const auto& source : buffers) {
    bufferevent_write(m_stream.get(), source.begin(), source.size());
  }
  return WaitUntilWritable();
}

kj::Promise<void> BuffereventStream::WaitUntilWritable() {
  const evbuffer* output = bufferevent_get_output(m_stream.get());
  if (evbuffer_get_length(output) < kHighWaterBytes) {
    return kj::READY_NOW;
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  m_write_fulfiller = kj::mv(paf.fulfiller);
  return kj::mv(paf.promise);
}

kj::Promise<void> BuffereventStream::whenWriteDisconnected() {
  if (m_is_closed) {
    return kj::READY_NOW;
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  m_disconnect_fulfiller = kj::mv(paf.fulfiller);
  return kj::mv(paf.promise);
}

void BuffereventStream::shutdownWrite() {
  bufferevent_flush(m_stream.get(), EV_WRITE, BEV_FINISHED);
}

void BuffereventStream::Fail(const char* reason) {
  m_is_closed = true;
  bufferevent_disable(m_stream.get(), EV_READ | EV_WRITE);
  KJ_IF_MAYBE (read, m_pending_read) {
    auto fulfiller = kj::mv(read->fulfiller);
    m_pending_read = nullptr;
    fulfiller->reject(
        KJ_EXCEPTION(DISCONNECTED, "the connection failed", reason));
  }
  KJ_IF_MAYBE (pending_write, m_write_fulfiller) {
    auto fulfiller = kj::mv(*pending_write);
    m_write_fulfiller = nullptr;
    fulfiller->reject(
        KJ_EXCEPTION(DISCONNECTED, "the connection failed", reason));
  }
  KJ_IF_MAYBE (pending_disconnect, m_disconnect_fulfiller) {
    auto fulfiller = kj::mv(*pending_disconnect);
    m_disconnect_fulfiller = nullptr;
    fulfiller->fulfill();
  }
}

void BuffereventStream::HandleRead(bufferevent* /*stream*/, void* self) {
  static_cast<BuffereventStream*>(self)->FulfillPendingRead();
}

void BuffereventStream::HandleWrite(bufferevent* /*stream*/, void* self) {
  auto* owner = static_cast<BuffereventStream*>(self);
  KJ_IF_MAYBE (pending_write, owner->m_write_fulfiller) {
    auto fulfiller = kj::mv(*pending_write);
    owner->m_write_fulfiller = nullptr;
    fulfiller->fulfill();
  }
}

void BuffereventStream::HandleEvent(bufferevent* /*stream*/, short events,
                                    void* self) {
  auto* owner = static_cast<BuffereventStream*>(self);
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    owner->m_connected = true;
  }
  if ((events & BEV_EVENT_ERROR) != 0) {
    owner->Fail("socket error");
  } else if ((events & BEV_EVENT_EOF) != 0) {
    owner->m_is_closed = true;
    owner->FulfillPendingRead();
    owner->Fail("closed by the peer");
  }
}

}  // namespace bambooquay
