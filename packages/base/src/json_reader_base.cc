/**
 * @file json_reader_base.cc
 * Reading of JSON objects that reports all faults of a text in one run.
 */
#include "base/json_reader_base.h"

#include <algorithm>
#include <cmath>

#include "base/digest_func.h"
#include "base/result_func.h"

namespace boragewharf {

namespace {

using nlohmann::json;

/** Deepest nesting of a text; the project's own objects need 7 levels. */
constexpr int kMaxDepth = 32;
/** Longest quotation of a value in a fault, in bytes. */
constexpr size_t kMaxQuotedBytes = 80;

std::string Quote(const json& value) {
  std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() <= kMaxQuotedBytes) {
    return text;
  }
  return text.substr(0, kMaxQuotedBytes) + "...";
}

std::string Describe(const json& value, Disclosure disclosure) {
  if (value.is_object() || value.is_array()) {
    return std::string("an ") + value.type_name();
  }
  if (disclosure == Disclosure::kShown) {
    return Quote(value);
  }
  if (!value.is_string()) {
    return std::string("a ") + value.type_name();
  }
  const size_t length = value.get_ref<const std::string&>().size();
  return "a text of " + std::to_string(length) + " bytes (not shown)";
}

std::string RangeText(std::string_view kind,
                      const std::string& least,
                      const std::string& most) {
  return std::string(kind) + " from " + least + " to " + most;
}

std::string Trimmed(double number) {
  return json(number).dump();
}

/** Finds what the parser itself accepts: repeated keys and deep nesting. */
class StrictnessCheck {
 public:
  bool operator()(int depth, json::parse_event_t event, json& value) {
    if (depth > kMaxDepth) {
      this->too_deep = true;
    }
    if (event == json::parse_event_t::object_start) {
      this->keys.emplace_back();
    }
    if (event == json::parse_event_t::object_end) {
      this->keys.pop_back();
    }
    if (event == json::parse_event_t::key && this->repeated.is_null() &&
        !this->keys.back().insert(value.get<std::string>()).second) {
      this->repeated = value;
    }
    return !this->too_deep;
  }

  bool too_deep = false;
  json repeated;

 private:
  std::vector<std::set<std::string>> keys;
};

}  // namespace

std::string ToString(const JsonFault& fault) {
  return fault.path + ": found " + fault.found + ", allowed: " + fault.allowed;
}

std::string ToString(const std::vector<JsonFault>& faults) {
  std::string text;
  for (const JsonFault& fault : faults) {
    text += (text.empty() ? "" : "; ") + ToString(fault);
  }
  return text;
}

std::optional<json> ParseJson(std::string_view text,
                              std::vector<JsonFault>& faults) {
  StrictnessCheck check;
  const auto callback = [&check](int depth, json::parse_event_t event,
                                 json& value) {
    return check(depth, event, value);
  };
  try {
    json value = json::parse(text, callback);
    if (check.too_deep) {
      faults.push_back({"$", "deep nesting",
                        "at most " + std::to_string(kMaxDepth) + " levels"});
      return Fail(ResultCode::kMalformedJson, "nested too deeply");
    }
    if (!check.repeated.is_null()) {
      faults.push_back({"$", "the key " + Quote(check.repeated) + " twice",
                        "each key once per object"});
      return Fail(ResultCode::kMalformedJson, "repeated key");
    }
    return value;
  } catch (const json::parse_error& error) {
    const auto end = text.begin() +
                     static_cast<ptrdiff_t>(std::min(error.byte, text.size()));
    const auto line = 1 + std::count(text.begin(), end, '\n');
    faults.push_back({"$",
                      "malformed JSON at byte " + std::to_string(error.byte) +
                          " (line " + std::to_string(line) + ")",
                      "valid JSON"});
  } catch (const json::exception&) {
    faults.push_back({"$", "a number out of range", "valid JSON"});
  }
  return Fail(ResultCode::kMalformedJson, faults.back().found);
}

TextRule HexRule(size_t least, size_t most, Disclosure disclosure) {
  const auto holds = [least, most](const std::string& text) {
    const std::optional<std::string> bytes = HexDecode(text);
    return bytes && bytes->size() >= least && bytes->size() <= most;
  };
  const std::string count = least == most ? std::to_string(2 * least)
                                          : std::to_string(2 * least) + " to " +
                                                std::to_string(2 * most);
  return {count + " lower-case hexadecimal digits, an even number", holds,
          disclosure};
}

JsonReader::JsonReader(const json* value,
                       std::string at,
                       std::vector<JsonFault>& list)
    : path(std::move(at)), faults(&list) {
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    this->Report("", Describe(*value, Disclosure::kSecret), "an object");
    return;
  }
  this->object = value;
}

std::string JsonReader::PathOf(std::string_view key) const {
  return key.empty() ? this->path : this->path + "." + std::string(key);
}

void JsonReader::Report(std::string_view key,
                        std::string found,
                        std::string_view allowed) {
  this->faults->push_back(
      {this->PathOf(key), std::move(found), std::string(allowed)});
}

const json* JsonReader::Find(std::string_view key) {
  this->known.emplace(key);
  if (this->object == nullptr) {
    return nullptr;
  }
  const auto found = this->object->find(key);
  return found == this->object->end() ? nullptr : &*found;
}

