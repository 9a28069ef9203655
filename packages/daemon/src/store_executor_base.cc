/**
 * @file store_executor_base.cc
 * Execution of effects that call the store.
 */
#include <optional>

#include "base/result_func.h"
#include "daemon/effect_executor_base.h"
#include "daemon/log_func.h"
#include "lease/lease_func.h"
#include "ledger/shard_func.h"

namespace boragewharf::daemon {

namespace {

constexpr char kLeaseKind[] = "leases";

const ObjectKey& DocumentKey() {
  static const ObjectKey kKey{"configs", "current"};
  return kKey;
}

/** Creates the object if no version is expected, else updates it. */
std::optional<ObjectVersion> Write(ObjectStore& store,
                                   const ObjectKey& key,
                                   const std::string& expected,
                                   std::string_view body) {
  return expected.empty() ? store.Create(key, body)
                          : store.Update(key, ObjectVersion{expected}, body);
}

config::ConfigEvent ReadDocument(ObjectStore& store) {
  const std::optional<StoredObject> object = store.Read(DocumentKey());
  if (object) {
    return config::StoreRead{object->version.text, object->body};
  }
  if (LastReason().code == ResultCode::kStoreNotFound) {
    return config::StoreRead{};
  }
  return config::StoreReadFailed{LastReason().code};
}

config::ConfigEvent WriteDocument(ObjectStore& store,
                                  const config::WriteDocument& effect) {
  const auto version =
      Write(store, DocumentKey(), effect.expected_version, effect.body);
  if (!version) {
    return config::StoreWriteFailed{effect.write_id, LastReason().code};
  }
  return config::StoreWritten{effect.write_id, version->text};
}

ledger::LedgerEvent ReadShard(ObjectStore& store,
                              const ledger::ReadShard& effect) {
  const auto object =
      store.Read({std::string(ledger::kLedgerKind), effect.name});
  if (!object) {
    return ledger::ShardReadFailed{effect.operation, effect.shard, effect.name,
                                   LastReason().code};
  }
  return ledger::ShardRead{effect.operation, effect.shard, effect.name,
                           object->version.text, object->body};
}

ledger::LedgerEvent WriteShard(ObjectStore& store,
                               const ledger::WriteShard& effect) {
  const auto version =
      Write(store, {std::string(ledger::kLedgerKind), effect.name},
            effect.expected_version, effect.body);
  if (!version) {
    return ledger::ShardWriteFailed{effect.operation, effect.shard,
                                    LastReason().code};
  }
  return ledger::ShardWritten{effect.operation, effect.shard, version->text};
}

ledger::LedgerEvent WriteSegment(ObjectStore& store,
                                 const ledger::WriteSegment& effect) {
  const auto version = store.Create(
      {std::string(ledger::kLedgerKind), effect.name}, effect.body);
  if (!version) {
    return ledger::ShardWriteFailed{effect.operation, effect.shard,
                                    LastReason().code};
  }
  return ledger::ShardWritten{effect.operation, effect.shard, version->text};
}

ledger::LedgerEvent RemoveSegment(ObjectStore& store,
                                  const ledger::RemoveSegment& effect) {
  const ObjectKey key{std::string(ledger::kLedgerKind), effect.name};
  const auto object = store.Read(key);
  bool gone = !object && LastReason().code == ResultCode::kStoreNotFound;
  if (object) {
    gone = store.Remove(key, object->version) ||
           LastReason().code == ResultCode::kStoreNotFound;
  }
  return ledger::SegmentRemoved{effect.shard, effect.name, gone};
}

lease::LeaseEvent ReadLease(ObjectStore& store,
                            const lease::ReadLease& effect) {
  const auto object = store.Read({kLeaseKind, effect.duty});
  if (!object) {
    return lease::LeaseReadFailed{effect.duty, LastReason().code};
  }
  const auto record = lease::DecodeLease(object->body);
  if (!record) {
    return lease::LeaseReadFailed{effect.duty, LastReason().code};
  }
  return lease::LeaseRead{effect.duty, object->version, *record};
}

lease::LeaseEvent WriteLease(ObjectStore& store,
                             const lease::WriteLease& effect) {
  const auto version =
      Write(store, {kLeaseKind, effect.duty},
            effect.expected ? effect.expected->text : std::string(),
            lease::EncodeLease(effect.record));
  if (!version) {
    return lease::LeaseWriteFailed{effect.duty, LastReason().code};
  }
  return lease::LeaseWritten{effect.duty, *version};
}

}  // namespace

template <class Call>
void EffectExecutor::SubmitStoreCall(Call call) {
  this->parts.store_tasks.Submit([this, call] {
    this->parts.loop.Post(control::Event(call(this->parts.store)));
  });
}

void EffectExecutor::Execute(const control::ControlState& state,
                             const ledger::LedgerEffect& effect) {
  std::visit([&](const auto& concrete) { this->Run(state, concrete); }, effect);
}

void EffectExecutor::Execute(const control::ControlState& state,
                             const lease::LeaseEffect& effect) {
  std::visit([&](const auto& concrete) { this->Run(state, concrete); }, effect);
}

void EffectExecutor::Run(const control::ControlState&,
                         const config::ReadDocument&) {
  this->SubmitStoreCall(&ReadDocument);
}

void EffectExecutor::Run(const control::ControlState&,
                         const config::WriteDocument& effect) {
  this->SubmitStoreCall(
      [effect](ObjectStore& store) { return WriteDocument(store, effect); });
}

void EffectExecutor::Run(const control::ControlState&,
                         const ledger::ReadShard& effect) {
  this->SubmitStoreCall(
      [effect](ObjectStore& store) { return ReadShard(store, effect); });
}

void EffectExecutor::Run(const control::ControlState&,
                         const ledger::WriteShard& effect) {
  this->SubmitStoreCall(
      [effect](ObjectStore& store) { return WriteShard(store, effect); });
}

void EffectExecutor::Run(const control::ControlState&,
                         const ledger::WriteSegment& effect) {
  this->SubmitStoreCall(
      [effect](ObjectStore& store) { return WriteSegment(store, effect); });
}

void EffectExecutor::Run(const control::ControlState&,
                         const ledger::RemoveSegment& effect) {
  this->SubmitStoreCall(
      [effect](ObjectStore& store) { return RemoveSegment(store, effect); });
}

void EffectExecutor::Run(const control::ControlState&,
                         const ledger::AnswerClaim& effect) {
  this->parts.ledger_calls.claims.Complete(effect.call.value, effect.result);
}

void EffectExecutor::Run(const control::ControlState&,
                         const ledger::AnswerOutcome& effect) {
  this->parts.ledger_calls.outcomes.Complete(effect.call.value, effect.verdict);
}

void EffectExecutor::Run(const control::ControlState&,
                         const lease::ReadLease& effect) {
  this->SubmitStoreCall(
      [effect](ObjectStore& store) { return ReadLease(store, effect); });
}

void EffectExecutor::Run(const control::ControlState&,
                         const lease::WriteLease& effect) {
  this->SubmitStoreCall(
      [effect](ObjectStore& store) { return WriteLease(store, effect); });
}

void EffectExecutor::Run(const control::ControlState&,
                         const lease::DutyChanged& effect) {
  LogStateChange("duty " + effect.duty + (effect.held ? " gained" : " lost") +
                 " with fencing number " +
                 std::to_string(effect.fencing.value));
}

}  // namespace boragewharf::daemon
