/**
 * @file request_type.h
 * A client request in the product's terms.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "serving/config_type.h"

namespace boragewharf::serving {

/** A header field. */
using HeaderField = std::pair<std::string, std::string>;

/** A part of a prompt that requests can share. */
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

/** What the headers of a request say; absent headers leave the defaults. */
struct RequestFacts {
  std::string attempt_id;                 ///< Unique for each client attempt.
  std::optional<Milliseconds> deadline;   ///< Time the client will wait.
  std::string key;                        ///< Bearer key, or empty.
  bool has_token_counts = false;          ///< Whether the two counts are set.
  uint32_t prompt_tokens = 0;             ///< Tokens of the prompt.
  uint32_t max_output_tokens = 0;         ///< Most tokens to generate.
  uint32_t length_hint = 0;               ///< Client's estimate, 0: none.
  std::optional<uint64_t> last_event_id;  ///< Client resumes after it.
  std::vector<PromptPart> parts;          ///< In the order of the prompt.
  std::vector<HeaderField> forwarded;     ///< Fields for the server.
};

/** A complete request of a client. */
struct ClientRequest {
  std::string method;
  std::string target;  ///< Path and query, as sent.
  std::string host;
  RequestFacts facts;
  uint64_t body_bytes = 0;

  /** Path without the query. @note Thread-safe. */
  std::string_view Path() const {
    const std::string_view all = this->target;
    return all.substr(0, all.find('?'));
  }
};

/** Tokens of all parts but the request's own last one. @note Thread-safe. */
inline uint32_t SharedTokens(const RequestFacts& facts) {
  uint32_t total = 0;
  for (size_t i = 0; i + 1 < facts.parts.size(); ++i) {
    total += facts.parts[i].tokens;
  }
  return total;
}

/** Id of the last part that others share, or 0. @note Thread-safe. */
inline uint64_t SharedPartId(const RequestFacts& facts) {
  const size_t count = facts.parts.size();
  return count < 2 ? 0 : facts.parts[count - 2].id;
}

/** Where a request continues that moved between servers. */
struct MoveSource {
  std::string address;  ///< IP:PORT of the server that holds the copy.
  std::string handle;   ///< Name of the copy there.
};

/** Values that the system sets on a request to a server. */
struct AttemptFields {
  std::string server_id;  ///< The server that must run it.
  Milliseconds deadline{0};
  std::string customer;                   ///< Empty on anonymous routes.
  std::optional<uint32_t> urgency;        ///< 0 is first.
  std::optional<uint64_t> last_event_id;  ///< Continue after this event.
  std::optional<MoveSource> move;         ///< Continue from a moved copy.
  std::string copy_from;  ///< IP:PORT to copy the prefix from, or empty.
};

/** What a server says of itself on request. */
struct ServerReport {
  bool draining = false;
  std::optional<Milliseconds> leaves_in;  ///< Until it ends, if known.
};

/** What the head of a server's answer says. */
struct ResponseFacts {
  uint32_t status = 0;
  std::string reason;
  std::string attempt_id;            ///< Empty if the server did not echo it.
  std::string server_id;             ///< Empty unless the server names itself.
  bool stamped = false;              ///< Carries the server's signature.
  bool not_run = false;              ///< The server did not run the request.
  bool event_stream = false;         ///< Body is a series of events.
  bool close = false;                ///< Server closes the connection.
  std::optional<double> keep_alive;  ///< Idle time-out in seconds.
  std::vector<HeaderField> forwarded;  ///< Fields for the client.
};

}  // namespace boragewharf::serving
