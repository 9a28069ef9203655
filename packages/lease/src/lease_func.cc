/**
 * @file lease_func.cc
 * Permission checks for a duty, and JSON encoding of the lease record.
 */
#include "lease/lease_func.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "base/result_func.h"

namespace boragewharf::lease {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kHexBase = 16;

std::string FormatMember(MemberId member) {
  char digits[2 * sizeof(member.value)];
  const auto [end, error] = std::to_chars(std::begin(digits), std::end(digits),
                                          member.value, kHexBase);
  return {digits, end};
}

std::optional<MemberId> ParseMember(std::string_view text) {
  MemberId member;
  const auto [end, error] = std::from_chars(
      text.data(), text.data() + text.size(), member.value, kHexBase);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return member;
}

}  // namespace

std::optional<Permit> IssuePermit(const LeaseState& state,
                                  std::string_view duty,
                                  ServerFencing fencing,
                                  TimePoint now) {
  const auto entry = state.duties.find(duty);
  if (entry == state.duties.end() || !entry->second.held_lease) {
    return Fail(ResultCode::kLeaseLost, "this member does not hold the lease");
  }
  const HeldLease& held_lease = *entry->second.held_lease;
  if (now >= held_lease.expires) {
    return Fail(ResultCode::kLeaseLost, "lapsed");
  }
  if (fencing == ServerFencing::kIgnored && now < held_lease.unfenced_from) {
    return Fail(ResultCode::kLeaseLost,
                "orders of an earlier holder may be outstanding");
  }
  return Permit(held_lease.fencing, held_lease.expires, held_lease.first);
}

std::string EncodeLease(const LeaseRecord& record) {
  Json former = Json::array();
  for (const FormerHolder& holder : record.former) {
    former.push_back(
        {{"instance", holder.instance},
         {"staysOutMs",
          std::chrono::ceil<std::chrono::milliseconds>(holder.excluded_for)
              .count()}});
  }
  Json json = {{"format", kRecordFormat},
               {"holder", FormatMember(record.holder)},
               {"fencing", record.fencing.value},
               {"leaseMs", kLeaseTime / std::chrono::milliseconds(1)},
               {"write", record.write},
               {"released", record.released},
               {"instance", record.instance},
               {"former", former}};
  if (record.era > 0) {
    json["era"] = record.era;
  }
  // Former holders are taken from a record that another program wrote.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

namespace {

/** Longest exclusion that is accepted, in milliseconds; a lease lasts seconds.
 */
constexpr uint64_t kMaxExclusionMs = uint64_t{24} * 60 * 60 * 1000;

/** Decodes the former holders; records of earlier software versions have none.
 * @return Empty optional if the list is malformed. */
std::optional<std::vector<FormerHolder>> DecodeFormer(const Json& json) {
  std::vector<FormerHolder> former;
  if (!json.contains("former")) {
    return former;
  }
  if (!json["former"].is_array()) {
    return std::nullopt;
  }
  for (const Json& holder : json["former"]) {
    if (!holder.is_object() || !holder.contains("instance") ||
        !holder["instance"].is_string() || !holder.contains("staysOutMs") ||
        !holder["staysOutMs"].is_number_unsigned() ||
        holder["staysOutMs"].get<uint64_t>() > kMaxExclusionMs) {
      return std::nullopt;
    }
    former.push_back(
        {holder["instance"].get<std::string>(),
         std::chrono::milliseconds(holder["staysOutMs"].get<int64_t>())});
  }
  return former;
}

}  // namespace

std::optional<LeaseRecord> DecodeLease(std::string_view text) {
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("format") ||
      !json["format"].is_number_unsigned()) {
    return Fail(ResultCode::kStoreMalformed,
                "lease record is not a JSON object with a format number");
  }
  if (json["format"].get<uint64_t>() > kRecordFormat) {
    return Fail(ResultCode::kNewerFormat, "lease record has a newer format");
  }
  for (const char* name : {"fencing", "write"}) {
    if (!json.contains(name) || !json[name].is_number_unsigned()) {
      return Fail(ResultCode::kStoreMalformed, name);
    }
  }
  if (!json.contains("holder") || !json["holder"].is_string() ||
      !json.contains("released") || !json["released"].is_boolean() ||
      (json.contains("instance") && !json["instance"].is_string()) ||
      (json.contains("era") && !json["era"].is_number_unsigned())) {
    return Fail(ResultCode::kStoreMalformed,
                "lease record has a missing or invalid field");
  }
  const std::optional<MemberId> holder =
      ParseMember(json["holder"].get_ref<const std::string&>());
  if (!holder) {
    return Fail(ResultCode::kStoreMalformed, "holder");
  }
  std::optional<std::vector<FormerHolder>> former = DecodeFormer(json);
  if (!former) {
    return Fail(ResultCode::kStoreMalformed, "former");
  }
  return LeaseRecord{*holder, FencingNumber{json["fencing"].get<uint64_t>()},
                     json["write"].get<uint64_t>(),
                     json["released"].get<bool>(),
                     // Records of earlier software versions have no instance
                     // or no era.
                     json.value("instance", ""), std::move(*former),
                     json.value("era", uint64_t{0})};
}

}  // namespace boragewharf::lease
