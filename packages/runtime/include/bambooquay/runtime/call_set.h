// Owns HTTP calls in progress and deletes each one when it ends.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "bambooquay/runtime/http_client.h"

namespace bambooquay {

/// A set of HTTP calls in progress. Destroying the set cancels the calls
/// without running their callbacks.
///
/// @code
/// calls.Fetch(loop, endpoint, request, idle_timeout, [](HttpResult result)
/// {});
/// @endcode
class CallSet {
 public:
  /// Starts a call and owns it until it has ended.
  /// @param transport  an EventLoop, to open a connection for this call only,
  ///   or an HttpClient, to use its pooled connections.
  /// @param idle_timeout  longest time for which reading or writing makes no
  ///   progress.
  /// @param done  runs when the call has ended, with the response or with how
  ///   the call failed.
  template <typename Transport>
  void Fetch(Transport& transport, const Endpoint& endpoint,
             const HttpRequest& request, Duration idle_timeout,
             std::function<void(HttpResult)> done) {
    const std::uint64_t id = m_next_id++;
    m_calls[id] =
        FetchHttp(transport, endpoint, request, idle_timeout,
                  [this, id, done = std::move(done)](HttpResult result) {
                    // Keeps the call alive until the callback has returned.
                    const auto finished_call = m_calls.extract(id);
                    done(std::move(result));
                  });
  }

 private:
  std::uint64_t m_next_id = 0;
  std::map<std::uint64_t, std::unique_ptr<HttpCall>> m_calls;
};

}  // namespace bambooquay
