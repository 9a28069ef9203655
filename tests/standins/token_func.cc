/**
 * @file token_func.cc
 * Token function of the engine stand-in.
 */
#include "standins/token_func.h"

#include "base/digest_func.h"

namespace boragewharf::standins {

namespace {

constexpr std::string_view kLetters = "abcdefghijklmnopqrstuvwxyz";
constexpr size_t kWordLength = 4;

}  // namespace

std::string NextToken(std::string_view text) {
  uint64_t rest = Hash64(text);
  std::string token = " ";
  for (size_t i = 0; i < kWordLength; ++i) {
    token.push_back(kLetters[rest % kLetters.size()]);
    rest /= kLetters.size();
  }
  return token;
}

std::string ExpectedText(std::string_view prompt, size_t count) {
  std::string text(prompt);
  for (size_t i = 0; i < count; ++i) {
    text += NextToken(text);
  }
  return text.substr(prompt.size());
}

std::string ChatPrompt(const nlohmann::json& request) {
  const nlohmann::json& messages = request.at("messages");
  const bool continues = request.value("continue_final_message", false);
  std::string text;
  for (size_t i = 0; i < messages.size(); ++i) {
    const bool is_open = continues && i + 1 == messages.size();
    text += messages[i].at("role").get<std::string>() + ": " +
            messages[i].at("content").get<std::string>();
    text += is_open ? "" : "\n";
  }
  return continues ? text : text + "assistant: ";
}

}  // namespace boragewharf::standins
