/**
 * @file request_wire_base.h
 * Encoding and decoding of the HTTP messages exchanged with clients and backend
 * servers.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "httpio/message_parser_base.h"
#include "serving/request_type.h"

namespace boragewharf::relay {

/** Asks a server to copy the KV cache of a running request to another server.
 */
struct MoveRequest {
  std::string attempt_id;      ///< The running request.
  std::string target_address;  ///< IP:PORT of the receiving server.
  bool stop = false;           ///< Stop the request first, then copy the rest.
};

/** Decoded response to a MoveRequest. */
struct MoveResponse {
  bool copied = false;  ///< The target has the complete copy.
  /** The source says that it did not stop the run: it had ended, or another
   * move of it is in progress. */
  bool not_stopped = false;
  std::string handle;  ///< Identifies the copy; empty if there is none.
};

/** Stateless codec; implementations are thread-safe. */
class RequestCodec {
 public:
  virtual ~RequestCodec() = default;

  /** Decodes the header of a client's request. Malformed values are treated as
   * absent. */
  virtual serving::RequestFacts DecodeRequest(
      const httpio::Fields& fields) const = 0;

  /** Encodes the request line and header for a server, including the empty line
   * at the end. */
  virtual std::string EncodeRequest(
      const serving::ClientRequest& request,
      const serving::AttemptFields& attempt) const = 0;

  /** Decodes the status line and header of a server's response. */
  virtual serving::ResponseFacts DecodeResponse(
      const httpio::ResponseHead& head) const = 0;

  /** Header fields of a response by this node itself: attempt id and, if given,
   * Retry-After. */
  virtual httpio::Fields ResponseFields(
      std::string_view attempt_id,
      std::optional<serving::Milliseconds> retry_after) const = 0;

  /** Path at which a server reports its state. */
  virtual std::string ReportTarget() const = 0;

  /** Decodes such a report; malformed fields are treated as absent. */
  virtual serving::ServerReport DecodeReport(std::string_view body) const = 0;

  /**
   * Encodes method, target, fields and body of a move request.
   * @return Empty if the attempt id has bytes that the body can't represent.
   */
  virtual std::optional<httpio::InboundRequest> EncodeMoveRequest(
      const MoveRequest& call) const = 0;

  /** Decodes the response to a move request. */
  virtual MoveResponse DecodeMoveResponse(uint32_t status,
                                          std::string_view body) const = 0;

  /**
   * Encodes the request that frees a copy which no stream will be resumed from.
   * @return Empty if the handle contains characters that are not valid in a
   * path.
   */
  virtual std::optional<httpio::InboundRequest> EncodeFreeCopy(
      std::string_view handle) const = 0;
};

}  // namespace boragewharf::relay
