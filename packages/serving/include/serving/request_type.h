/**
 * @file request_type.h
 * Client requests and server responses, independent of header names.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "serving/config_type.h"

namespace boragewharf::serving {

/** Name and value of a header field. */
using HeaderField = std::pair<std::string, std::string>;

/** A part of a prompt; requests can have leading parts in common. */
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

/** Values of the request headers; defaults where a header is absent. */
struct RequestFacts {
  std::string attempt_id;                 ///< Unique per client attempt.
  std::optional<Milliseconds> deadline;   ///< How long the client will wait.
  std::string key;                        ///< Bearer key, or empty.
  bool has_token_counts = false;          ///< Whether the two counts are set.
  uint32_t prompt_tokens = 0;             ///< Tokens of the prompt.
  uint32_t max_output_tokens = 0;         ///< Limit of generated tokens.
  uint32_t length_hint = 0;               ///< Estimated output tokens; 0: none.
  std::optional<uint64_t> last_event_id;  ///< The client resumes after it.
  /** Attempt id of the request that began the resumed stream, or empty. */
  std::string resumes;
  std::vector<PromptPart> parts;       ///< In the order of the prompt.
  std::vector<HeaderField> forwarded;  ///< Passed on to the server.
};

/** Head of a client request. */
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

/** Tokens of all parts except the last, unshared one. @note Thread-safe. */
inline uint32_t SharedTokens(const RequestFacts& facts) {
  uint32_t total = 0;
  for (size_t i = 0; i + 1 < facts.parts.size(); ++i) {
    total += facts.parts[i].tokens;
  }
  return total;
}

/** Id of the last shared part, or 0 if there is none. @note Thread-safe. */
inline uint64_t SharedPartId(const RequestFacts& facts) {
  const size_t count = facts.parts.size();
  return count < 2 ? 0 : facts.parts[count - 2].id;
}

/** Ids of all parts except the last, unshared one, in the order of the prompt.
 * @note Thread-safe. */
inline std::vector<uint64_t> SharedPartIds(const RequestFacts& facts) {
  std::vector<uint64_t> ids;
  for (size_t i = 0; i + 1 < facts.parts.size(); ++i) {
    ids.push_back(facts.parts[i].id);
  }
  return ids;
}

/** Copy from which a request continues after a move between servers. */
struct MoveSource {
  std::string address;  ///< IP:PORT of the server that holds the copy.
  std::string handle;   ///< Identifies the copy on that server.
};

/** Header values that the node adds to a request to a server. */
struct AttemptFields {
  std::string server_id;  ///< Server that the request is meant for.
  Milliseconds deadline{0};
  std::string customer;                   ///< Empty on anonymous routes.
  std::optional<uint32_t> urgency;        ///< 0 is the most urgent.
  std::optional<uint64_t> last_event_id;  ///< Continue after it.
  std::optional<MoveSource> move;         ///< Continue from a moved copy.
  std::string copy_from;  ///< IP:PORT to copy the prefix from, or empty.
};

/** State that a server reports when asked. */
struct ServerReport {
  bool ready = false;  ///< The server takes requests and is not leaving.
  bool draining = false;
  std::optional<Milliseconds> leaves_in;  ///< Until it stops, if known.
  std::optional<uint64_t> started;        ///< Unix milliseconds, if stated.
};

/** Values of the head of a server's response. */
struct ResponseFacts {
  uint32_t status = 0;
  std::string reason;
  std::string attempt_id;     ///< Empty if the server did not return it.
  std::string server_id;      ///< Empty if the server did not send its id.
  bool stamped = false;       ///< Carries the server's signature.
  bool not_run = false;       ///< The server did not run the request.
  bool event_stream = false;  ///< The body is an event stream.
  bool close = false;         ///< The server closes the connection.
  bool leaving = false;       ///< The server is about to stop.
  /** Requests per second that the server takes from all nodes together; empty
   * if it names no limit. */
  std::optional<double> limit_per_second;
  /** Time for which the server wants no requests from this node. */
  std::optional<Milliseconds> retry_after;
  std::optional<double> keep_alive;    ///< Idle timeout in seconds.
  std::vector<HeaderField> forwarded;  ///< Passed on to the client.
};

}  // namespace boragewharf::serving
