/**
 * @file print_func.cc
 * Output of boragewharfctl for people.
 */
#include "ctl/print_func.h"

namespace boragewharf::ctl {

namespace {

using nlohmann::json;

std::string Scalar(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/** Text of a field; empty if it is missing. */
std::string Field(const json& object, const char* key) {
  if (!object.is_object() || !object.contains(key)) {
    return {};
  }
  return Scalar(object.at(key));
}

bool IsFlat(const json& value) {
  for (const json& element : value) {
    if (element.is_structured() && !element.empty()) {
      return false;
    }
  }
  return true;
}

/** A flat object or array on one line. */
std::string OneLine(const json& value) {
  std::string line;
  for (const auto& [key, element] : value.items()) {
    line += line.empty() ? "" : ", ";
    line += (value.is_object() ? key + " " : "") + Scalar(element);
  }
  return line;
}

void PrintIndented(const json& value, size_t depth, std::ostream& out) {
  const std::string indent(depth * 2, ' ');
  for (const auto& [key, element] : value.items()) {
    out << indent << (value.is_object() ? key + ":" : "-");
    if (!element.is_structured()) {
      out << " " << Scalar(element) << "\n";
    } else if (IsFlat(element)) {
      out << " " << OneLine(element) << "\n";
    } else {
      out << "\n";
      PrintIndented(element, depth + 1, out);
    }
  }
}

}  // namespace

void PrintValue(const json& value, std::ostream& out) {
  if (!value.is_structured()) {
    out << Scalar(value) << "\n";
    return;
  }
  PrintIndented(value, 0, out);
}

void PrintTicket(const json& body, std::ostream& out) {
  out << "ticket " << Field(body, "ticket") << "  revision "
      << Field(body, "revision") << "  " << Field(body, "state") << "  "
      << Field(body, "summary") << "\n";
}

void PrintTicketList(const json& body, std::ostream& out) {
  out << "revision " << Field(body, "revision")
      << " is in force; use it as \"base\" of the next ticket\n";
  if (!body.is_object() || !body.contains("tickets")) {
    return;
  }
  for (const json& ticket : body.at("tickets")) {
    PrintTicket(ticket, out);
  }
}

void PrintApplied(uint64_t number, const json& body, std::ostream& out) {
  const std::string name = "ticket " + std::to_string(number);
  if (!body.is_object() || !body.contains("waitingFor")) {
    out << name << " is accepted as revision " << Field(body, "revision")
        << "\n";
    return;
  }
  out << name << " is staged as revision " << Field(body, "revision")
      << " and pending: " << Field(body, "detail") << "\n";
  for (const json& instance : body.at("waitingFor")) {
    out << "  waiting for " << Scalar(instance) << "\n";
  }
  out << "next: look after these instances; the ticket takes effect by itself "
         "once they are back or gone. Check with: ticket show "
      << number << "\n";
}

void PrintRefusal(const AdminAnswer& answer, std::ostream& err) {
  const json body = json::parse(answer.body, nullptr, false);
  if (!body.is_object() || !body.contains("error")) {
    err << "refused with HTTP status " << answer.status << "\n"
        << "next: check that --address is the caller address of a boragewharf "
           "daemon\n";
    return;
  }
  const json& error = body.at("error");
  err << "refused: " << Field(error, "message") << " [" << Field(error, "name")
      << ", code " << Field(error, "code") << "]\n";
  const std::string detail = Field(error, "detail");
  if (!detail.empty()) {
    err << "detail: " << detail << "\n";
  }
  err << "state: " << Field(error, "run_state") << "\n"
      << "next: " << Field(error, "next_step") << "\n";
}

void PrintUnreachable(const Options& options,
                      const Reason& reason,
                      std::ostream& err) {
  err << "no answer from " << reason.detail << "\n";
  if (options.command == Command::kTicketApply &&
      reason.code == ResultCode::kOutcomeUnknown) {
    err << "state: may_have_run\n"
        << "next: the ticket may be staged; apply the same file again, it is "
           "applied only once\n";
    return;
  }
  err << "next: check --address, or use the address of another daemon\n";
}

void PrintFaults(const std::string& file,
                 const std::vector<JsonFault>& faults,
                 std::ostream& err) {
  err << file << " has " << faults.size() << " fault(s):\n";
  for (const JsonFault& fault : faults) {
    err << "  " << ToString(fault) << "\n";
  }
  err << "next: correct them and run ticket check again; docs/OPERATORS.md "
         "lists all keys\n";
}

}  // namespace boragewharf::ctl
