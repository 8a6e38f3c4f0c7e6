// Keeps HTTP calls alive until they end.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "bambooquay/runtime/http_client.h"

namespace bambooquay {

/// Owns calls under way; destroying the set cancels them all.
///
/// @code
/// calls.Fetch(loop, endpoint, request, timeout, [](HttpResult result) {});
/// @endcode
class CallSet {
 public:
  /// @param via  the loop, for a connection of the call's own, or the client
  ///   whose connections it shares.
  template <typename Via>
  void Fetch(Via& via, const Endpoint& endpoint, const HttpRequest& request,
             Duration timeout, std::function<void(HttpResult)> done) {
    const std::uint64_t id = m_next_id++;
    m_calls[id] =
        FetchHttp(via, endpoint, request, timeout,
                  [this, id, done = std::move(done)](HttpResult result) {
                    // Kept until the callback has returned.
                    const auto ended = m_calls.extract(id);
                    done(std::move(result));
                  });
  }

 private:
  std::uint64_t m_next_id = 0;
  std::map<std::uint64_t, std::unique_ptr<HttpCall>> m_calls;
};

}  // namespace bambooquay
