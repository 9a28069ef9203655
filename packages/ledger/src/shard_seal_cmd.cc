/**
 * @file shard_seal_cmd.cc
 * Sealing of entries into segments, and removal of old segments.
 */
#include <algorithm>
#include <utility>

#include "decide_func.h"
#include "ledger/shard_func.h"
#include "shard_cmd.h"

namespace boragewharf::ledger {

namespace {

void NameSeal(ShardContext context) {
  Seal& seal = *context.shard.seal;
  seal.info.name = SegmentName(context.shard.id, context.shard.header.epoch,
                               context.state.next_segment++);
  seal.may_exist = false;
  context.shard.unlisted.insert(seal.info.name);
}

/** Adds an entry unless it has expired or a later one is there already. */
void AddToSeal(ShardContext context, const StoredEntry& stored) {
  Seal& seal = *context.shard.seal;
  if (IsExpired(stored.entry, context.state)) {
    return;
  }
  const auto [it, added] = seal.entries->emplace(stored.entry.key, stored);
  if (added && stored.text.empty()) {
    it->second.text = EntryToJson(stored.entry);
  }
  seal.info.newest = std::max(seal.info.newest, stored.entry.changed);
}

}  // namespace

std::string MergeableSegment(ShardContext context) {
  const ShardState& shard = context.shard;
  if (shard.header.segments.empty()) {
    return {};
  }
  const std::string& last = shard.header.segments.back().name;
  const size_t merged = shard.sealed.at(last).bytes + shard.active_bytes;
  const bool fits = merged <= context.state.options.segment_bytes;
  return fits && !shard.removing.contains(last) ? last : std::string();
}

void OnSegmentWritten(ShardContext context) {
  ShardState& shard = context.shard;
  Seal seal = std::move(*shard.seal);
  shard.seal.reset();
  if (!seal.replaces.empty()) {
    shard.header.segments.pop_back();
    shard.sealed.erase(seal.replaces);
    shard.unlisted.insert(seal.replaces);
  }
  shard.header.segments.push_back(seal.info);
  shard.sealed[seal.info.name] = {std::move(seal.entries), seal.body.size()};
  shard.active.clear();
  shard.active_bytes = 0;
  shard.phase = ShardPhase::kReady;
  Advance(context);
}

void OnSegmentWriteFailed(ShardContext context, ResultCode cause) {
  Seal& seal = *context.shard.seal;
  if (cause == ResultCode::kStoreConflict) {
    if (seal.may_exist) {
      OnSegmentWritten(context);
      return;
    }
    context.shard.unlisted.erase(seal.info.name);
    NameSeal(context);
  } else if (cause != ResultCode::kStoreBusy &&
             cause != ResultCode::kStoreUnavailable) {
    seal.may_exist = true;
  }
  BackOff(context);
}

void BeginSeal(ShardContext context) {
  ShardState& shard = context.shard;
  shard.seal.emplace();
  Seal& seal = *shard.seal;
  seal.entries = std::make_shared<EntryTable>();
  for (const auto& [key, stored] : shard.active) {
    AddToSeal(context, stored);
  }
  seal.replaces = MergeableSegment(context);
  if (!seal.replaces.empty()) {
    for (const auto& [key, stored] : *shard.sealed.at(seal.replaces).entries) {
      AddToSeal(context, stored);
    }
  }
  std::vector<std::string_view> texts;
  for (const auto& [key, stored] : *seal.entries) {
    texts.push_back(stored.text);
  }
  seal.body = SegmentToJson(shard.id, texts);
  for (auto& [key, stored] : *seal.entries) {
    stored.text = {};
  }
  NameSeal(context);
  SendSeal(context);
}

void SendSeal(ShardContext context) {
  ShardState& shard = context.shard;
  ++context.state.totals.seals;
  PaceWrite(context);
  shard.phase = ShardPhase::kSealing;
  shard.operation = NextOperation(context.state);
  context.effects.push_back(WriteSegment{
      shard.operation, shard.id, shard.seal->info.name, shard.seal->body});
}

void RemoveOldSegments(ShardContext context) {
  ShardState& shard = context.shard;
  const LedgerOptions& options = context.state.options;
  if (shard.header.owner != context.state.self) {
    return;
  }
  for (const SegmentInfo& info : shard.header.segments) {
    const WallTime end =
        info.newest + options.retention + options.removal_margin;
    if (end <= context.state.wall && shard.removing.insert(info.name).second) {
      context.effects.push_back(RemoveSegment{shard.id, info.name});
      return;
    }
  }
}

}  // namespace boragewharf::ledger
