/**
 * @file ledger_sim_store_test.cc
 * The faulty store of LedgerSim.
 */
#include "base/result_func.h"
#include "ledger_sim.h"

namespace boragewharf::ledger {

void LedgerSim::OnRead(int index, const ReadShard& effect) {
  const MemberId process = this->daemons[static_cast<size_t>(index)].state.self;
  this->At(this->Within(1, 20), [=, this] {
    LedgerEvent event =
        ShardReadFailed{effect.operation, effect.shard, effect.name,
                        ResultCode::kStoreUnavailable};
    const auto it = this->store.find(effect.name);
    if (this->outage_until > this->now || this->Chance(20)) {
      // The failure stands.
    } else if (it == this->store.end()) {
      event = ShardReadFailed{effect.operation, effect.shard, effect.name,
                              ResultCode::kStoreNotFound};
    } else if (it->second.former_version != 0 &&
               this->Chance(this->options.stale_read)) {
      event = ShardRead{effect.operation, effect.shard, effect.name,
                        std::to_string(it->second.former_version),
                        it->second.former_body};
    } else {
      event = ShardRead{effect.operation, effect.shard, effect.name,
                        std::to_string(it->second.version), it->second.body};
    }
    this->At(this->Within(1, 10),
             [=, this] { this->Deliver(index, process, event); });
  });
}

void LedgerSim::OnWrite(int index,
                        OperationId operation,
                        ShardId shard,
                        const std::string& name,
                        const std::string& expected,
                        const std::string& body) {
  const MemberId process = this->daemons[static_cast<size_t>(index)].state.self;
  const auto answer = [=, this](const LedgerEvent& event) {
    this->At(this->Within(1, 10),
             [=, this] { this->Deliver(index, process, event); });
  };
  if (this->Chance(this->options.delayed_write)) {
    answer(ShardWriteFailed{operation, shard, ResultCode::kStoreUnknown});
    this->At(this->Within(1, 4000),
             [=, this] { this->Apply(name, expected, body); });
    return;
  }
  this->At(this->Within(1, 20), [=, this] {
    ResultCode failure = ResultCode::kOk;
    if (this->outage_until > this->now) {
      failure = this->Chance(300) ? ResultCode::kStoreUnknown
                                  : ResultCode::kStoreUnavailable;
    } else if (this->Chance(this->options.busy)) {
      failure = ResultCode::kStoreBusy;
    } else if (!this->Apply(name, expected, body)) {
      failure = ResultCode::kStoreConflict;
    }
    if (failure != ResultCode::kOk) {
      answer(ShardWriteFailed{operation, shard, failure});
    } else if (this->Chance(this->options.lost_answer)) {
      answer(ShardWriteFailed{operation, shard, ResultCode::kStoreUnknown});
    } else {
      answer(ShardWritten{operation, shard,
                          std::to_string(this->store.at(name).version)});
    }
  });
}

bool LedgerSim::Apply(const std::string& name,
                      const std::string& expected,
                      const std::string& body) {
  const auto it = this->store.find(name);
  const std::string current =
      it == this->store.end() ? "" : std::to_string(it->second.version);
  if (current != expected) {
    return false;
  }
  Object& object = this->store[name];
  object.former_version = object.version;
  object.former_body = std::move(object.body);
  object.version = ++this->store_version;
  object.body = body;
  if (name.size() == ShardName(ShardId{0}).size()) {
    this->NoteCommitted(body);
  }
  return true;
}

void LedgerSim::NoteCommitted(const std::string& body) {
  const std::optional<ShardObject> object = ParseShard(body);
  if (!object) {
    this->Violate("unreadable object: " + LastReason().detail);
    return;
  }
  if (body.size() > this->options.ledger.object_bytes * 2) {
    this->Violate("object of " + std::to_string(body.size()) + " bytes");
  }
  for (const auto& [key, stored] : object->entries) {
    this->committed[stored.entry.claim] = stored.entry.state;
  }
}

}  // namespace boragewharf::ledger
