/**
 * @file connection_pool_base.h
 * Connections to backend servers, kept open between requests.
 */
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/time_type.h"
#include "httpclient/bounded_client_base.h"
#include "traffic/policy_base.h"

namespace boragewharf::traffic {

/** Bounds of connections to backend servers. */
struct ConnectionBounds {
  std::chrono::milliseconds connect_timeout{1000};  ///< To connect.
  std::chrono::milliseconds read_timeout{5000};     ///< Without any byte.
  size_t max_idle = 64;                             ///< Kept per server.
};

class ConnectionPool;

/** A connection in use by one thread; ends with the scope. */
class ConnectionLease {
 public:
  ConnectionLease(ConnectionPool& owner,
                  Endpoint address,
                  std::unique_ptr<BoundedHttpClient> connection,
                  bool was_used);
  ConnectionLease(const ConnectionLease&) = delete;
  ConnectionLease& operator=(const ConnectionLease&) = delete;
  ~ConnectionLease();

  /** The client. stop() may be called from other threads. */
  BoundedHttpClient& Client() { return *this->client; }

  /** Whether it carried requests before, so the server may have closed it. */
  bool IsReused() const { return this->reused; }

  /** Keeps the connection for further requests; only after a whole answer. */
  void KeepOpen() { this->reusable = true; }

  /**
   * Closes the idle connections to the same server too: whatever broke or
   * silenced this one has probably done the same to them.
   */
  void MarkFailed() { this->failed = true; }

 private:
  ConnectionPool& pool;
  const Endpoint endpoint;
  std::unique_ptr<BoundedHttpClient> client;
  const bool reused;
  bool reusable = false;
  bool failed = false;
};

/** Idle connections by address. All methods are thread-safe. */
class ConnectionPool {
 public:
  explicit ConnectionPool(const ConnectionBounds& limits) : bounds(limits) {}

  /** A connection that was used before, or a new one. */
  std::unique_ptr<ConnectionLease> Take(const Endpoint& endpoint);

  /**
   * A connection that was never used, so that a failure to connect proves that
   * nothing was sent.
   */
  std::unique_ptr<ConnectionLease> TakeFresh(const Endpoint& endpoint);

  /** Closes idle connections to addresses that were not used since @p time. */
  void CloseUnused(TimePoint time);

 private:
  struct IdleClients {
    std::vector<std::unique_ptr<BoundedHttpClient>> clients;
    TimePoint last_used;
  };

  friend class ConnectionLease;
  void CloseIdle(const Endpoint& endpoint);
  void GiveBack(const Endpoint& endpoint,
                std::unique_ptr<BoundedHttpClient> client);

  const ConnectionBounds bounds;
  std::mutex mutex;
  std::map<Endpoint, IdleClients> idle;
};

/** Counts requests in flight per backend server. Thread-safe. */
class InFlightTable : public ServerLoads {
 public:
  uint32_t InFlight(std::string_view instance) const override;

  /** Adds to the count of an instance. */
  void Add(std::string_view instance, int32_t change);

 private:
  mutable std::mutex mutex;
  std::map<std::string, uint32_t, std::less<>> counts;
};

}  // namespace boragewharf::traffic
