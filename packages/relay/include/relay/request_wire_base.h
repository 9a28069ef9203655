/**
 * @file request_wire_base.h
 * Translation between the HTTP messages of a deployment and the product's
 * types.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "httpio/message_parser_base.h"
#include "serving/request_type.h"

namespace boragewharf::relay {

/** A call that copies a running request's memory to another server. */
struct MoveCall {
  std::string attempt_id;      ///< The request to copy.
  std::string target_address;  ///< IP:PORT of the receiving server.
  bool stop = false;           ///< Stop the run before the final copy.
};

/** Its answer. */
struct MoveAnswer {
  bool copied = false;  ///< The copy is complete at the target.
  bool ended = false;   ///< There is no such run (any more).
  std::string handle;   ///< Name of the copy; empty if there is none.
};

/** Pure translation; implementations are thread-safe. */
class RequestCodec {
 public:
  virtual ~RequestCodec() = default;

  /** Decodes the header of a client's request. Unreadable values count as
   * absent. */
  virtual serving::RequestFacts DecodeRequest(
      const httpio::Fields& fields) const = 0;

  /** Request line and header for a server, up to the empty line. */
  virtual std::string EncodeRequest(
      const serving::ClientRequest& request,
      const serving::AttemptFields& attempt) const = 0;

  /** Decodes the head of a server's response. */
  virtual serving::ResponseFacts DecodeResponse(
      const httpio::ResponseHead& head) const = 0;

  /** Fields of an own answer: the request's id and when to come back. */
  virtual httpio::Fields AnswerFields(
      std::string_view attempt_id,
      std::optional<serving::Milliseconds> retry_after) const = 0;

  /** Path at which a server reports on itself. */
  virtual std::string ReportTarget() const = 0;

  /** Decodes such a report; unreadable fields count as absent. */
  virtual serving::ServerReport DecodeReport(std::string_view body) const = 0;

  /** Method, target, fields and body of a move call. */
  virtual httpio::InboundRequest EncodeMove(const MoveCall& call) const = 0;

  /** Decodes the answer to a move call. */
  virtual MoveAnswer DecodeMove(uint32_t status,
                                std::string_view body) const = 0;

  /**
   * Call that frees a copy which nobody will continue from.
   * @return Empty if the handle could not be part of a path.
   */
  virtual std::optional<httpio::InboundRequest> EncodeFreeCopy(
      std::string_view handle) const = 0;
};

}  // namespace boragewharf::relay
