/**
 * @file http_object_store_base.h
 * Client of the object API in the Kubernetes resource style.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/http_channel_base.h"
#include "store/object_store_base.h"

namespace boragewharf {

/** ObjectStore over HTTP. */
class HttpObjectStore : public ObjectStore {
 public:
  /**
   * @param options Endpoint and limits.
   * @param counters Receives store_calls_total by call and result, and
   *     store_call_microseconds_total; outlives the client.
   * @param objects_per_page Page size of List(); at least 1.
   */
  HttpObjectStore(HttpChannelOptions options,
                  CounterRegistry& counters,
                  uint32_t objects_per_page = kDefaultObjectsPerPage);

  std::optional<StoredObject> Read(const ObjectKey& key) override;
  std::optional<ObjectVersion> Create(const ObjectKey& key,
                                      std::string_view body) override;
  std::optional<ObjectVersion> Update(const ObjectKey& key,
                                      const ObjectVersion& expected,
                                      std::string_view body) override;
  bool Remove(const ObjectKey& key, const ObjectVersion& expected) override;
  std::optional<std::vector<StoredObject>> List(std::string_view kind) override;

  /** Large enough for 3,200 instance records in 7 calls. */
  static constexpr uint32_t kDefaultObjectsPerPage = 500;

 private:
  /** Counts a call that was not sent, under the last reason. */
  std::nullopt_t Refuse(std::string_view label);
  std::optional<ObjectVersion> Write(const HttpCall& call,
                                     const ObjectKey& key);

  HttpChannel channel;
  const uint32_t page_limit;
};

}  // namespace boragewharf
