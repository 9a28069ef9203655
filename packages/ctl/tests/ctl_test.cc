/**
 * @file ctl_test.cc
 * Tests of boragewharfctl against a stand-in for the daemon.
 */
#include <gtest/gtest.h>
#include <httplib.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "base/digest_func.h"
#include "base/result_func.h"
#include "base/time_type.h"
#include "config/report_func.h"
#include "ctl/admin_client_base.h"
#include "ctl/command_func.h"
#include "ctl/options_func.h"
#include "standins/endless_standin_base.h"

namespace boragewharf::ctl {
namespace {

using nlohmann::json;

constexpr const char* kTicket =
    R"({"ticket":3,"base":2,"set":[{"kind":"service","name":"s",)"
    R"("type":"model"}]})";

/** Runs the program against an HTTP server that records what it receives. */
class CtlTest : public testing::Test {
 protected:
  void SetUp() override {
    this->directory = testing::TempDir() + "ctl_test";
    std::filesystem::create_directories(this->directory);
    this->WriteFile("key", "secret-key\n");
    this->WriteFile("ticket.json", kTicket);
    const auto handler = [this](const httplib::Request& request,
                                httplib::Response& response) {
      this->seen = request.method + " " + request.path;
      this->key = request.get_header_value("Authorization");
      response.status = this->status;
      response.set_content(this->body, "application/json");
    };
    this->server.Get(".*", handler);
    this->server.Post(".*", handler);
    this->port = this->server.bind_to_any_port("127.0.0.1");
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    while (!this->server.is_running()) {
      std::this_thread::yield();
    }
  }

  void TearDown() override {
    this->server.stop();
    this->thread.join();
    std::filesystem::remove_all(this->directory);
  }

  std::string Path(const std::string& name) const {
    return this->directory + "/" + name;
  }

  void WriteFile(const std::string& name, const std::string& text) const {
    std::ofstream(this->Path(name)) << text;
  }

  /** Runs a command line without the daemon's options. */
  ExitCode RunWords(const std::vector<std::string>& words) {
    std::vector<const char*> arguments = {"boragewharfctl"};
    for (const std::string& word : words) {
      arguments.push_back(word.c_str());
    }
    this->out.str("");
    this->err.str("");
    const std::optional<Options> options = ParseCommandLine(arguments);
    return options ? RunCommand(*options, this->out, this->err)
                   : ExitCode::kUsage;
  }

  ExitCode RunDaemon(std::vector<std::string> words) {
    words.insert(words.begin(),
                 {"--address", "127.0.0.1:" + std::to_string(this->port),
                  "--key-file", this->Path("key")});
    return this->RunWords(words);
  }

  bool Printed(const std::string& text) const {
    return (this->out.str() + this->err.str()).find(text) != std::string::npos;
  }

