/**
 * @file stream_records_fixture.h
 * Nodes with records of the software versions that began streams.
 */
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "serving/stream_records_base.h"

namespace boragewharf::serving {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr char kService[] = "llm";
inline constexpr milliseconds kPeriod(200);
inline const TimePoint kStart{seconds(1000)};

inline ServerSet Listed(const std::vector<std::string>& versions,
                        uint64_t era = 0) {
  ServerSet set;
  set.era = era;
  for (const std::string& version : versions) {
    BackendServer server;
    server.id = "server-" + std::to_string(set.servers.size());
    server.service = kService;
    server.version = version;
    set.servers.push_back(server);
  }
  return set;
}

/** Nodes that exchange their reports, and the saves of each. */
class StreamRecordsTest : public testing::Test {
 protected:
  struct TestNode {
    std::unique_ptr<StreamRecords> records;  ///< Null: it is down.
    std::vector<ReceivedExtension> received;
    std::optional<StreamReport> saved;
    bool frozen = false;
    bool cut_off = false;  ///< From all other nodes.
  };

  StreamRecordsTest() {
    for (uint32_t i = 0; i < 3; ++i) {
      this->nodes.emplace_back();
      this->StartNode(i, true);
    }
  }

  void StartNode(size_t index, bool first_start) {
    this->nodes[index].records =
        std::make_unique<StreamRecords>(first_start, this->now);
    this->nodes[index].records->SetServers(this->listed, this->now);
  }

  /** Kills all nodes and starts them again, without what was saved. */
  void RestartAll() {
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      this->StartNode(i, false);
      this->nodes[i].received.clear();
    }
  }

  /** @param from_earlier_era The store has come back since the saves. */
  void RestoreAll(bool from_earlier_era = false) {
    for (size_t reader = 0; reader < this->nodes.size(); ++reader) {
      std::vector<SavedStreams> saved;
      for (size_t i = 0; i < this->nodes.size(); ++i) {
        if (this->nodes[i].saved) {
          saved.push_back(
              {i == reader, *this->nodes[i].saved, from_earlier_era});
        }
      }
      this->nodes[reader].records->Restore(saved, this->now, this->now);
    }
  }

  /** Hands a node the saves of those given, as asked for at @p asked. */
  void Restore(size_t reader,
               const std::vector<size_t>& saved_by,
               TimePoint asked) {
    std::vector<SavedStreams> saved;
    saved.reserve(saved_by.size());
    for (const size_t i : saved_by) {
      saved.push_back({i == reader, this->nodes[i].saved.value(), false});
    }
    this->nodes[reader].records->Restore(saved, asked, this->now);
  }

  /** Wakes a node that was frozen.
   * @param hears_queued Whether it gets the datagrams that arrived meanwhile,
   *     now; else its buffer was full before them. */
  void Wake(size_t index, bool hears_queued) {
    TestNode& node = this->nodes[index];
    node.frozen = false;
    if (!hears_queued) {
      node.received.clear();
    }
    for (ReceivedExtension& extension : node.received) {
      extension.received = this->now;
    }
    node.records->SetServers(this->listed, this->now);
  }

  void List(const std::vector<std::string>& versions, uint64_t era = 0) {
    this->listed = Listed(versions, era);
    for (TestNode& node : this->nodes) {
      if (node.records && !node.frozen && !node.cut_off) {
        node.records->SetServers(this->listed, this->now);
      }
    }
  }

  /** Lets time pass; each node reports and saves in each message period. */
  void Run(Duration time) {
    for (const TimePoint end = this->now + time; this->now < end;) {
      this->now += kPeriod;
      this->rounds += 1;
      for (size_t sender = 0; sender < this->nodes.size(); ++sender) {
        this->Report(sender);
      }
      for (TestNode& node : this->nodes) {
        if (!node.records || node.frozen) {
          continue;
        }
        PeerSummary summary;
        summary.nodes = static_cast<uint32_t>(this->nodes.size());
        summary.message_period = kPeriod;
        summary.store_followed = this->store_followed;
        for (size_t other = 0; other < this->nodes.size(); ++other) {
          if (&this->nodes[other] != &node && this->nodes[other].records &&
              !this->nodes[other].frozen && !this->nodes[other].cut_off &&
              !node.cut_off) {
            summary.heard_ips.push_back(Ip(other));
          }
        }
        summary.extensions = std::exchange(node.received, {});
        node.records->MergePeers(summary, this->now);
        this->OnSummary(node, summary);
      }
    }
  }

  /** Address of a node, as from PackIp(). */
  static uint32_t Ip(size_t node) { return static_cast<uint32_t>(node + 1); }

  /** Called after a node has merged the summary of a message period. */
  virtual void OnSummary(const TestNode&, const PeerSummary&) {}

  void Report(size_t sender) {
    TestNode& node = this->nodes[sender];
    if (!node.records || node.frozen) {
      return;
    }
    if (auto save = node.records->TakeSave(this->now)) {
      this->saves += 1;
      const bool saved = !this->store_away;
      node.records->EndSave(save->number, saved, this->now);
      if (saved) {
        node.saved = std::move(save->report);
      }
    }
    std::vector<PeerExtension> extensions;
    node.records->AppendExtensions(extensions, this->now);
    for (const PeerExtension& extension : extensions) {
      EXPECT_LE(extension.payload.size(), kMaxExtensionBytes);
      this->messages += 1;
      for (size_t i = 0; i < this->nodes.size(); ++i) {
        if (i != sender && !this->IsLost(sender, i)) {
          this->nodes[i].received.push_back({static_cast<uint32_t>(sender), 1,
                                             this->now, extension.kind,
                                             extension.payload});
        }
      }
    }
  }

  /** Datagrams to other regions go out in each second round. */
  bool IsLost(size_t sender, size_t receiver) const {
    return this->all_lost || this->nodes[sender].cut_off ||
           this->nodes[receiver].cut_off ||
           (sender + receiver + this->rounds) % 2 == 0;
  }

  void Begin(size_t node, const std::string& id, const std::string& version) {
    this->nodes[node].records->RecordBegin(kService, id, version, this->now);
  }

  void End(size_t node, const std::string& id) {
    this->nodes[node].records->RecordEnd(kService, id, this->now);
  }

  StreamVersion Find(size_t node, const std::string& id) const {
    return this->nodes[node].records->Find(kService, id, this->now);
  }

  void ExpectKnown(const std::string& id, const std::string& version) const {
    for (size_t node = 0; node < this->nodes.size(); ++node) {
      if (!this->nodes[node].records) {
        continue;
      }
      const StreamVersion found = this->Find(node, id);
      EXPECT_EQ(found.origin, StreamOrigin::kKnown) << id << " at " << node;
      EXPECT_EQ(found.version, version) << id << " at " << node;
    }
  }

  TimePoint now = kStart;
  ServerSet listed;
  std::vector<TestNode> nodes;
  bool all_lost = false;
  bool store_away = false;
  bool store_followed = false;
  uint64_t rounds = 0;
  uint64_t messages = 0;
  uint64_t saves = 0;
};

}  // namespace boragewharf::serving
