/**
 * @file command_func.cc
 * The commands of boragewharfctl.
 */
#include "ctl/command_func.h"

#include <array>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/digest_func.h"
#include "base/result_func.h"
#include "config/ticket_func.h"
#include "ctl/admin_client_base.h"
#include "ctl/options_func.h"
#include "ctl/print_func.h"

namespace boragewharf::ctl {

namespace {

using nlohmann::json;

constexpr size_t kSaltBytes = 16;
constexpr size_t kSecretBytes = 32;
constexpr int kFirstErrorStatus = 400;
constexpr int kAcceptedStatus = 202;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file.is_open() || file.bad()) {
    return Fail(ResultCode::kUsage, path + " cannot be read");
  }
  return text;
}

std::string RandomHex(size_t count) {
  std::string bytes(count, '\0');
  RandomBytes(std::span(reinterpret_cast<uint8_t*>(bytes.data()), count));
  return HexEncode(bytes);
}

/** SHA-256 over the bytes of the salt followed by the secret. */
std::string SaltedHash(const std::string& salt, const std::string& secret) {
  return HexEncode(AsView(Sha256(*HexDecode(salt) + secret)));
}

json NewSaltedHash(const std::string& secret) {
  const std::string salt = RandomHex(kSaltBytes);
  return {{"salt", salt}, {"hash", SaltedHash(salt, secret)}};
}

ExitCode UsageFault(std::ostream& err) {
  err << "error: " << LastReason().detail << "\n"
      << "next: correct the command line; boragewharfctl --help shows all "
         "commands\n";
  return ExitCode::kUsage;
}

std::optional<AdminClient> MakeClient(const Options& options) {
  const std::optional<std::string> text = ReadFile(options.key_file);
  if (!text) {
    return std::nullopt;
  }
  const std::string key = text->substr(0, text->find_first_of(" \t\r\n"));
  if (key.empty()) {
    return Fail(ResultCode::kUsage,
                options.key_file + " does not start with an operator key");
  }
  return AdminClient(*options.address, key);
}

/** Prints an answer or a refusal. */
template <class Printer>
ExitCode Finish(const Options& options,
                const std::optional<AdminAnswer>& answer,
                std::ostream& out,
                std::ostream& err,
                Printer print) {
  if (!answer) {
    PrintUnreachable(options, LastReason(), err);
    return ExitCode::kUnreachable;
  }
  if (answer->status >= kFirstErrorStatus) {
    PrintRefusal(*answer, err);
    return ExitCode::kRefused;
  }
  const json body = json::parse(answer->body, nullptr, false);
  if (options.json || body.is_discarded()) {
    out << answer->body << "\n";
  } else {
    print(body, out);
  }
  return answer->status == kAcceptedStatus ? ExitCode::kPending : ExitCode::kOk;
}

template <class Printer>
ExitCode RunGet(const Options& options,
                const std::string& path,
                std::ostream& out,
                std::ostream& err,
                Printer print) {
  const std::optional<AdminClient> client = MakeClient(options);
  if (!client) {
    return UsageFault(err);
  }
  return Finish(options, client->Get(path), out, err, print);
}

/** The ticket in the file, if it has no faults of its own. */
std::optional<std::string> CheckedTicket(const Options& options,
                                         config::Ticket& ticket,
                                         std::ostream& err,
                                         ExitCode& exit_code) {
  std::optional<std::string> text = ReadFile(options.argument);
  if (!text) {
    exit_code = UsageFault(err);
    return std::nullopt;
  }
  std::vector<JsonFault> faults;
  std::optional<config::Ticket> read = config::ParseTicket(*text, faults);
  if (!faults.empty()) {
    PrintFaults(options.argument, faults, err);
    exit_code = ExitCode::kRefused;
    return std::nullopt;
  }
  ticket = std::move(*read);
  return text;
}

ExitCode RunTicketCheck(const Options& options,
                        std::ostream& out,
                        std::ostream& err) {
  config::Ticket ticket;
  ExitCode exit_code = ExitCode::kOk;
  if (!CheckedTicket(options, ticket, err, exit_code)) {
    return exit_code;
  }
  out << "ticket " << ticket.number.value << " against revision "
      << ticket.base.value << ": " << config::Summarize(ticket) << "\n"
      << "no faults; references to objects outside the ticket are checked by "
         "ticket apply\n";
  return ExitCode::kOk;
}

