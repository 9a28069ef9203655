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

json UsageJson(const Usage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens}};
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
    out += this->prefix + "],\"usage\":" + UsageJson(usage).dump() + "}\n\n";
  }
  out += "data: [DONE]\n\n";
}

std::string ChunkWriter::Answer(std::string_view text,
                                std::string_view finish_reason,
                                const Usage& usage) const {
  json choice{{"index", 0}, {"finish_reason", finish_reason}};
  if (this->is_chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const json answer{
      {"id", this->id_text},
      {"object", this->is_chat ? "chat.completion" : "text_completion"},
      {"created", this->created},
      {"model", this->model},
      {"choices", json::array({choice})},
      {"usage", UsageJson(usage)}};
  return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace boragewharf::traffic
