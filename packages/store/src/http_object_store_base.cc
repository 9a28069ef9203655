/**
 * @file http_object_store_base.cc
 * Object API over HTTP: envelope, classification of answers, pages.
 */
#include "store/http_object_store_base.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/result_func.h"

namespace boragewharf {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::string_view kApiVersion = "boragewharf.dev/v1";
constexpr std::string_view kBasePath =
    "/apis/boragewharf.dev/v1/namespaces/default/";
constexpr size_t kMaxNameLength = 253;  // Limit of the Kubernetes API.
constexpr uint32_t kMaxPages = 10'000;  // Stops a list that never ends.

/** Names become parts of a path, so nothing in them may need escaping. */
bool IsPathSegment(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength || text.front() == '.') {
    return false;
  }
  return std::ranges::all_of(text, [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '.';
  });
}

std::string CollectionPath(std::string_view kind) {
  return std::string(kBasePath).append(kind);
}

std::string ObjectPath(const ObjectKey& key) {
  return CollectionPath(key.kind) + "/" + key.name;
}

bool CheckKey(const ObjectKey& key) {
  if (IsPathSegment(key.kind) && IsPathSegment(key.name)) {
    return true;
  }
  Fail(ResultCode::kInvalidField, "object name " + key.kind + "/" + key.name);
  return false;
}

/** Percent-encodes a query value. */
std::string EncodeQuery(std::string_view text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
      encoded.push_back(c);
      continue;
    }
    encoded += {'%', kDigits[byte >> 4], kDigits[byte & 0xf]};
  }
  return encoded;
}

/**
 * The envelope is put together as text, so that a body of up to 1 MB is
 * checked but not copied into a tree.
 */
std::optional<std::string> Envelope(const ObjectKey& key,
                                    const ObjectVersion* version,
                                    std::string_view body) {
  if (!Json::accept(body)) {
    return Fail(ResultCode::kMalformedJson, "body of " + ObjectPath(key));
  }
  Json metadata = {{"name", key.name}};
  if (version != nullptr) {
    metadata["resourceVersion"] = version->text;
  }
  std::string text = R"({"apiVersion":")";
  text.append(kApiVersion).append(R"(","kind":")").append(key.kind);
  text.append(R"(","metadata":)").append(metadata.dump());
  text.append(R"(,"spec":)").append(body).append("}");
  if (text.size() > kMaxObjectBytes) {
    return Fail(ResultCode::kBodyTooLarge, ObjectPath(key));
  }
  return text;
}

Json ParseObject(std::string_view text) {
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  return json.is_object() ? json : Json::object();
}

std::string TextField(const Json& json, const char* name) {
  if (!json.is_object()) {
    return {};
  }
  const auto field = json.find(name);
  return field != json.end() && field->is_string() ? field->get<std::string>()
                                                   : std::string();
}

/** Whether an error answer was made by the object API itself. */
bool IsStatusObject(const HttpReply& reply) {
  return TextField(ParseObject(reply.body), "kind") == "Status";
}

/**
 * Maps a reply to a code. An error that does not carry the object API's own
 * Status object may come from anything in between, possibly after the request
 * was forwarded. It therefore says nothing about a write, and a 404 of that
 * kind must not look like an object that does not exist.
 */
ResultCode Classify(const HttpReply& reply, bool is_write) {
  const ResultCode lost =
      is_write ? ResultCode::kStoreUnknown : ResultCode::kStoreUnavailable;
  switch (reply.outcome) {
    case HttpOutcome::kNotSent:
      return ResultCode::kStoreUnavailable;
    case HttpOutcome::kTooLarge:
      return ResultCode::kBodyTooLarge;
    case HttpOutcome::kLost:
      return lost;
    case HttpOutcome::kAnswered:
      break;
  }
  if (reply.status >= 200 && reply.status < 300) {
    return ResultCode::kOk;
  }
  if (reply.status == 429) {
    return ResultCode::kStoreBusy;
  }
  if (!IsStatusObject(reply)) {
    return is_write ? ResultCode::kStoreUnknown : ResultCode::kStoreMalformed;
  }
  switch (reply.status) {
    case 400:
    case 422:
      return ResultCode::kInvalidField;
    case 401:
    case 403:
      return ResultCode::kForbidden;
    case 404:
      return ResultCode::kStoreNotFound;
    case 409:
      return ResultCode::kStoreConflict;
    case 413:
      return ResultCode::kBodyTooLarge;
    case 503:
      return ResultCode::kStoreUnavailable;
    default:
      return lost;
  }
}