const json* JsonReader::FindRequired(std::string_view key,
                                     std::string_view allowed) {
  const json* value = this->Find(key);
  if (value == nullptr && this->object != nullptr) {
    this->Report(key, "nothing", allowed);
  }
  return value;
}

bool JsonReader::Has(std::string_view key) {
  return this->Find(key) != nullptr;
}

std::optional<std::string> JsonReader::CheckText(const json& value,
                                                 const std::string& place,
                                                 const TextRule& rule) {
  if (value.is_string() && rule.holds(value.get_ref<const std::string&>())) {
    return value.get<std::string>();
  }
  this->faults->push_back(
      {place, Describe(value, rule.disclosure), rule.allowed});
  return std::nullopt;
}

std::string JsonReader::Text(std::string_view key, const TextRule& rule) {
  const json* value = this->FindRequired(key, rule.allowed);
  if (value == nullptr) {
    return {};
  }
  return this->CheckText(*value, this->PathOf(key), rule).value_or("");
}

std::optional<std::string> JsonReader::OptionalText(std::string_view key,
                                                    const TextRule& rule) {
  const json* value = this->Find(key);
  if (value == nullptr) {
    return std::nullopt;
  }
  return this->CheckText(*value, this->PathOf(key), rule);
}

uint64_t JsonReader::Whole(std::string_view key,
                           const NumberRule<uint64_t>& rule) {
  const json* value = this->Find(key);
  if (value == nullptr) {
    return rule.fallback;
  }
  if (value->is_number_unsigned()) {
    const uint64_t number = value->get<uint64_t>();
    if (number >= rule.least && number <= rule.most) {
      return number;
    }
  }
  this->Report(key, Describe(*value, Disclosure::kShown),
               RangeText("a whole number", std::to_string(rule.least),
                         std::to_string(rule.most)));
  return rule.fallback;
}

uint64_t JsonReader::RequiredWhole(std::string_view key,
                                   const NumberRule<uint64_t>& rule) {
  this->FindRequired(key,
                     RangeText("a whole number", std::to_string(rule.least),
                               std::to_string(rule.most)));
  return this->Whole(key, rule);
}

double JsonReader::Real(std::string_view key, const NumberRule<double>& rule) {
  const json* value = this->Find(key);
  if (value == nullptr) {
    return rule.fallback;
  }
  if (value->is_number()) {
    const double number = value->get<double>();
    if (std::isfinite(number) && number >= rule.least && number <= rule.most) {
      return number;
    }
  }
  this->Report(key, Describe(*value, Disclosure::kShown),
               RangeText("a number", Trimmed(rule.least), Trimmed(rule.most)));
  return rule.fallback;
}

bool JsonReader::Flag(std::string_view key, bool fallback) {
  const json* value = this->Find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (value->is_boolean()) {
    return value->get<bool>();
  }
  this->Report(key, Describe(*value, Disclosure::kShown), "true or false");
  return fallback;
}

JsonReader JsonReader::RequiredObject(std::string_view key) {
  return {this->FindRequired(key, "an object"), this->PathOf(key),
          *this->faults};
}

JsonReader JsonReader::OptionalObject(std::string_view key) {
  static const json kEmpty = json::object();
  const json* value = this->Find(key);
  return {value == nullptr ? &kEmpty : value, this->PathOf(key), *this->faults};
}

std::vector<const json*> JsonReader::Array(std::string_view key,
                                           size_t least,
                                           size_t most) {
  const std::string allowed =
      RangeText("an array of elements, count", std::to_string(least),
                std::to_string(most));
  const json* value =
      least > 0 ? this->FindRequired(key, allowed) : this->Find(key);
  std::vector<const json*> elements;
  if (value == nullptr) {
    return elements;
  }
  if (!value->is_array()) {
    this->Report(key, Describe(*value, Disclosure::kSecret), allowed);
    return elements;
  }
  if (value->size() < least || value->size() > most) {
    this->Report(key, std::to_string(value->size()) + " elements", allowed);
    return elements;
  }
  for (const json& element : *value) {
    elements.push_back(&element);
  }
  return elements;
}

std::vector<std::string> JsonReader::Texts(std::string_view key,
                                           size_t least,
                                           size_t most,
                                           const TextRule& rule) {
  std::vector<std::string> texts;
  size_t index = 0;
  for (const json* element : this->Array(key, least, most)) {
    const std::string place =
        this->PathOf(key) + "[" + std::to_string(index++) + "]";
    std::optional<std::string> text = this->CheckText(*element, place, rule);
    if (!text) {
      continue;
    }
    if (std::ranges::find(texts, *text) != texts.end()) {
      this->faults->push_back(
          {place, Describe(*element, rule.disclosure), "each value once"});
      continue;
    }
    texts.push_back(std::move(*text));
  }
  return texts;
}

JsonReader JsonReader::Element(std::string_view key,
                               size_t index,
                               const json* value) {
  return {value, this->PathOf(key) + "[" + std::to_string(index) + "]",
          *this->faults};
}

void JsonReader::RefuseUnknownKeys() {
  if (this->object == nullptr) {
    return;
  }
  for (const auto& [key, value] : this->object->items()) {
    if (this->known.contains(key)) {
      continue;
    }
    std::string allowed = "only the keys";
    std::string_view separator = " ";
    for (const std::string& name : this->known) {
      allowed.append(separator).append(name);
      separator = ", ";
    }
    this->Report("", "the unknown key " + Quote(json(key)), allowed);
  }
}

}  // namespace boragewharf
