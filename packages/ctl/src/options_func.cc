/**
 * @file options_func.cc
 * Command line of boragewharfctl, on top of popt.
 */
#include "ctl/options_func.h"

#include <popt.h>

#include <cstdlib>
#include <memory>
#include <vector>

#include "base/result_func.h"
#include "ctl/table/command_table.h"

namespace boragewharf::ctl {

namespace {

enum OptionValue : int { kAddress = 1, kKeyFile, kJson, kHelpOption };

const poptOption kOptionTable[] = {
    {"address", 'a', POPT_ARG_STRING, nullptr, kAddress, nullptr, nullptr},
    {"key-file", 'k', POPT_ARG_STRING, nullptr, kKeyFile, nullptr, nullptr},
    {"json", 'j', POPT_ARG_NONE, nullptr, kJson, nullptr, nullptr},
    {"help", 'h', POPT_ARG_NONE, nullptr, kHelpOption, nullptr, nullptr},
    POPT_TABLEEND};

constexpr std::string_view kHelpStart =
    "Usage: boragewharfctl [OPTIONS] COMMAND\n"
    "Changes and inspects a Boragewharf deployment through one of its daemons; "
    "any one will do.\n\n"
    "Options:\n"
    "  -a, --address IP:PORT   caller address of a daemon (callerAddress of "
    "its settings)\n"
    "  -k, --key-file FILE     file with the operator key\n"
    "  -j, --json              print answers as JSON\n"
    "  -h, --help              print this text\n\n"
    "Commands (those with * need --key-file, and --address or ADDRESS):\n";

constexpr std::string_view kHelpEnd =
    "\nTo add a customer:\n"
    "  1. boragewharfctl token new acme          give the token to the "
    "customer, keep the hash\n"
    "  2. boragewharfctl -a IP:PORT -k KEY ticket list      note the "
    "revision\n"
    "  3. write ticket.json:\n"
    "     {\"ticket\": 12, \"base\": REVISION, \"set\": [{\"kind\": "
    "\"customer\", \"name\": \"acme\",\n"
    "      \"tokens\": [{\"salt\": \"...\", \"hash\": \"...\"}]}]}\n"
    "  4. boragewharfctl ticket check ticket.json\n"
    "  5. boragewharfctl -a IP:PORT -k KEY ticket apply ticket.json\n"
    "Services, models and limits are set in the same way; \"set\" has the "
    "complete new state of each object:\n"
    "  customer  name, tokens; weight, maxConcurrent, requestsPerSecond\n"
    "  service   name, type (model or plain); requireIdempotencyKey, "
    "maxRetries, deadlineMs\n"
    "  model     name, service, version; adapters, replicas\n"
    "  limits    name (of a service); minReplicas, maxReplicas, zones, "
    "maxPricePerHour\n"
    "To remove an object: \"remove\": [{\"kind\": \"customer\", \"name\": "
    "\"acme\"}] in a ticket\n"
    "To replace an instance: drain its daemon, then stop the instance.\n"
    "All keys of tickets and all tasks: docs/OPERATORS.md. All codes: "
    "boragewharfctl errors.\n";

struct ContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using ContextPtr =
    std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

struct TextDeleter {
  void operator()(char* text) const { std::free(text); }
};

std::string TakeText(poptContext context) {
  const std::unique_ptr<char, TextDeleter> text(poptGetOptArg(context));
  return text ? std::string(text.get()) : std::string();
}

/** Commands with this argument act on exactly the daemon that it names. */
constexpr std::string_view kAddressArgument = "ADDRESS";

bool ReadAddress(const std::string& text, Options& options) {
  options.address = ParseEndpoint(text);
  if (!options.address) {
    Fail(ResultCode::kUsage, "address " + text + ": expected IP:PORT");
    return false;
  }
  return true;
}

bool ReadOption(poptContext context, int value, Options& options) {
  switch (value) {
    case kAddress:
      return ReadAddress(TakeText(context), options);
    case kKeyFile:
      options.key_file = TakeText(context);
      return true;
    case kJson:
      options.json = true;
      return true;
    default:
      return true;
  }
}

/** Splits the words into a command of the table and its argument. */
bool ReadCommand(const std::vector<std::string>& words, Options& options) {
  std::string typed;
  for (size_t i = 0; i < words.size(); ++i) {
    typed += (i == 0 ? "" : " ") + words[i];
    for (const CommandInfo& row : kCommandTable) {
      const size_t arguments = row.argument.empty() ? 0 : 1;
      if (typed != row.words) {
        continue;
      }
      if (words.size() != i + 1 + arguments) {
        Fail(ResultCode::kUsage,
             "expected: " + std::string(row.words) +
                 (arguments == 0 ? "" : " " + std::string(row.argument)));
        return false;
      }
      options.command = row.command;
      options.argument = arguments == 0 ? "" : words.back();
      return row.argument != kAddressArgument ||
             ReadAddress(options.argument, options);
    }
  }
  Fail(ResultCode::kUsage,
       typed.empty() ? "a command is missing" : "unknown command: " + typed);
  return false;
}

bool CheckReach(const Options& options) {
  if (GetCommandInfo(options.command).reach == Reach::kLocal) {
    return true;
  }
  if (!options.address) {
    Fail(ResultCode::kUsage, "--address IP:PORT is missing");
    return false;
  }
  if (options.key_file.empty()) {
    Fail(ResultCode::kUsage, "--key-file FILE is missing");
    return false;
  }
  return true;
}

}  // namespace

std::optional<Options> ParseCommandLine(
    std::span<const char* const> arguments) {
  // popt takes a non-const array, but does not change it.
  auto* values = const_cast<const char**>(arguments.data());
  const ContextPtr context(poptGetContext("boragewharfctl",
                                          static_cast<int>(arguments.size()),
                                          values, kOptionTable, 0));
  Options options;
  int value = 0;
  while ((value = poptGetNextOpt(context.get())) >= 0) {
    if (value == kHelpOption) {
      return Options{};
    }
    if (!ReadOption(context.get(), value, options)) {
      return std::nullopt;
    }
  }
  if (value < -1) {
    return Fail(ResultCode::kUsage,
                std::string(poptBadOption(context.get(), 0)) + ": " +
                    poptStrerror(value));
  }
  std::vector<std::string> words;
  while (const char* word = poptGetArg(context.get())) {
    words.emplace_back(word);
  }
  if (!ReadCommand(words, options) || !CheckReach(options)) {
    return std::nullopt;
  }
  return options;
}

std::string HelpText() {
  std::string text(kHelpStart);
  constexpr size_t kColumn = 28;
  for (const CommandInfo& row : kCommandTable) {
    std::string line = row.reach == Reach::kDaemon ? "* " : "  ";
    line.append(row.words).append(" ").append(row.argument);
    line.resize(std::max(line.size(), kColumn), ' ');
    text += line + std::string(row.help) + "\n";
  }
  text += "\nExit codes:\n";
  for (const ExitInfo& row : kExitTable) {
    text += "  " + std::to_string(static_cast<int>(row.code)) + "  " +
            std::string(row.meaning) + " " + std::string(row.next_step) + "\n";
  }
  return text.append(kHelpEnd);
}

const CommandInfo& GetCommandInfo(Command command) {
  for (const CommandInfo& row : kCommandTable) {
    if (row.command == command) {
      return row;
    }
  }
  return kCommandTable.back();
}

}  // namespace boragewharf::ctl
