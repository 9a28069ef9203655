/**
 * @file chunk_writer_base.cc
 * Formatting of events and answers.
 */
#include "traffic/chunk_writer_base.h"

#include <nlohmann/json.hpp>

#include "base/time_type.h"

namespace boragewharf::traffic {

namespace {

using nlohmann::json;

std::string Quote(std::string_view text) {
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string UsageText(const Usage& usage) {
  const uint32_t total = usage.prompt_tokens + usage.completion_tokens;
  return "{\"prompt_tokens\":" + std::to_string(usage.prompt_tokens) +
         ",\"completion_tokens\":" + std::to_string(usage.completion_tokens) +
         ",\"total_tokens\":" + std::to_string(total) + "}";
}

}  // namespace

ChunkWriter::ChunkWriter(const RequestId& id, const CompletionRequest& request)
    : is_chat(request.is_chat),
      id_text((request.is_chat ? "chatcmpl-" : "cmpl-") + ToString(id)),
      model(request.model),
      created(std::chrono::floor<std::chrono::seconds>(WallNow())
                  .time_since_epoch()
                  .count()) {
  this->prefix = "data: {\"id\":\"" + this->id_text + "\",\"object\":\"" +
                 (this->is_chat ? "chat.completion.chunk" : "text_completion") +
                 "\",\"created\":" + std::to_string(this->created) +
                 ",\"model\":" + Quote(this->model) + ",\"choices\":[";
  this->suffix = "]}\n\n";
}

void ChunkWriter::AppendToken(std::string& out,
                              uint32_t position,
                              std::string_view text) const {
  out += "id: " + std::to_string(position) + "\n";
  out += this->prefix;
  if (!this->is_chat) {
    out += "{\"index\":0,\"text\":";
  } else if (position == 1) {
    out += "{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":";
  } else {
    out += "{\"index\":0,\"delta\":{\"content\":";
  }
  out += Quote(text);
  out +=
      this->is_chat ? "},\"finish_reason\":null}" : ",\"finish_reason\":null}";
  out += this->suffix;
}

void ChunkWriter::AppendEnd(std::string& out,
                            std::string_view finish_reason,
                            const Usage& usage,
                            bool include_usage) const {
  out += this->prefix;
  out += this->is_chat ? "{\"index\":0,\"delta\":{}"
                       : "{\"index\":0,\"text\":\"\"";
  out += ",\"finish_reason\":" + Quote(finish_reason) + "}" + this->suffix;
  if (include_usage) {
    out += this->prefix + "],\"usage\":" + UsageText(usage) + "}\n\n";
  }
  out += "data: [DONE]\n\n";
}

std::string ChunkWriter::Answer(std::string_view text,
                                std::string_view finish_reason,
                                const Usage& usage) const {
  std::string answer = "{\"id\":\"" + this->id_text + "\",\"object\":\"";
  answer += this->is_chat ? "chat.completion" : "text_completion";
  answer += "\",\"created\":" + std::to_string(this->created);
  answer += ",\"model\":" + Quote(this->model);
  answer += ",\"choices\":[{\"index\":0,\"finish_reason\":";
  answer += Quote(finish_reason);
  if (this->is_chat) {
    answer += ",\"message\":{\"role\":\"assistant\",\"content\":";
    answer += Quote(text) + "}";
  } else {
    answer += ",\"text\":" + Quote(text);
  }
  answer += "}],\"usage\":" + UsageText(usage) + "}";
  return answer;
}

}  // namespace boragewharf::traffic