  std::string directory;
  httplib::Server server;
  std::thread thread;
  int port = 0;
  int status = 200;
  std::string body = "{}";
  std::string seen;
  std::string key;
  std::ostringstream out;
  std::ostringstream err;
};

TEST_F(CtlTest, CallsThePathOfEachCommand) {
  const std::string address = "127.0.0.1:" + std::to_string(this->port);
  const std::vector<std::pair<std::vector<std::string>, const char*>> cases = {
      {{"status"}, "GET /admin/status"},
      {{"ticket", "list"}, "GET /admin/tickets"},
      {{"ticket", "show", "7"}, "GET /admin/tickets/7"},
      {{"ticket", "apply", this->Path("ticket.json")}, "POST /admin/tickets"},
      {{"dump", address}, "GET /debug/state"},
      {{"drain", address}, "POST /admin/drain"},
  };
  for (const auto& [words, path] : cases) {
    EXPECT_EQ(this->RunDaemon(words), ExitCode::kOk) << path;
    EXPECT_EQ(this->seen, path);
    EXPECT_EQ(this->key, "Bearer secret-key");
    EXPECT_FALSE(this->Printed("secret-key"));
  }
}

// Guards against a pending or refused ticket that looks accepted.
TEST_F(CtlTest, TellsPendingFromRefused) {
  config::AnswerTicket answer;
  answer.code = ResultCode::kTicketPending;
  answer.waiting_for = {"entry-5"};
  this->status = GetResultInfo(answer.code).http_status;
  this->body = config::AnswerJson(answer).dump();
  const std::string file = this->Path("ticket.json");
  EXPECT_EQ(this->RunDaemon({"ticket", "apply", file}), ExitCode::kPending);
  EXPECT_TRUE(this->Printed("waiting for entry-5"));
  EXPECT_TRUE(this->Printed("next:"));
  answer.code = ResultCode::kTicketConflict;
  answer.detail = "ticket 2 changed service/s";
  this->status = GetResultInfo(answer.code).http_status;
  this->body = config::AnswerJson(answer).dump();
  EXPECT_EQ(this->RunDaemon({"ticket", "apply", file}), ExitCode::kRefused);
  EXPECT_TRUE(this->Printed("ticket 2 changed service/s"));
  EXPECT_TRUE(this->Printed("next:"));
  this->status = 502;
  this->body = "<html>";
  EXPECT_EQ(this->RunDaemon({"status"}), ExitCode::kRefused);
  EXPECT_TRUE(this->Printed("next:"));
}

TEST_F(CtlTest, ReportsAnUnreachableDaemon) {
  this->server.stop();
  EXPECT_EQ(this->RunDaemon({"status"}), ExitCode::kUnreachable);
  EXPECT_TRUE(this->Printed("next:"));
}

// Guards against a program that reads for ever, into memory, from what answers
// at the address of a daemon.
TEST_F(CtlTest, EndlessAnswerEndsTheCall) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string part(1000, 'x');
  for (const auto& [start, filler] :
       {std::pair<std::string, std::string>{"HTTP/1.1 200 OK\r\nX: ", part},
        {"HTTP/1.1 200 OK\r\n\r\n", part},
        {head + "1;a=", part},
        {head + "0\r\nX: ", part}}) {
    const standins::EndlessStandin endless(start, filler);
    const BootClock::time_point begin = BootClock::now();
    EXPECT_EQ(this->RunWords({"--address",
                              "127.0.0.1:" + std::to_string(endless.Port()),
                              "--key-file", this->Path("key"), "status"}),
              ExitCode::kUnreachable);
    EXPECT_LT(BootClock::now() - begin, std::chrono::seconds(10));
    EXPECT_LE(endless.SentBytes(), 2 * AdminClient::kMaxAnswerBytes);
  }
}

TEST_F(CtlTest, RefusesUnusableCommandLines) {
  const std::vector<std::vector<std::string>> cases = {
      {},
      {"tickets"},
      {"ticket", "show"},
      {"ticket", "list", "all"},
      {"--address", "localhost:1", "status"},
      {"--address", "127.0.0.1:1", "status"},
      {"--color", "status"},
      {"status"},
      {"token", "new", "a.b"},
      {"ticket", "check", this->Path("missing")},
  };
  for (const auto& words : cases) {
    EXPECT_EQ(this->RunWords(words), ExitCode::kUsage)
        << (words.empty() ? "" : words.back());
  }
  EXPECT_EQ(this->RunDaemon({"ticket", "show", "x"}), ExitCode::kUsage);
  EXPECT_EQ(this->RunWords({"--help"}), ExitCode::kOk);
}

// Guards against a faulty ticket that is sent at all.
TEST_F(CtlTest, ChecksTicketsBeforeSending) {
  this->WriteFile("bad.json", R"({"ticket":0,"base":-1,"sett":[]})");
  for (const std::string command : {"check", "apply"}) {
    EXPECT_EQ(this->RunDaemon({"ticket", command, this->Path("bad.json")}),
              ExitCode::kRefused);
    EXPECT_TRUE(this->Printed("3 fault(s)")) << this->err.str();
  }
  EXPECT_EQ(this->seen, "");
  EXPECT_EQ(this->RunWords({"ticket", "check", this->Path("ticket.json")}),
            ExitCode::kOk);
}

// Guards against a printed hash that does not belong to the printed secret.
TEST_F(CtlTest, HashBelongsToTheToken) {
  ASSERT_EQ(this->RunWords({"token", "new", "acme"}), ExitCode::kOk);
  std::istringstream lines(this->out.str());
  std::string title;
  std::string token;
  std::string hash;
  std::getline(lines, title);
  std::getline(lines, token);
  std::getline(lines, title);
  std::getline(lines, hash);
  const json salted = json::parse(hash);
  const std::string secret = token.substr(token.find('.') + 1);
  const auto salt = HexDecode(salted["salt"].get<std::string>());
  EXPECT_EQ(HexEncode(AsView(Sha256(*salt + secret))), salted["hash"]);
  EXPECT_EQ(token.substr(0, 7), "  acme.");
}

// Guards against a page that lags behind the table of codes.
TEST(ErrorsTest, PageIsUpToDate) {
  std::ifstream file(BORAGEWHARF_SOURCE_DIR "/docs/ERRORS.md");
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  EXPECT_EQ(page, ErrorsText())
      << "run build/bin/boragewharfctl errors > docs/ERRORS.md";
}

}  // namespace
}  // namespace boragewharf::ctl
