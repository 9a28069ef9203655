/**
 * @file handover_type.h
 * A running stream as it is handed over to another entry instance.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/digest_func.h"
#include "base/request_id_type.h"

namespace boragewharf::traffic {

/** Everything a peer needs to continue a stream. */
struct StreamTransfer {
  RequestId id;                      ///< Stream and request id.
  std::string customer;              ///< Who may read the stream.
  Digest fingerprint{};              ///< Digest of customer and request.
  bool is_chat = false;              ///< Chat completions.
  bool streamed = false;             ///< The caller wants events.
  bool include_usage = false;        ///< The caller wants a usage event.
  std::string body;                  ///< The caller's request as JSON.
  std::string text;                  ///< Text received so far.
  std::vector<uint32_t> piece_ends;  ///< End of each token in the text.
  uint32_t prompt_tokens = 0;        ///< As reported; 0 if unknown.
  uint32_t failures = 0;             ///< Unannounced failures so far.
  int64_t remaining_ms = 0;          ///< Time to the deadline.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->customer, this->fingerprint, this->is_chat,
            this->streamed, this->include_usage, this->body, this->text,
            this->piece_ends, this->prompt_tokens, this->failures,
            this->remaining_ms);
  }
};

}  // namespace boragewharf::traffic
