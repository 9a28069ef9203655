/**
 * @file configuration_func.h
 * Look-up and change of the objects of a configuration.
 */
#pragma once

#include <optional>
#include <vector>

#include "config/document_type.h"
#include "config/ticket_type.h"

namespace boragewharf::config {

/** Whether the object exists. @note Thread-safe. */
bool Contains(const Configuration& configuration, const ObjectName& object);

/** Names of all objects, sorted. @note Thread-safe. */
std::vector<ObjectName> ObjectNames(const Configuration& configuration);

/**
 * Which ticket set or removed the object last.
 * @return Empty optional if no such ticket is remembered.
 * @note Thread-safe.
 */
std::optional<Origin> LastChange(const Configuration& configuration,
                                 const ObjectName& object);

/**
 * The configuration after @p ticket, with the next revision and all origins.
 * Removals of objects that do not exist have no effect.
 * @note Thread-safe.
 */
Configuration Applied(const Configuration& current, const Ticket& ticket);

}  // namespace boragewharf::config
