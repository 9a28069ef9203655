/**
 * @file document_json_func.h
 * JSON form of the object configs/current.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "config/document_type.h"

namespace boragewharf::config {

/** A document as kept in the store and sent between members. */
struct StoredDocument {
  Document document;     ///< The document.
  std::string write_id;  ///< Names the write that produced it.
};

/**
 * Reads a document.
 * @return Empty optional with kNewerFormat if the format number is higher than
 *     kDocumentFormat, and kStoreMalformed for anything else that is wrong.
 * @note Thread-safe.
 */
std::optional<StoredDocument> ParseDocument(std::string_view text);

/** Canonical JSON of a document. @note Thread-safe. */
std::string SerializeDocument(const Document& document,
                              std::string_view write_id);

/** Bytes of the canonical JSON of a configuration. @note Thread-safe. */
size_t SerializedSize(const Configuration& configuration);

/**
 * Position of a document in the history of the object: every write raises it
 * by one, so that an older document is told from a newer one without relying
 * on the store's versions, which are opaque.
 * @note Thread-safe.
 */
inline uint64_t Position(const Document& document) {
  return document.accepted.revision.value + HeldRevision(document).value;
}

}  // namespace boragewharf::config
