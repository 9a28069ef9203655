/**
 * @file store_instance_list_base.cc
 * Decoding of instance records.
 */
#include "store/store_instance_list_base.h"

#include <nlohmann/json.hpp>

namespace boragewharf {

namespace {

using Json = nlohmann::json;

/** Reads the fields of a spec; one missing or malformed field is kept. */
class FieldReader {
 public:
  explicit FieldReader(const Json& json) : spec(json) {}

  std::string Text(const char* name) {
    const auto field = this->spec.find(name);
    if (field == this->spec.end() || !field->is_string()) {
      this->complete = false;
      return {};
    }
    return field->get<std::string>();
  }

  bool Flag(const char* name) {
    const auto field = this->spec.find(name);
    if (field == this->spec.end()) {
      return false;
    }
    this->complete = this->complete && field->is_boolean();
    return field->is_boolean() && field->get<bool>();
  }

  double Price(const char* name) {
    const auto field = this->spec.find(name);
    if (field == this->spec.end() || !field->is_number() ||
        field->get<double>() < 0) {
      this->complete = false;
      return 0;
    }
    return field->get<double>();
  }

  Endpoint Address(const char* name) {
    const std::optional<Endpoint> endpoint = ParseEndpoint(this->Text(name));
    this->complete = this->complete && endpoint;
    return endpoint.value_or(Endpoint{});
  }

  void Refuse() { this->complete = false; }

  bool IsComplete() const { return this->complete; }

 private:
  const Json& spec;
  bool complete = true;
};

}  // namespace

InstanceRecord DecodeInstance(const StoredObject& object) {
  InstanceRecord unreadable;
  unreadable.name = object.key.name;
  const Json spec = Json::parse(object.body, nullptr, false);
  if (!spec.is_object()) {
    return unreadable;
  }
  InstanceRecord record = unreadable;
  FieldReader fields(spec);
  const std::string role = fields.Text("role");
  if (role == "entry") {
    record.role = InstanceRole::kEntry;
    record.caller_address = fields.Address("callerAddress");
    record.peer_address = fields.Address("peerAddress");
  } else if (role == "backend") {
    record.role = InstanceRole::kBackend;
    record.service = fields.Text("service");
    record.address = fields.Address("address");
  } else {
    fields.Refuse();
  }
  record.zone = fields.Text("zone");
  record.region = fields.Text("region");
  record.machine_class = fields.Text("machineClass");
  record.price_per_hour = fields.Price("pricePerHour");
  record.reclaimable = fields.Flag("reclaimable");
  record.leaving = fields.Flag("leaving");
  record.checks_fencing = fields.Flag("checksFencing");
  record.readable = fields.IsComplete();
  return record.readable ? record : unreadable;
}

std::optional<std::vector<InstanceRecord>> StoreInstanceList::Read() {
  const std::optional<std::vector<StoredObject>> objects =
      this->store.List("instances");
  if (!objects) {
    return std::nullopt;
  }
  std::vector<InstanceRecord> records;
  records.reserve(objects->size());
  for (const StoredObject& object : *objects) {
    records.push_back(DecodeInstance(object));
  }
  return records;
}

}  // namespace boragewharf
