/**
 * @file shared_state_base.h
 * Interface of modules of the data plane that share state with other nodes.
 */
#pragma once

#include <vector>

#include "base/time_type.h"
#include "serving/peer_extension_type.h"
#include "serving/peer_type.h"

namespace boragewharf::serving {

/** State that is sent to other nodes in extensions of the messages. All methods
 * run on the traffic loop. */
class SharedState {
 public:
  virtual ~SharedState() = default;

  /** Appends the extensions for the next messages, each of at most
   * kMaxExtensionBytes. Called five times per second; datagrams get lost, and
   * a node may not get each report. */
  virtual void AppendExtensions(std::vector<PeerExtension>& extensions,
                                TimePoint now) = 0;

  /** Merges the extensions of other nodes that arrived since the last call.
   * Those of other kinds are ignored, invalid ones are counted and dropped.
   * @param summary Of the other nodes; its extensions are in order of arrival,
   *     and messages that arrive late or twice have been dropped. */
  virtual void MergePeers(const PeerSummary& summary, TimePoint now) = 0;
};

}  // namespace boragewharf::serving
