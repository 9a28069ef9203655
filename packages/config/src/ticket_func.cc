/**
 * @file ticket_func.cc
 * Reading, validation and digest of tickets.
 */
#include "config/ticket_func.h"

#include <algorithm>

#include "base/digest_func.h"
#include "base/result_func.h"
#include "config/configuration_func.h"
#include "config/object_json_func.h"

namespace boragewharf::config {

namespace {

using nlohmann::json;

/** Objects in one ticket; the size bound is met earlier by large ones. */
constexpr size_t kMaxObjects = 10000;
/** Objects that a summary names. */
constexpr size_t kSummarizedObjects = 3;

template <class Object>
void Insert(JsonReader& reader,
            Object object,
            std::map<std::string, Object>& objects) {
  if (object.name.empty()) {
    return;  // The fault is already reported.
  }
  std::string name = object.name;
  if (!objects.emplace(name, std::move(object)).second) {
    reader.Report("name", '"' + name + "\" again", "each object once");
  }
}

void ReadSetObject(JsonReader reader, Configuration& set) {
  const std::string kind_name = reader.Text("kind", KindRule());
  const std::optional<ObjectKind> kind = FindKind(kind_name);
  if (!kind) {
    return;
  }
  switch (*kind) {
    case ObjectKind::kCustomer:
      Insert(reader, ReadCustomer(reader), set.customers);
      break;
    case ObjectKind::kService:
      Insert(reader, ReadService(reader), set.services);
      break;
    case ObjectKind::kModel:
      Insert(reader, ReadModel(reader), set.models);
      break;
    case ObjectKind::kLimits:
      Insert(reader, ReadLimits(reader), set.limits);
      break;
  }
  reader.RefuseUnknownKeys();
}

void ReadRemoval(JsonReader reader, Ticket& ticket) {
  const std::string kind_name = reader.Text("kind", KindRule());
  const std::string name = reader.Text("name", ObjectNameRule());
  reader.RefuseUnknownKeys();
  const std::optional<ObjectKind> kind = FindKind(kind_name);
  if (!kind || name.empty()) {
    return;
  }
  const ObjectName object{*kind, name};
  if (Contains(ticket.set, object) ||
      std::ranges::find(ticket.remove, object) != ticket.remove.end()) {
    reader.Report("", ToString(object) + " again", "each object once");
    return;
  }
  ticket.remove.push_back(object);
}

Ticket ReadTicket(JsonReader reader) {
  Ticket ticket;
  ticket.number =
      TicketNumber{reader.RequiredWhole("ticket", {0, 1, kMaxNumber})};
  ticket.base =
      ConfigRevision{reader.RequiredWhole("base", {0, 0, kMaxNumber})};
  size_t index = 0;
  for (const json* element : reader.Array("set", 0, kMaxObjects)) {
    ReadSetObject(reader.Element("set", index++, element), ticket.set);
  }
  index = 0;
  for (const json* element : reader.Array("remove", 0, kMaxObjects)) {
    ReadRemoval(reader.Element("remove", index++, element), ticket);
  }
  std::ranges::sort(ticket.remove);
  reader.RefuseUnknownKeys();
  return ticket;
}

void CheckServiceOf(const Configuration& after,
                    const Model& model,
                    std::vector<JsonFault>& faults) {
  const std::string path =
      ToString(ObjectName{ObjectKind::kModel, model.name}) + ".service";
  const auto service = after.services.find(model.service);
  if (model.service.empty()) {
    return;  // Reported while reading.
  }
  if (service == after.services.end()) {
    faults.push_back({path, '"' + model.service + "\", which does not exist",
                      "the name of a service of type model"});
    return;
  }
  if (service->second.type != ServiceType::kModel) {
    faults.push_back({path, '"' + model.service + "\" of type plain",
                      "the name of a service of type model"});
  }
}

template <class Object>
void AppendCanonical(const std::map<std::string, Object>& objects,
                     ObjectKind kind,
                     json& array) {
  for (const auto& [name, object] : objects) {
    json element = ToJson(object);
    element["kind"] = KindName(kind);
    array.push_back(std::move(element));
  }
}

}  // namespace

std::optional<Ticket> ParseTicket(std::string_view text,
                                  std::vector<JsonFault>& faults) {
  if (text.size() > kMaxTicketBytes) {
    faults.push_back({"$", std::to_string(text.size()) + " bytes",
                      "at most " + std::to_string(kMaxTicketBytes) + " bytes"});
    return Fail(ResultCode::kBodyTooLarge, ToString(faults));
  }
  const std::optional<json> value = ParseJson(text, faults);
  if (!value) {
    return Fail(ResultCode::kMalformedJson, ToString(faults));
  }
  Ticket ticket = ReadTicket(JsonReader(&*value, "$", faults));
  if (faults.empty() && TouchedObjects(ticket).empty()) {
    faults.push_back({"$", "no objects", "objects in set or remove"});
  }
  return ticket;
}

void CheckReferences(const Configuration& current,
                     const Ticket& ticket,
                     std::vector<JsonFault>& faults) {
  for (const ObjectName& object : ticket.remove) {
    if (!Contains(current, object)) {
      faults.push_back({"$.remove", ToString(object), "an object that exists"});
    }
  }
  const Configuration after = Applied(current, ticket);
  for (const auto& [name, model] : after.models) {
    CheckServiceOf(after, model, faults);
  }
  for (const auto& [name, limits] : after.limits) {
    if (!after.services.contains(name)) {
      faults.push_back({ToString(ObjectName{ObjectKind::kLimits, name}),
                        "no service of this name", "the name of a service"});
    }
  }
}

std::vector<ObjectName> TouchedObjects(const Ticket& ticket) {
  std::vector<ObjectName> touched = ObjectNames(ticket.set);
  touched.insert(touched.end(), ticket.remove.begin(), ticket.remove.end());
  std::ranges::sort(touched);
  return touched;
}

std::string Summarize(const Ticket& ticket) {
  const std::vector<ObjectName> touched = TouchedObjects(ticket);
  const size_t named = std::min(touched.size(), kSummarizedObjects);
  std::string text;
  for (size_t i = 0; i < named; ++i) {
    const bool removed = std::ranges::binary_search(ticket.remove, touched[i]);
    text += std::string(i == 0 ? "" : ", ") + (removed ? "remove " : "set ") +
            ToString(touched[i]);
  }
  if (named < touched.size()) {
    text += " and " + std::to_string(touched.size() - named) + " more";
  }
  if (text.size() > kMaxSummaryBytes) {
    text.resize(kMaxSummaryBytes);
  }
  return text;
}

json CanonicalJson(const Ticket& ticket) {
  json set = json::array();
  AppendCanonical(ticket.set.customers, ObjectKind::kCustomer, set);
  AppendCanonical(ticket.set.services, ObjectKind::kService, set);
  AppendCanonical(ticket.set.models, ObjectKind::kModel, set);
  AppendCanonical(ticket.set.limits, ObjectKind::kLimits, set);
  json remove = json::array();
  for (const ObjectName& object : ticket.remove) {
    remove.push_back({{"kind", KindName(object.kind)}, {"name", object.name}});
  }
  return {{"ticket", ticket.number.value},
          {"base", ticket.base.value},
          {"set", std::move(set)},
          {"remove", std::move(remove)}};
}

std::string TicketDigest(const Ticket& ticket) {
  return HexEncode(AsView(Sha256(CanonicalJson(ticket).dump())));
}

}  // namespace boragewharf::config
