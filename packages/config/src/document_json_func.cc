/**
 * @file document_json_func.cc
 * JSON form of the object configs/current.
 */
#include "config/document_json_func.h"

#include <limits>

#include "base/json_reader_base.h"
#include "base/result_func.h"
#include "config/object_json_func.h"

namespace boragewharf::config {

namespace {

using nlohmann::json;

/** The size of the text bounds the number of elements. */
constexpr size_t kAnyCount = std::numeric_limits<uint32_t>::max();

const TextRule kAnyText{"a text", [](const std::string&) { return true; }};

const TextRule kRemovedRule{
    "KIND/NAME", [](const std::string& text) {
      return FindKind(text.substr(0, text.find('/'))).has_value();
    }};

uint64_t ReadNumber(JsonReader& reader, std::string_view key) {
  return reader.RequiredWhole(key, {0, 0, kMaxNumber});
}

Origin ReadOrigin(JsonReader& reader) {
  const uint64_t revision = ReadNumber(reader, "revision");
  const uint64_t ticket = ReadNumber(reader, "ticket");
  return {ConfigRevision{revision}, TicketNumber{ticket}};
}

template <class Object>
void ReadObjects(JsonReader& parent,
                 std::string_view key,
                 Object (*read)(JsonReader&),
                 std::map<std::string, Object>& objects) {
  size_t index = 0;
  for (const json* element : parent.Array(key, 0, kAnyCount)) {
    JsonReader reader = parent.Element(key, index++, element);
    Object object = read(reader);
    object.origin = ReadOrigin(reader);
    reader.RefuseUnknownKeys();
    std::string name = object.name;
    if (!objects.emplace(name, std::move(object)).second) {
      reader.Report("name", name, "each name once");
    }
  }
}

void ReadRemoved(JsonReader& parent, Configuration& configuration) {
  size_t index = 0;
  for (const json* element : parent.Array("removed", 0, kAnyCount)) {
    JsonReader reader = parent.Element("removed", index++, element);
    const std::string object = reader.Text("object", kRemovedRule);
    configuration.removed[object] = ReadOrigin(reader);
    reader.RefuseUnknownKeys();
  }
}

Configuration ReadConfiguration(JsonReader reader) {
  Configuration configuration;
  configuration.revision = ConfigRevision{ReadNumber(reader, "revision")};
  ReadObjects(reader, "customers", &ReadCustomer, configuration.customers);
  ReadObjects(reader, "services", &ReadService, configuration.services);
  ReadObjects(reader, "models", &ReadModel, configuration.models);
  ReadObjects(reader, "limits", &ReadLimits, configuration.limits);
  ReadRemoved(reader, configuration);
  reader.RefuseUnknownKeys();
  return configuration;
}

TicketRecord ReadRecord(JsonReader& reader) {
  TicketRecord record;
  record.number = TicketNumber{ReadNumber(reader, "ticket")};
  record.revision = ConfigRevision{ReadNumber(reader, "revision")};
  record.digest = reader.Text("digest", kAnyText);
  record.summary = reader.Text("summary", kAnyText);
  return record;
}

StagedTicket ReadStaged(JsonReader reader) {
  StagedTicket staged;
  staged.record = ReadRecord(reader);
  staged.configuration =
      ReadConfiguration(reader.RequiredObject("configuration"));
  reader.RefuseUnknownKeys();
  return staged;
}

StoredDocument ReadDocument(JsonReader reader) {
  StoredDocument stored;
  Document& document = stored.document;
  reader.Has("format");
  stored.write_id = reader.Text("writeId", kAnyText);
  document.accepted = ReadConfiguration(reader.RequiredObject("accepted"));
  size_t index = 0;
  for (const json* element : reader.Array("tickets", 0, kMaxTicketRecords)) {
    JsonReader record = reader.Element("tickets", index++, element);
    document.tickets.push_back(ReadRecord(record));
    record.RefuseUnknownKeys();
  }
  if (reader.Has("staged")) {
    document.staged = ReadStaged(reader.RequiredObject("staged"));
  }
  reader.RefuseUnknownKeys();
  return stored;
}

/** The staged revision follows the accepted one, and names itself. */
bool IsConsistent(const Document& document) {
  if (!document.staged) {
    return true;
  }
  const ConfigRevision next{document.accepted.revision.value + 1};
  return document.staged->record.revision == next &&
         document.staged->configuration.revision == next;
}

template <class Object>
json ObjectsJson(const std::map<std::string, Object>& objects) {
  json array = json::array();
  for (const auto& [name, object] : objects) {
    json element = ToJson(object);
    element["revision"] = object.origin.revision.value;
    element["ticket"] = object.origin.ticket.value;
    array.push_back(std::move(element));
  }
  return array;
}

json RemovedJson(const std::map<std::string, Origin>& removed) {
  json array = json::array();
  for (const auto& [object, origin] : removed) {
    array.push_back({{"object", object},
                     {"revision", origin.revision.value},
                     {"ticket", origin.ticket.value}});
  }
  return array;
}

json ConfigurationJson(const Configuration& configuration) {
  return {{"revision", configuration.revision.value},
          {"customers", ObjectsJson(configuration.customers)},
          {"services", ObjectsJson(configuration.services)},
          {"models", ObjectsJson(configuration.models)},
          {"limits", ObjectsJson(configuration.limits)},
          {"removed", RemovedJson(configuration.removed)}};
}

json RecordJson(const TicketRecord& record) {
  return {{"ticket", record.number.value},
          {"revision", record.revision.value},
          {"digest", record.digest},
          {"summary", record.summary}};
}

}  // namespace

std::optional<StoredDocument> ParseDocument(std::string_view text) {
  std::vector<JsonFault> faults;
  const std::optional<json> value = ParseJson(text, faults);
  if (!value || !value->is_object()) {
    return Fail(ResultCode::kStoreMalformed, "configs/current is no object");
  }
  const auto format = value->find("format");
  if (format == value->end() || !format->is_number_unsigned()) {
    return Fail(ResultCode::kStoreMalformed, "configs/current has no format");
  }
  if (format->get<uint64_t>() > kDocumentFormat) {
    return Fail(ResultCode::kNewerFormat,
                "configs/current has format " + format->dump());
  }
  StoredDocument stored = ReadDocument(JsonReader(&*value, "$", faults));
  if (!faults.empty()) {
    return Fail(ResultCode::kStoreMalformed, ToString(faults.front()));
  }
  if (!IsConsistent(stored.document)) {
    return Fail(ResultCode::kStoreMalformed,
                "the staged revision does not follow the accepted one");
  }
  return stored;
}

size_t SerializedSize(const Configuration& configuration) {
  return ConfigurationJson(configuration).dump().size();
}

std::string SerializeDocument(const Document& document,
                              std::string_view write_id) {
  json tickets = json::array();
  for (const TicketRecord& record : document.tickets) {
    tickets.push_back(RecordJson(record));
  }
  json value = {{"format", document.format},
                {"writeId", write_id},
                {"accepted", ConfigurationJson(document.accepted)},
                {"tickets", std::move(tickets)}};
  if (document.staged) {
    json staged = RecordJson(document.staged->record);
    staged["configuration"] = ConfigurationJson(document.staged->configuration);
    value["staged"] = std::move(staged);
  }
  return value.dump();
}

}  // namespace boragewharf::config
