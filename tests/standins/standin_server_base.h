/**
 * @file standin_server_base.h
 * HTTP server on a loopback port, in a thread of its own, for stand-ins.
 */
#pragma once

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace boragewharf::standins {

/** An httplib server with the settings that all stand-ins share. */
class StandinServer : public httplib::Server {
 public:
  /** @param threads Connections that are served at once. */
  explicit StandinServer(size_t threads);
  ~StandinServer() override;

  /**
   * Binds to 127.0.0.1 and starts to serve.
   * @param wanted_port Port, or 0 for one that the kernel chooses.
   * @return The port, or 0 if it cannot be bound.
   * @pre Called once.
   */
  uint16_t Start(uint16_t wanted_port);

  /** Stops serving and joins the thread. @note May be called repeatedly. */
  void StopAndJoin();

 private:
  std::thread listener;
  std::atomic<bool> accepts{false};  ///< The threads for connections exist.
};

/** Answers with @p body as JSON. @note Thread-safe. */
void AnswerJson(httplib::Response& response,
                int status,
                const nlohmann::json& body);

}  // namespace boragewharf::standins
