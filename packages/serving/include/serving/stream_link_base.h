/**
 * @file stream_link_base.h
 * What StreamLookups needs of the node that it runs on.
 */
#pragma once

#include <cstdint>

#include "serving/stream_lookup_type.h"

namespace boragewharf::serving {

/** Way to the data planes of the other nodes and to the store. Runs on the
 * traffic loop. */
class StreamLink {
 public:
  virtual ~StreamLink() = default;

  /** Hands a datagram to the operating system before it returns, so that it is
   * sent also if the process is killed. It may be lost on the way.
   * @param ip PackIp() of the receiver. */
  virtual void Send(uint32_t ip, const StreamMessage& message) = 0;

  /**
   * Asks whether the server list is that of the store. After its answer,
   * StreamLookups::OnListConfirmed() is called; without one, nothing happens.
   * @param begin_to_watch Whether a node that does not watch the store is to
   *     begin to. Otherwise, there is no answer at such a node.
   */
  virtual void ConfirmServerList(bool begin_to_watch) = 0;
};

}  // namespace boragewharf::serving
