/**
 * @file lab_client.h
 * A client with blocking calls, which sees exactly the bytes that arrive.
 */
#pragma once

#include <chrono>
#include <map>
#include <string>

#include "base/endpoint_type.h"

namespace boragewharf::review {

/** What a client has read of a response. */
struct LabResponse {
  int status = 0;  ///< 0: no response, or bytes that are none.
  std::map<std::string, std::string> fields;  ///< By name in lower case.
  std::string body;                           ///< Without chunk heads.
  bool complete = false;  ///< Ended by its length or its last chunk.
  bool malformed = false;
  std::string start;  ///< First bytes, if they are no response.
};

/** A connection of a client. Not thread-safe. */
class LabChannel {
 public:
  explicit LabChannel(const Endpoint& address);
  ~LabChannel();
  LabChannel(const LabChannel&) = delete;
  LabChannel& operator=(const LabChannel&) = delete;

  bool Send(const std::string& bytes) const;

  /** Reads one response.
   * @param to_head Whether the request was HEAD: the response has no body. */
  LabResponse Read(std::chrono::milliseconds timeout, bool to_head = false);

 private:
  bool Fill(std::chrono::steady_clock::time_point end);
  bool ReadLine(std::chrono::steady_clock::time_point end, std::string& line);
  bool ReadBytes(std::chrono::steady_clock::time_point end,
                 size_t size,
                 std::string& bytes);
  void ReadChunks(std::chrono::steady_clock::time_point end,
                  LabResponse& response);

  int socket = -1;
  std::string input;
};

/** A request of a client. */
struct LabRequest {
  std::string method = "POST";
  std::string host = "front.example";
  std::string path;
  std::string attempt_id;
  std::string key;
  std::string fields;  ///< Further header lines, each with its line end.
  std::string body;
  int deadline_ms = 2500;
};

std::string Encode(const LabRequest& request);

}  // namespace boragewharf::review
