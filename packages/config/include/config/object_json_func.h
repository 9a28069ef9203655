/**
 * @file object_json_func.h
 * JSON form of the objects of a configuration, as in tickets and documents.
 */
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/json_reader_base.h"
#include "config/document_type.h"
#include "config/ticket_type.h"

namespace boragewharf::config {

/** Largest revision or ticket number; JSON numbers are exact up to it. */
inline constexpr uint64_t kMaxNumber = (uint64_t{1} << 53) - 1;

/** Rule of names of customers, services, models, versions and zones. */
const TextRule& ObjectNameRule();

/** Rule of kinds of objects. */
const TextRule& KindRule();

/** Inverse of KindName(). @note Thread-safe. */
std::optional<ObjectKind> FindKind(std::string_view name);

/**
 * Reads the fields of an object except kind and origin, and reports faults.
 * @note Thread-safe for different readers.
 */
Customer ReadCustomer(JsonReader& reader);
/** As ReadCustomer(). */
Service ReadService(JsonReader& reader);
/** As ReadCustomer(). */
Model ReadModel(JsonReader& reader);
/** As ReadCustomer(). */
Limits ReadLimits(JsonReader& reader);

/** JSON form without kind and origin. @note Thread-safe. */
nlohmann::json ToJson(const Customer& customer);
/** As for Customer. */
nlohmann::json ToJson(const Service& service);
/** As for Customer. */
nlohmann::json ToJson(const Model& model);
/** As for Customer. */
nlohmann::json ToJson(const Limits& limits);

}  // namespace boragewharf::config
