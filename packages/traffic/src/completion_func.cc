/**
 * @file completion_func.cc
 * Completion requests.
 */
#include "traffic/completion_func.h"

#include <algorithm>
#include <limits>

#include "base/digest_func.h"
#include "base/result_func.h"

namespace boragewharf::traffic {

namespace {

using nlohmann::json;

// Serialising recurses once per level, so deeper input could exhaust the
// stack.
constexpr int kMaxJsonDepth = 64;
// The documented default of the completions API. It is made explicit, because
// an engine would apply it anew to each resumed part.
constexpr uint32_t kDefaultMaxTokens = 16;
constexpr size_t kBytesPerToken = 4;
constexpr size_t kPrefixBytes = 1024;

/** Whether a field is absent or null or has the only supported value. */
bool IsAbsentOr(const json& body, const char* name, const json& supported) {
  const auto field = body.find(name);
  return field == body.end() || field->is_null() || *field == supported;
}

std::optional<bool> ReadBool(const json& body, const char* name) {
  const auto field = body.find(name);
  if (field == body.end() || field->is_null()) {
    return false;
  }
  if (!field->is_boolean()) {
    return Fail(ResultCode::kInvalidField,
                std::string(name) + ": not a boolean");
  }
  return field->get<bool>();
}

std::optional<uint32_t> ReadLimit(const json& body, const char* name) {
  const auto field = body.find(name);
  if (field == body.end() || field->is_null()) {
    return 0;
  }
  constexpr uint64_t kMax = std::numeric_limits<int32_t>::max();
  if (!field->is_number_unsigned() || field->get<uint64_t>() == 0 ||
      field->get<uint64_t>() > kMax) {
    return Fail(ResultCode::kInvalidField,
                std::string(name) + ": not a number from 1 to 2147483647");
  }
  return field->get<uint32_t>();
}

bool CheckPrompt(const json& body) {
  const auto prompt = body.find("prompt");
  if (prompt == body.end()) {
    Fail(ResultCode::kMissingField, "prompt");
    return false;
  }
  if (!prompt->is_string()) {
    Fail(ResultCode::kInvalidField, "prompt: not a string");
    return false;
  }
  return true;
}

bool CheckMessages(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end()) {
    Fail(ResultCode::kMissingField, "messages");
    return false;
  }
  const auto valid = [](const json& message) {
    return message.is_object() && message.contains("role") &&
           message["role"].is_string() && message.contains("content") &&
           (message["content"].is_string() || message["content"].is_array());
  };
  if (!messages->is_array() || messages->empty() ||
      !std::ranges::all_of(*messages, valid)) {
    Fail(ResultCode::kInvalidField,
         "messages: not a list of objects with role and content");
    return false;
  }
  const std::optional<bool> continues =
      ReadBool(body, "continue_final_message");
  if (!continues) {
    return false;
  }
  if (*continues && !messages->back()["content"].is_string()) {
    Fail(ResultCode::kInvalidField, "messages: last content is not a string");
    return false;
  }
  return true;
}

bool CheckSupported(const json& body) {
  constexpr const char* kSwitches[] = {"logprobs", "echo"};
  for (const char* name : kSwitches) {
    if (!IsAbsentOr(body, name, false)) {
      Fail(ResultCode::kInvalidField, std::string(name) + ": not supported");
      return false;
    }
  }
  constexpr const char* kCounts[] = {"n", "best_of"};
  for (const char* name : kCounts) {
    if (!IsAbsentOr(body, name, 1)) {
      Fail(ResultCode::kInvalidField,
           std::string(name) + ": only 1 is allowed");
      return false;
    }
  }
  if (!IsAbsentOr(body, "tools", json::array())) {
    Fail(ResultCode::kInvalidField, "tools: not supported");
    return false;
  }
  return true;
}

std::optional<uint32_t> ReadMaxTokens(const json& body, bool is_chat) {
  const std::optional<uint32_t> limit = ReadLimit(body, "max_tokens");
  if (!limit || !is_chat) {
    return limit && *limit == 0 ? kDefaultMaxTokens : limit;
  }
  const std::optional<uint32_t> newer =
      ReadLimit(body, "max_completion_tokens");
  return newer && *newer > 0 ? newer : (newer ? limit : newer);
}

std::optional<bool> ReadIncludeUsage(const json& body) {
  const auto options = body.find("stream_options");
  if (options == body.end() || options->is_null()) {
    return false;
  }
  if (!options->is_object()) {
    return Fail(ResultCode::kInvalidField, "stream_options: not an object");
  }
  return ReadBool(*options, "include_usage");
}

void ContinueChat(json& body, std::string_view text) {
  json& messages = body["messages"];
  const bool continues = body.value("continue_final_message", false);
  if (continues) {
    json& content = messages.back()["content"];
    content = content.get<std::string>() + std::string(text);
  } else {
    messages.push_back({{"role", "assistant"}, {"content", text}});
  }
  body["continue_final_message"] = true;
  body["add_generation_prompt"] = false;
}

/** Name of the token limit that a request uses. */
const char* LimitField(const json& body) {
  const auto newer = body.find("max_completion_tokens");
  const bool uses_newer = newer != body.end() && newer->is_number();
  return uses_newer ? "max_completion_tokens" : "max_tokens";
}

const json& PromptOf(const CompletionRequest& request) {
  return request.body[request.is_chat ? "messages" : "prompt"];
}

}  // namespace

