/**
 * @file http_cloud_api_base.h
 * Client of the cloud API.
 */
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "store/cloud_api_base.h"
#include "store/http_channel_base.h"

namespace boragewharf {

/** CloudApi over HTTP. */
class HttpCloudApi : public CloudApi {
 public:
  /** @param counters Receives cloud_calls_total; outlives the client. */
  HttpCloudApi(HttpChannelOptions options, CounterRegistry& counters);

  std::optional<std::vector<ReclaimNotice>> ReadNotices() override;
  bool Start(const StartOrder& order) override;
  bool Delete(std::string_view instance) override;

 private:
  HttpChannel channel;
};

}  // namespace boragewharf