std::nullopt_t FailCall(ResultCode code,
                        const HttpCall& call,
                        const HttpReply& reply) {
  std::string detail(call.method);
  detail += " " + call.path;
  if (reply.outcome == HttpOutcome::kAnswered) {
    detail += ": status " + std::to_string(reply.status);
  }
  return Fail(code, detail);
}

/** Decodes an object; kNewerFormat or kStoreMalformed if that fails. */
std::optional<StoredObject> DecodeObject(const Json& json,
                                         std::string_view kind) {
  if (!json.is_object()) {
    return Fail(ResultCode::kStoreMalformed, "not an object");
  }
  const std::string api_version = TextField(json, "apiVersion");
  if (!api_version.empty() && api_version != kApiVersion) {
    return Fail(ResultCode::kNewerFormat, api_version);
  }
  const auto metadata = json.find("metadata");
  const auto spec = json.find("spec");
  if (api_version.empty() || metadata == json.end() || !metadata->is_object() ||
      spec == json.end()) {
    return Fail(ResultCode::kStoreMalformed, "incomplete object");
  }
  StoredObject object;
  object.key = {std::string(kind), TextField(*metadata, "name")};
  object.version.text = TextField(*metadata, "resourceVersion");
  if (object.key.name.empty() || object.version.text.empty()) {
    return Fail(ResultCode::kStoreMalformed, "incomplete metadata");
  }
  object.body = spec->dump(-1, ' ', false, Json::error_handler_t::replace);
  return object;
}

/** A removal is answered with a Status object or with the removed object. */
bool ConfirmsRemoval(const HttpReply& reply, const ObjectKey& key) {
  const Json json = ParseObject(reply.body);
  const auto metadata = json.find("metadata");
  const bool is_object =
      metadata != json.end() && TextField(*metadata, "name") == key.name;
  const bool is_success = TextField(json, "kind") == "Status" &&
                          TextField(json, "status") == "Success";
  return is_object || is_success;
}

/** One page of a list; its continue token is empty on the last page. */
struct Page {
  std::vector<StoredObject> objects;
  std::string next;
};

std::optional<Page> DecodePage(std::string_view text, std::string_view kind) {
  const Json json = ParseObject(text);
  const auto items = json.find("items");
  const auto metadata = json.find("metadata");
  if (items == json.end() || !items->is_array() || metadata == json.end() ||
      !metadata->is_object()) {
    return Fail(ResultCode::kStoreMalformed, "not a list");
  }
  Page page;
  page.next = TextField(*metadata, "continue");
  for (const Json& item : *items) {
    std::optional<StoredObject> object = DecodeObject(item, kind);
    if (!object) {
      return std::nullopt;
    }
    page.objects.push_back(std::move(*object));
  }
  return page;
}

}  // namespace

HttpObjectStore::HttpObjectStore(HttpChannelOptions options,
                                 CounterRegistry& counters,
                                 uint32_t objects_per_page)
    : channel(std::move(options), counters, "store"),
      page_limit(objects_per_page) {}

std::nullopt_t HttpObjectStore::Refuse(std::string_view label) {
  this->channel.CountResult(label, LastReason().code);
  return std::nullopt;
}

std::optional<StoredObject> HttpObjectStore::Read(const ObjectKey& key) {
  if (!CheckKey(key)) {
    return this->Refuse("read");
  }
  const HttpCall call{"read", "GET", ObjectPath(key), {}};
  const HttpReply reply = this->channel.Perform(call);
  const ResultCode code = Classify(reply, /*is_write=*/false);
  if (code != ResultCode::kOk) {
    this->channel.CountResult(call.label, code);
    return FailCall(code, call, reply);
  }
  std::optional<StoredObject> object =
      DecodeObject(ParseObject(reply.body), key.kind);
  if (object && object->key != key) {
    object = Fail(ResultCode::kStoreMalformed, "another object's name");
  }
  this->channel.CountResult(call.label,
                            object ? ResultCode::kOk : LastReason().code);
  return object;
}