ExitCode RunTicketApply(const Options& options,
                        std::ostream& out,
                        std::ostream& err) {
  config::Ticket ticket;
  ExitCode exit_code = ExitCode::kOk;
  const auto text = CheckedTicket(options, ticket, err, exit_code);
  if (!text) {
    return exit_code;
  }
  const std::optional<AdminClient> client = MakeClient(options);
  if (!client) {
    return UsageFault(err);
  }
  return Finish(options, client->Post("/admin/tickets", *text), out, err,
                [&](const json& body, std::ostream& to) {
                  PrintApplied(ticket.number.value, body, to);
                });
}

ExitCode RunTicketShow(const Options& options,
                       std::ostream& out,
                       std::ostream& err) {
  const std::string& text = options.argument;
  uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    Fail(ResultCode::kUsage, "ticket show " + text + ": expected a number");
    return UsageFault(err);
  }
  return RunGet(options, "/admin/tickets/" + std::to_string(number), out, err,
                &PrintTicket);
}

ExitCode RunDrain(const Options& options,
                  std::ostream& out,
                  std::ostream& err) {
  const std::optional<AdminClient> client = MakeClient(options);
  if (!client) {
    return UsageFault(err);
  }
  const std::optional<AdminAnswer> answer = client->Post("/admin/drain", "{}");
  const ExitCode exit_code = Finish(options, answer, out, err, &PrintValue);
  if (exit_code == ExitCode::kOk || exit_code == ExitCode::kPending) {
    out << "draining; the process ends by itself once its streams have ended "
           "or were handed over\n";
    return ExitCode::kOk;
  }
  return exit_code;
}

ExitCode RunTokenNew(const Options& options,
                     std::ostream& out,
                     std::ostream& err) {
  const std::string& customer = options.argument;
  if (!config::IsCustomerName(customer)) {
    Fail(ResultCode::kUsage, "token new " + customer +
                                 ": expected a customer name of A-Z, a-z, "
                                 "0-9, '-' and '_'");
    return UsageFault(err);
  }
  const std::string secret = RandomHex(kSecretBytes);
  out << "token for the customer (shown only now):\n  " << customer << "."
      << secret << "\nhash for \"tokens\" of the customer in a ticket:\n  "
      << NewSaltedHash(secret).dump() << "\n";
  return ExitCode::kOk;
}

ExitCode RunOperatorKeyNew(std::ostream& out) {
  const std::string key = RandomHex(kSecretBytes);
  out << "operator key for --key-file (shown only now):\n  " << key
      << "\nhash for \"operatorKey\" of the settings of all daemons:\n  "
      << NewSaltedHash(key).dump() << "\n";
  return ExitCode::kOk;
}

}  // namespace

ExitCode RunCommand(const Options& options,
                    std::ostream& out,
                    std::ostream& err) {
  switch (options.command) {
    case Command::kHelp:
      out << HelpText();
      return ExitCode::kOk;
    case Command::kTicketCheck:
      return RunTicketCheck(options, out, err);
    case Command::kTicketApply:
      return RunTicketApply(options, out, err);
    case Command::kTicketShow:
      return RunTicketShow(options, out, err);
    case Command::kTicketList:
      return RunGet(options, "/admin/tickets", out, err, &PrintTicketList);
    case Command::kStatus:
      return RunGet(options, "/admin/status", out, err, &PrintValue);
    case Command::kDump:
      return RunGet(options, "/debug/state", out, err,
                    [](const json& body, std::ostream& to) {
                      to << body.dump(2) << "\n";
                    });
    case Command::kDrain:
      return RunDrain(options, out, err);
    case Command::kTokenNew:
      return RunTokenNew(options, out, err);
    case Command::kOperatorKeyNew:
      return RunOperatorKeyNew(out);
    case Command::kErrors:
      out << ErrorsText();
      return ExitCode::kOk;
  }
  return ExitCode::kUsage;
}

}  // namespace boragewharf::ctl
