// Lookup of HTTP header fields.
#include "bambooquay/runtime/http_types.h"

#include <event2/util.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace bambooquay {

bool EqualsIgnoringCase(std::string_view a, std::string_view b) noexcept {
  return a.size() == b.size() &&
         evutil_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

void HttpHeaders::Add(std::string name, std::string value) {
  items.push_back({std::move(name), std::move(value)});
}

std::string_view HttpHeaders::Get(std::string_view name) const noexcept {
  const auto found = std::ranges::find_if(items, [&](const HttpHeader& item) {
    return EqualsIgnoringCase(item.name, name);
  });
  return found == items.end() ? std::string_view() : found->value;
}

std::size_t HttpHeaders::total_bytes() const noexcept {
  return std::accumulate(items.begin(), items.end(), std::size_t{0},
                         [](std::size_t sum, const HttpHeader& item) {
                           return sum + item.name.size() + item.value.size();
                         });
}

std::size_t HttpHeaders::allocated_bytes() const noexcept {
  return std::accumulate(
      items.begin(), items.end(), items.capacity() * sizeof(HttpHeader),
      [](std::size_t sum, const HttpHeader& item) {
        return sum + item.name.capacity() + item.value.capacity();
      });
}

}  // namespace bambooquay
