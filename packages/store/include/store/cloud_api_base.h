/**
 * @file cloud_api_base.h
 * Interface of the cloud API.
 */
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "store/cloud_type.h"

namespace boragewharf {

/**
 * Starts and stops instances. All methods are thread-safe, block, and return
 * within a bounded time. On failure LastReason() is kCloudRefused or
 * kStoreUnavailable (not applied), kStoreUnknown (may have been applied; the
 * same call can be repeated), kStoreMalformed (notices only) or kInvalidField
 * (not sent).
 */
class CloudApi {
 public:
  CloudApi() = default;
  CloudApi(const CloudApi&) = delete;
  CloudApi& operator=(const CloudApi&) = delete;
  virtual ~CloudApi() = default;

  /** All reclaim notices in force. */
  virtual std::optional<std::vector<ReclaimNotice>> ReadNotices() = 0;

  /**
   * Orders an instance. Repeating an order under the same name starts no
   * second instance.
   * @return Whether the instance is starting or has started.
   */
  virtual bool Start(const StartOrder& order) = 0;

  /**
   * Deletes an instance.
   * @return Whether it is being deleted or does not exist.
   */
  virtual bool Delete(std::string_view instance) = 0;
};

}  // namespace boragewharf
