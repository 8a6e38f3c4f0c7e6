// Clients for the platform's services over HTTP. The table service uses the
// DynamoDB JSON protocol (2012-08-10), the object store plain PUT and GET as in
// S3, and the instance list the HTTP service discovery format of Prometheus.
#pragma once

#include <memory>

#include "bambooquay/platform/instance_list.h"
#include "bambooquay/platform/object_store.h"
#include "bambooquay/platform/table_service.h"
#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/event_loop.h"

namespace bambooquay {

/// Addresses of the platform's services.
struct PlatformEndpoints {
  Endpoint table;
  Endpoint objects;
  Endpoint instances;
};

[[nodiscard]] std::unique_ptr<TableService> MakeTableClient(
    EventLoop& loop, const Endpoint& endpoint);
[[nodiscard]] std::unique_ptr<ObjectStore> MakeObjectClient(
    EventLoop& loop, const Endpoint& endpoint);
[[nodiscard]] std::unique_ptr<InstanceList> MakeInstanceListClient(
    EventLoop& loop, const Endpoint& endpoint);

}  // namespace bambooquay
