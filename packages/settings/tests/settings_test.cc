/**
 * @file settings_test.cc
 * Tests of reading and validating settings.
 */
#include <gtest/gtest.h>

#include "base/result_func.h"
#include "settings/settings_func.h"

namespace boragewharf {
namespace {

using nlohmann::json;

constexpr std::string_view kSecret = "00112233445566778899aabbccddeeff";

json Valid() {
  return {{"instance", "entry-1"},
          {"zone", "okh-a"},
          {"region", "okhotsk"},
          {"callerAddress", "127.0.0.1:8080"},
          {"peerAddress", "127.0.0.1:8081"},
          {"platform",
           {{"objectApi", "127.0.0.1:9000"}, {"cloudApi", "127.0.0.1:9001"}}},
          {"peerKeys", json::array({{{"id", 1}, {"secret", kSecret}}})},
          {"operatorKey", {{"salt", kSecret}, {"hash", std::string(64, 'a')}}}};
}

/** A change of one place that makes the settings invalid. */
struct FaultCase {
  const char* pointer;  ///< JSON pointer that is set.
  json value;           ///< Null removes the place instead.
  const char* path;     ///< Path that the fault has to name.
};

json Changed(const FaultCase& fault) {
  json settings = Valid();
  const json::json_pointer pointer(fault.pointer);
  if (!fault.value.is_null()) {
    settings[pointer] = fault.value;
    return settings;
  }
  settings[pointer.parent_pointer()].erase(pointer.back());
  return settings;
}

std::vector<FaultCase> AllFaultCases() {
  const json two_keys = {{{"id", 1}, {"secret", kSecret}},
                         {{"id", 1}, {"secret", std::string(32, 'b')}}};
  const json same_secrets = {{{"id", 1}, {"secret", kSecret}},
                             {{"id", 2}, {"secret", kSecret}}};
  const json three = json::array({1, 2, 3});
  return {
      {"/instance", nullptr, "$.instance"},
      {"/instance", "", "$.instance"},
      {"/instance", "Entry", "$.instance"},
      {"/instance", std::string(65, 'a'), "$.instance"},
      {"/zone", 3, "$.zone"},
      {"/region", nullptr, "$.region"},
      {"/callerAddress", "localhost:80", "$.callerAddress"},
      {"/callerAddress", "127.0.0.1:0", "$.callerAddress"},
      {"/callerAddress", "0.0.0.0:8080", "$.advertisedCallerAddress"},
      {"/advertisedCallerAddress", "0.0.0.0:1", "$.advertisedCallerAddress"},
      {"/peerAddress", "0.0.0.0:8081", "$.peerAddress"},
      {"/peerAddress", "127.0.0.1:8080", "$.peerAddress"},
      {"/platform", nullptr, "$.platform"},
      {"/platform", 1, "$.platform"},
      {"/platform/objectApi", nullptr, "$.platform.objectApi"},
      {"/platform/cloudApi", "x", "$.platform.cloudApi"},
      {"/platform/timeoutMs", 99, "$.platform.timeoutMs"},
      {"/peers", "x", "$.peers"},
      {"/peers", {"127.0.0.1"}, "$.peers[0]"},
      {"/peers", {"127.0.0.1:1", "127.0.0.1:1"}, "$.peers[1]"},
      {"/peerKeys", nullptr, "$.peerKeys"},
      {"/peerKeys", json::array(), "$.peerKeys"},
      {"/peerKeys", three, "$.peerKeys"},
      {"/peerKeys", two_keys, "$.peerKeys[1].id"},
      {"/peerKeys", same_secrets, "$.peerKeys[1].secret"},
      {"/peerKeys/0/id", 0, "$.peerKeys[0].id"},
      {"/peerKeys/0/id", nullptr, "$.peerKeys[0].id"},
      {"/peerKeys/0/secret", "secret", "$.peerKeys[0].secret"},
      {"/peerKeys/0/secrte", "secret", "$.peerKeys[0]"},
      {"/operatorKey", nullptr, "$.operatorKey"},
      {"/operatorKey/salt", "00", "$.operatorKey.salt"},
      {"/operatorKey/hash", kSecret, "$.operatorKey.hash"},
      {"/traffic/threads", 0, "$.traffic.threads"},
      {"/traffic/maxConnections", 65537, "$.traffic.maxConnections"},
      {"/traffic/maxBodyBytes", 1.5, "$.traffic.maxBodyBytes"},
      {"/traffic/maxStreams", "many", "$.traffic.maxStreams"},
      {"/traffic/silenceTimeoutMs", -1, "$.traffic.silenceTimeoutMs"},
      {"/traffic/keepAliveSeconds", 0, "$.traffic.keepAliveSeconds"},
      {"/traffic/streamRetentionSeconds", 0,
       "$.traffic.streamRetentionSeconds"},
      {"/tls", "yes", "$.tls"},
      {"/tls/certificateFile", "cert.pem", "$.tls.keyFile"},
      {"/tls/keyFile", "key.pem", "$.tls.certificateFile"},
      {"/tls/backendCaFile", "", "$.tls.backendCaFile"},
      {"/ledger/shards", 0, "$.ledger.shards"},
      {"/ledger/maxAnswerBytes", 65537, "$.ledger.maxAnswerBytes"},
      {"/log/level", "loud", "$.log.level"},
      {"/log/file", 1, "$.log.file"},
      {"/drain/timeoutMs", 999, "$.drain.timeoutMs"},
      {"/unknown", 1, "$"},
      {"/traffic/unknown", 1, "$.traffic"},
  };
}

TEST(SettingsTest, ReadsAllKeysAndDefaults) {
  std::vector<JsonFault> faults;
  const auto settings = ParseSettings(Valid().dump(), faults);
  ASSERT_TRUE(settings) << ToString(faults);
  EXPECT_EQ(settings->advertised_caller_address.port, 8080);
  EXPECT_EQ(settings->peer_keys.at(0).secret.size(), 16U);
  EXPECT_EQ(settings->traffic.threads, TrafficSettings{}.threads);
  EXPECT_EQ(settings->traffic.max_body_bytes, TrafficSettings{}.max_body_bytes);
  EXPECT_EQ(settings->ledger.shards, LedgerSettings{}.shards);
  EXPECT_EQ(settings->drain.timeout, DrainSettings{}.timeout);
  EXPECT_FALSE(settings->tls);
}

// Guards against a fault that passes, that is reported at another place, or
// that hides behind another message.
TEST(SettingsTest, ReportsEachFaultWithItsPath) {
  for (const FaultCase& fault : AllFaultCases()) {
    std::vector<JsonFault> faults;
    const std::string text = Changed(fault).dump();
    EXPECT_FALSE(ParseSettings(text, faults)) << fault.pointer;
    EXPECT_EQ(LastReason().code, ResultCode::kSettingsInvalid);
    ASSERT_EQ(faults.size(), 1U) << fault.pointer << ToString(faults);
    EXPECT_EQ(faults[0].path, fault.path) << ToString(faults);
    EXPECT_FALSE(faults[0].found.empty());
    EXPECT_FALSE(faults[0].allowed.empty());
  }
}

// Guards against a run per fault for the operator.
TEST(SettingsTest, ReportsAllFaultsInOneRun) {
  json settings = Valid();
  settings["zone"] = "";
  settings["traffic"]["threads"] = 0;
  settings["platform"].erase("objectApi");
  settings["log"]["level"] = "loud";
  std::vector<JsonFault> faults;
  EXPECT_FALSE(ParseSettings(settings.dump(), faults));
  EXPECT_EQ(faults.size(), 4U) << ToString(faults);
}

// Guards against secrets in logs by way of a message on a mistyped file.
TEST(SettingsTest, NeverQuotesSecrets) {
  const std::string secret = "f00dfacef00dfacef00dfacef00dfacez";
  json settings = Valid();
  settings["peerKeys"][0]["secret"] = secret;
  settings["peerKeys"][0]["secrte"] = secret;
  settings["operatorKey"] = {{"salt", secret}, {"hash", secret}};
  std::vector<JsonFault> faults;
  ParseSettings(settings.dump(), faults);
  EXPECT_EQ(faults.size(), 4U);
  settings = Valid();
  settings["operatorKey"] = secret;
  settings["peerKeys"] = secret;
  ParseSettings(settings.dump(), faults);
  ParseSettings("{\"peerKeys\": [{\"secret\": \"" + secret + "}]}", faults);
  ParseSettings("{\"secret\": " + secret, faults);
  EXPECT_EQ(ToString(faults).find("f00d"), std::string::npos)
      << ToString(faults);
}

TEST(SettingsTest, RefusesMalformedTexts) {
  const std::string deep = std::string(100000, '[');
  for (const std::string& text :
       {std::string(), std::string("[]"), std::string("{"), deep,
        std::string("{\"zone\":1,\"zone\":2}"), std::string("{\"a\":1e999}"),
        std::string("\xff{}")}) {
    std::vector<JsonFault> faults;
    EXPECT_FALSE(ParseSettings(text, faults));
    EXPECT_FALSE(faults.empty());
  }
}

TEST(SettingsTest, ReportsUnreadableFile) {
  std::vector<JsonFault> faults;
  EXPECT_FALSE(LoadSettings("/nonexistent/settings.json", faults));
  EXPECT_EQ(LastReason().code, ResultCode::kSettingsUnreadable);
  EXPECT_FALSE(LoadSettings("/", faults));
  EXPECT_EQ(LastReason().code, ResultCode::kSettingsUnreadable);
}

}  // namespace
}  // namespace boragewharf
