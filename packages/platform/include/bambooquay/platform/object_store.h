// The platform's object store, which holds named, immutable objects.
#pragma once

#include <functional>
#include <string>
#include <variant>

#include "bambooquay/platform/table_service.h"

namespace bambooquay {

struct ObjectStored {};
/// No object has this name.
struct ObjectNotFound {};

using ObjectWriteResult = std::variant<ObjectStored, PlatformUnavailable>;
using ObjectReadResult =
    std::variant<std::string, ObjectNotFound, PlatformUnavailable>;

/// Stores and fetches complete objects. Callbacks run from the event loop and
/// are dropped when the store is destroyed.
class ObjectStore {
 public:
  ObjectStore() = default;
  ObjectStore(const ObjectStore&) = delete;
  ObjectStore& operator=(const ObjectStore&) = delete;
  virtual ~ObjectStore() = default;

  /// Stores an object. Storing the same object again has no effect.
  virtual void Store(const std::string& name, const std::string& bytes,
                     std::function<void(ObjectWriteResult)> done) = 0;
  /// Fetches the content of an object.
  virtual void Fetch(const std::string& name,
                     std::function<void(ObjectReadResult)> done) = 0;
};

}  // namespace bambooquay
