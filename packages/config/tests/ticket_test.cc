/**
 * @file ticket_test.cc
 * Tests of tickets and of the commands that change a document.
 */
#include <gtest/gtest.h>

#include "base/result_func.h"
#include "config/document_cmd.h"
#include "config/document_json_func.h"
#include "config/ticket_func.h"

namespace boragewharf::config {
namespace {

using nlohmann::json;

json ServiceJson(const std::string& name, const std::string& type = "model") {
  return {{"kind", "service"}, {"name", name}, {"type", type}};
}

json ModelJson(const std::string& name, const std::string& service) {
  return {{"kind", "model"},
          {"name", name},
          {"service", service},
          {"version", "1"}};
}

json CustomerJson(const std::string& name) {
  return {{"kind", "customer"},
          {"name", name},
          {"tokens", json::array({{{"salt", std::string(32, 'a')},
                                   {"hash", std::string(64, 'b')}}})}};
}

json TicketJson(uint64_t number, uint64_t base, const std::vector<json>& set) {
  return {{"ticket", number}, {"base", base}, {"set", set}};
}

json RemovalJson(uint64_t number,
                 uint64_t base,
                 const std::string& kind,
                 const std::string& name) {
  const json object = {{"kind", kind}, {"name", name}};
  return {
      {"ticket", number}, {"base", base}, {"remove", json::array({object})}};
}

Ticket Parsed(const json& value) {
  std::vector<JsonFault> faults;
  const std::optional<Ticket> ticket = ParseTicket(value.dump(), faults);
  EXPECT_TRUE(faults.empty()) << ToString(faults);
  return *ticket;
}

CommandResult Apply(Document& document, const json& ticket) {
  CommandResult result =
      CmdStageTicket(document, Parsed(ticket), CommandMode::kExecute);
  CmdAcceptStaged(document, CommandMode::kExecute);
  return result;
}

// Guards against faults that pass, or that are reported elsewhere.
TEST(TicketTest, ReportsEachFault) {
  json limits = {{"kind", "limits"}, {"name", "s"}};
  limits["minReplicas"] = 5;
  limits["maxReplicas"] = 4;
  json dotted = CustomerJson("a.b");
  json tokenless = CustomerJson("a");
  tokenless.erase("tokens");
  json short_salt = CustomerJson("a");
  short_salt["tokens"][0]["salt"] = "00";
  json deadline = ServiceJson("s");
  deadline["deadlineMs"] = 0;
  json unknown = ServiceJson("s");
  unknown["color"] = "red";
  const std::vector<std::pair<json, const char*>> cases = {
      {TicketJson(0, 0, {ServiceJson("s")}), "$.ticket"},
      {json{{"ticket", 1}, {"set", json::array({ServiceJson("s")})}}, "$.base"},
      {TicketJson(1, 0, {}), "$"},
      {json{{"ticket", 1}, {"base", 0}, {"set", "x"}}, "$.set"},
      {TicketJson(1, 0, {json{{"kind", "zone"}}}), "$.set[0].kind"},
      {TicketJson(1, 0, {ServiceJson("s", "odd")}), "$.set[0].type"},
      {TicketJson(1, 0, {ServiceJson("s"), ServiceJson("s")}), "$.set[1].name"},
      {TicketJson(1, 0, {limits}), "$.set[0].minReplicas"},
      {TicketJson(1, 0, {dotted}), "$.set[0].name"},
      {TicketJson(1, 0, {tokenless}), "$.set[0].tokens"},
      {TicketJson(1, 0, {short_salt}), "$.set[0].tokens[0].salt"},
      {TicketJson(1, 0, {deadline}), "$.set[0].deadlineMs"},
      {TicketJson(1, 0, {unknown}), "$.set[0]"},
      {RemovalJson(1, 0, "model", ""), "$.remove[0].name"},
  };
  for (const auto& [ticket, path] : cases) {
    std::vector<JsonFault> faults;
    ParseTicket(ticket.dump(), faults);
    ASSERT_EQ(faults.size(), 1U) << ticket << ToString(faults);
    EXPECT_EQ(faults[0].path, path) << ToString(faults);
  }
}

// Guards against one run per fault, and against unresolved references.
TEST(TicketTest, ReportsAllFaultsAndReferencesAtOnce) {
  json ticket = TicketJson(1, 0,
                           {ServiceJson("plain", "plain"),
                            ModelJson("m1", "plain"),
                            ModelJson("m2", "none"),
                            {{"kind", "limits"}, {"name", "none"}}});
  ticket["remove"] = json::array({{{"kind", "customer"}, {"name", "nobody"}}});
  std::vector<JsonFault> faults;
  CheckReferences({}, Parsed(ticket), faults);
  EXPECT_EQ(faults.size(), 4U) << ToString(faults);
  ticket["set"][0]["maxRetries"] = 11;
  ticket["set"][1]["replicas"] = -1;
  faults.clear();
  const std::optional<Ticket> read = ParseTicket(ticket.dump(), faults);
  EXPECT_EQ(faults.size(), 2U) << ToString(faults);
  CheckReferences({}, *read, faults);
  EXPECT_EQ(faults.size(), 6U) << ToString(faults);
}

TEST(TicketTest, RefusesLargeAndMalformedTexts) {
  std::vector<JsonFault> faults;
  EXPECT_FALSE(ParseTicket(std::string(kMaxTicketBytes + 1, ' '), faults));
  EXPECT_EQ(LastReason().code, ResultCode::kBodyTooLarge);
  EXPECT_FALSE(ParseTicket("{\"ticket\":1,\"ticket\":2}", faults));
  EXPECT_EQ(LastReason().code, ResultCode::kMalformedJson);
}

// Guards against a second answer for a ticket that is only written otherwise.
TEST(TicketTest, DigestIgnoresNotation) {
  json explicit_default = ServiceJson("b");
  explicit_default["maxRetries"] = 2;
  const json one = TicketJson(1, 0, {ServiceJson("a"), ServiceJson("b")});
  const json other = TicketJson(1, 0, {explicit_default, ServiceJson("a")});
  EXPECT_EQ(TicketDigest(Parsed(one)), TicketDigest(Parsed(other)));
  const json changed = TicketJson(1, 0, {ServiceJson("a")});
  EXPECT_NE(TicketDigest(Parsed(one)), TicketDigest(Parsed(changed)));
}

TEST(DocumentTest, SurvivesSerialization) {
  Document document;
  Apply(document, TicketJson(1, 0,
                             {ServiceJson("s"),
                              ModelJson("m", "s"),
                              CustomerJson("c"),
                              {{"kind", "limits"},
                               {"name", "s"},
                               {"zones", json::array({"okh-a"})},
                               {"maxPricePerHour", 1.25}}}));
  Apply(document, RemovalJson(2, 1, "model", "m"));
  CmdStageTicket(document, Parsed(TicketJson(3, 2, {ModelJson("n", "s")})),
                 CommandMode::kExecute);
  const auto stored = ParseDocument(SerializeDocument(document, "w1"));
  ASSERT_TRUE(stored) << LastReason().detail;
  EXPECT_EQ(stored->document, document);
  EXPECT_EQ(stored->write_id, "w1");
  EXPECT_EQ(Position(document), 5U);
}

TEST(DocumentTest, TellsNewerFormatFromMalformed) {
  EXPECT_FALSE(ParseDocument("{\"format\":2,\"anything\":1}"));
  EXPECT_EQ(LastReason().code, ResultCode::kNewerFormat);
  json skipped = json::parse(SerializeDocument(Document{}, ""));
  skipped["staged"] = {{"ticket", 1},
                       {"revision", 2},
                       {"digest", ""},
                       {"summary", ""},
                       {"configuration", {{"revision", 2}}}};
  json repeated = json::parse(SerializeDocument(Document{}, ""));
  json service = ServiceJson("s");
  service.erase("kind");
  service["revision"] = service["ticket"] = 1;
  repeated["accepted"]["services"] = {service, service};
  for (const std::string& text :
       {std::string("{}"), std::string("[]"), std::string(),
        std::string("{\"format\":1}"), skipped.dump(), repeated.dump()}) {
    EXPECT_FALSE(ParseDocument(text)) << text;
    EXPECT_EQ(LastReason().code, ResultCode::kStoreMalformed);
  }
}

// Guards against an operator who overwrites a change that he has not seen.
TEST(DocumentTest, ConflictNamesTheOtherTicket) {
  Document document;
  EXPECT_EQ(Apply(document, TicketJson(7, 0, {ServiceJson("s")})).code,
            ResultCode::kOk);
  CommandResult result =
      Apply(document, TicketJson(8, 0, {ServiceJson("s", "plain")}));
  EXPECT_EQ(result.code, ResultCode::kTicketConflict);
  EXPECT_EQ(result.other, TicketNumber{7});
  result = Apply(document, TicketJson(7, 1, {ServiceJson("t")}));
  EXPECT_EQ(result.code, ResultCode::kTicketNumberUsed);
  EXPECT_EQ(Apply(document, TicketJson(9, 0, {ServiceJson("t")})).code,
            ResultCode::kOk);
  const json future = TicketJson(10, 99, {ServiceJson("t")});
  EXPECT_EQ(Apply(document, future).code, ResultCode::kTicketInvalid);
}

// Guards against a removed object that an older ticket brings back.
TEST(DocumentTest, RemovalConflictsWithOlderTickets) {
  Document document;
  Apply(document, TicketJson(1, 0, {ServiceJson("s")}));
  Apply(document, RemovalJson(2, 1, "service", "s"));
  const CommandResult late =
      Apply(document, TicketJson(3, 1, {ServiceJson("s")}));
  EXPECT_EQ(late.code, ResultCode::kTicketConflict);
  EXPECT_EQ(late.other, TicketNumber{2});
  EXPECT_EQ(Apply(document, TicketJson(4, 2, {ServiceJson("s")})).code,
            ResultCode::kOk);
}

// Guards against the loss of a staged ticket to a later one.
TEST(DocumentTest, StagedTicketIsKept) {
  Document document;
  const Ticket first = Parsed(TicketJson(1, 0, {ServiceJson("s")}));
  CmdStageTicket(document, first, CommandMode::kExecute);
  const Document before = document;
  const Ticket same = Parsed(TicketJson(2, 0, {ServiceJson("s", "plain")}));
  const Ticket other = Parsed(TicketJson(3, 0, {ServiceJson("t")}));
  CommandResult result = CmdStageTicket(document, same, CommandMode::kExecute);
  EXPECT_EQ(result.code, ResultCode::kTicketConflict);
  EXPECT_EQ(result.other, TicketNumber{1});
  result = CmdStageTicket(document, other, CommandMode::kExecute);
  EXPECT_EQ(result.code, ResultCode::kTicketStaged);
  EXPECT_EQ(result.other, TicketNumber{1});
  EXPECT_EQ(document, before);
}

// Guards against a document that outgrows a store object.
TEST(DocumentTest, BoundsSizeAndHistory) {
  Document document;
  std::vector<json> many;
  many.reserve(5000);
  for (int i = 0; i < 5000; ++i) {
    many.push_back(ServiceJson("service-" + std::to_string(i)));
  }
  EXPECT_EQ(Apply(document, TicketJson(1, 0, many)).code,
            ResultCode::kConfigurationTooLarge);
  many.resize(2000);
  Apply(document, TicketJson(1, 0, many));
  const json largest = TicketJson((uint64_t{1} << 53) - 1, 1, many);
  for (uint64_t i = 1; i < kMaxTicketRecords + 5; ++i) {
    document.staged = StagedTicket{};
    document.staged->configuration = document.accepted;
    document.staged->configuration.revision = ConfigRevision{i + 1};
    document.staged->record = {TicketNumber{(uint64_t{1} << 53) - i - 2},
                               std::string(64, 'f'), ConfigRevision{i + 1},
                               std::string(kMaxSummaryBytes, 's')};
    CmdAcceptStaged(document, CommandMode::kExecute);
  }
  EXPECT_EQ(CmdStageTicket(document, Parsed(largest), CommandMode::kTest).code,
            ResultCode::kTicketConflict);
  const Ticket next = Parsed(TicketJson(1, 1004, many));
  EXPECT_EQ(CmdStageTicket(document, next, CommandMode::kExecute).code,
            ResultCode::kOk);
  EXPECT_LE(SerializeDocument(document, std::string(32, '0')).size(),
            kMaxDocumentBytes);
  document.staged.reset();
  EXPECT_EQ(document.tickets.size(), kMaxTicketRecords);
  const CommandResult ancient =
      Apply(document, TicketJson(5000, 3, {ServiceJson("new")}));
  EXPECT_EQ(ancient.code, ResultCode::kTicketConflict);
}

}  // namespace
}  // namespace boragewharf::config