std::optional<json> ParseJson(std::string_view text) {
  bool too_deep = false;
  const auto check_depth = [&](int depth, json::parse_event_t, json&) {
    too_deep |= depth > kMaxJsonDepth;
    return !too_deep;
  };
  json parsed = json::parse(text, check_depth, false);
  if (too_deep) {
    return Fail(ResultCode::kMalformedJson, "nested too deeply");
  }
  if (parsed.is_discarded()) {
    return Fail(ResultCode::kMalformedJson);
  }
  return parsed;
}

std::optional<CompletionRequest> ParseCompletion(std::string_view body,
                                                 bool is_chat) {
  std::optional<json> parsed = ParseJson(body);
  if (!parsed) {
    return std::nullopt;
  }
  if (!parsed->is_object()) {
    return Fail(ResultCode::kInvalidField, "body: not an object");
  }
  const auto model = parsed->find("model");
  if (model == parsed->end()) {
    return Fail(ResultCode::kMissingField, "model");
  }
  if (!model->is_string()) {
    return Fail(ResultCode::kInvalidField, "model: not a string");
  }
  if (!(is_chat ? CheckMessages(*parsed) : CheckPrompt(*parsed)) ||
      !CheckSupported(*parsed)) {
    return std::nullopt;
  }
  const std::optional<bool> streamed = ReadBool(*parsed, "stream");
  const std::optional<bool> include_usage =
      streamed ? ReadIncludeUsage(*parsed) : std::nullopt;
  const std::optional<uint32_t> max_tokens =
      include_usage ? ReadMaxTokens(*parsed, is_chat) : std::nullopt;
  if (!max_tokens) {
    return std::nullopt;
  }
  CompletionRequest request;
  request.is_chat = is_chat;
  request.streamed = *streamed;
  request.include_usage = *include_usage;
  request.model = model->get<std::string>();
  request.max_tokens = *max_tokens;
  request.body = std::move(*parsed);
  request.body["stream"] = true;
  request.body["stream_options"] = {{"include_usage", true}};
  if (request.max_tokens > 0) {
    request.body[LimitField(request.body)] = request.max_tokens;
  }
  return request;
}

std::string UpstreamBody(const CompletionRequest& request,
                         std::string_view text,
                         uint32_t received) {
  if (received == 0) {
    return request.body.dump();
  }
  json body = request.body;
  if (request.max_tokens > 0) {
    body[LimitField(body)] = request.max_tokens - received;
  }
  if (request.is_chat) {
    ContinueChat(body, text);
  } else {
    body["prompt"] = body["prompt"].get<std::string>() + std::string(text);
  }
  return body.dump();
}

std::optional<CompletionChunk> ParseChunk(std::string_view data, bool is_chat) {
  const json parsed = json::parse(data, nullptr, false);
  if (!parsed.is_object()) {
    return Fail(ResultCode::kBackendFailed, "event is not a JSON object");
  }
  CompletionChunk chunk;
  if (const auto error = parsed.find("error"); error != parsed.end()) {
    chunk.error = error->dump();
    return chunk;
  }
  const auto usage = parsed.find("usage");
  if (usage != parsed.end() && usage->is_object()) {
    const auto tokens = usage->find("prompt_tokens");
    if (tokens != usage->end() && tokens->is_number_unsigned()) {
      chunk.prompt_tokens = tokens->get<uint32_t>();
    }
  }
  const auto choices = parsed.find("choices");
  if (choices == parsed.end() || !choices->is_array() || choices->empty()) {
    return chunk;
  }
  const json& choice = choices->front();
  if (!choice.is_object()) {
    return Fail(ResultCode::kBackendFailed, "choice is not an object");
  }
  const auto delta = choice.find("delta");
  const json* holder = &choice;
  if (is_chat) {
    holder = delta != choice.end() && delta->is_object() ? &*delta : nullptr;
  }
  const char* name = is_chat ? "content" : "text";
  if (holder != nullptr && holder->contains(name) &&
      holder->at(name).is_string()) {
    chunk.text = holder->at(name).get<std::string>();
  }
  const auto finish = choice.find("finish_reason");
  if (finish != choice.end() && finish->is_string()) {
    chunk.finish_reason = finish->get<std::string>();
  }
  return chunk;
}

uint32_t EstimatePromptTokens(const CompletionRequest& request) {
  const json& prompt = PromptOf(request);
  size_t bytes = 0;
  if (prompt.is_string()) {
    bytes = prompt.get_ref<const std::string&>().size();
  } else {
    for (const json& message : prompt) {
      const json& content = message["content"];
      bytes += content.is_string()
                   ? content.get_ref<const std::string&>().size()
                   : content.dump().size();
    }
  }
  return static_cast<uint32_t>(1 + bytes / kBytesPerToken);
}

uint64_t PromptPrefixHash(const CompletionRequest& request) {
  const json& prompt = PromptOf(request);
  const json& first = prompt.is_string() ? prompt : prompt.front()["content"];
  if (!first.is_string()) {
    return 0;
  }
  const std::string_view text = first.get_ref<const std::string&>();
  return Hash64(text.substr(0, kPrefixBytes));
}

}  // namespace boragewharf::traffic