std::optional<ObjectVersion> HttpObjectStore::Write(const HttpCall& call,
                                                    const ObjectKey& key) {
  const HttpReply reply = this->channel.Perform(call);
  ResultCode code = Classify(reply, /*is_write=*/true);
  std::string version;
  if (code == ResultCode::kOk) {
    const Json json = ParseObject(reply.body);
    const auto metadata = json.find("metadata");
    const bool named =
        metadata != json.end() && TextField(*metadata, "name") == key.name;
    version = named ? TextField(*metadata, "resourceVersion") : std::string();
    const bool complete = !version.empty();
    code = complete ? ResultCode::kOk : ResultCode::kStoreUnknown;
  }
  this->channel.CountResult(call.label, code);
  if (code != ResultCode::kOk) {
    return FailCall(code, call, reply);
  }
  return ObjectVersion{version};
}

std::optional<ObjectVersion> HttpObjectStore::Create(const ObjectKey& key,
                                                     std::string_view body) {
  if (!CheckKey(key)) {
    return this->Refuse("create");
  }
  std::optional<std::string> envelope = Envelope(key, nullptr, body);
  if (!envelope) {
    return this->Refuse("create");
  }
  return this->Write(
      {"create", "POST", CollectionPath(key.kind), std::move(*envelope)}, key);
}

std::optional<ObjectVersion> HttpObjectStore::Update(
    const ObjectKey& key,
    const ObjectVersion& expected,
    std::string_view body) {
  if (!CheckKey(key)) {
    return this->Refuse("update");
  }
  std::optional<std::string> envelope = Envelope(key, &expected, body);
  if (!envelope) {
    return this->Refuse("update");
  }
  return this->Write({"update", "PUT", ObjectPath(key), std::move(*envelope)},
                     key);
}

bool HttpObjectStore::Remove(const ObjectKey& key,
                             const ObjectVersion& expected) {
  if (!CheckKey(key)) {
    this->Refuse("remove");
    return false;
  }
  const Json body = {{"kind", "DeleteOptions"},
                     {"apiVersion", "v1"},
                     {"preconditions", {{"resourceVersion", expected.text}}}};
  const HttpCall call{"remove", "DELETE", ObjectPath(key), body.dump()};
  const HttpReply reply = this->channel.Perform(call);
  ResultCode code = Classify(reply, /*is_write=*/true);
  if (code == ResultCode::kOk && !ConfirmsRemoval(reply, key)) {
    code = ResultCode::kStoreUnknown;
  }
  this->channel.CountResult(call.label, code);
  if (code != ResultCode::kOk) {
    FailCall(code, call, reply);
  }
  return code == ResultCode::kOk;
}

std::optional<std::vector<StoredObject>> HttpObjectStore::List(
    std::string_view kind) {
  if (!IsPathSegment(kind)) {
    return Fail(ResultCode::kInvalidField, kind);
  }
  std::vector<StoredObject> objects;
  std::string next;
  for (uint32_t pages = 0; pages < kMaxPages; ++pages) {
    HttpCall call{"list", "GET", CollectionPath(kind), {}};
    call.path += "?limit=" + std::to_string(this->page_limit);
    if (!next.empty()) {
      call.path += "&continue=" + EncodeQuery(next);
    }
    const HttpReply reply = this->channel.Perform(call);
    const ResultCode code = Classify(reply, /*is_write=*/false);
    if (code != ResultCode::kOk) {
      this->channel.CountResult(call.label, code);
      return FailCall(code, call, reply);
    }
    std::optional<Page> page = DecodePage(reply.body, kind);
    this->channel.CountResult(call.label,
                              page ? ResultCode::kOk : LastReason().code);
    if (!page) {
      return std::nullopt;
    }
    std::ranges::move(page->objects, std::back_inserter(objects));
    next = std::move(page->next);
    if (next.empty()) {
      return objects;
    }
  }
  return Fail(ResultCode::kStoreMalformed, "a list without end");
}

}  // namespace boragewharf
