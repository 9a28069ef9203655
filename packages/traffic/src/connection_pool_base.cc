/**
 * @file connection_pool_base.cc
 * Reuse of connections.
 */
#include "traffic/connection_pool_base.h"

#include <utility>

namespace boragewharf::traffic {

ConnectionLease::ConnectionLease(ConnectionPool& owner,
                                 Endpoint address,
                                 std::unique_ptr<BoundedHttpClient> connection,
                                 bool was_used)
    : pool(owner),
      endpoint(std::move(address)),
      client(std::move(connection)),
      reused(was_used) {}

ConnectionLease::~ConnectionLease() {
  if (this->failed) {
    this->pool.CloseIdle(this->endpoint);
  } else if (this->reusable) {
    this->pool.GiveBack(this->endpoint, std::move(this->client));
  }
}

std::unique_ptr<ConnectionLease> ConnectionPool::Take(
    const Endpoint& endpoint) {
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->idle.find(endpoint);
    if (found != this->idle.end() && !found->second.clients.empty()) {
      auto client = std::move(found->second.clients.back());
      found->second.clients.pop_back();
      return std::make_unique<ConnectionLease>(*this, endpoint,
                                               std::move(client), true);
    }
  }
  return this->TakeFresh(endpoint);
}

std::unique_ptr<ConnectionLease> ConnectionPool::TakeFresh(
    const Endpoint& endpoint) {
  auto client =
      std::make_unique<BoundedHttpClient>(endpoint.host, endpoint.port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_decompress(false);
  // Paths are passed on as the caller sent them.
  client->set_url_encode(false);
  client->set_follow_location(false);
  client->set_connection_timeout(this->bounds.connect_timeout);
  client->set_read_timeout(this->bounds.read_timeout);
  client->set_write_timeout(this->bounds.read_timeout);
  return std::make_unique<ConnectionLease>(*this, endpoint, std::move(client),
                                           false);
}

void ConnectionPool::CloseIdle(const Endpoint& endpoint) {
  IdleClients closing;
  const std::lock_guard lock(this->mutex);
  const auto found = this->idle.find(endpoint);
  if (found != this->idle.end()) {
    closing = std::move(found->second);
    this->idle.erase(found);
  }
}

void ConnectionPool::GiveBack(const Endpoint& endpoint,
                              std::unique_ptr<BoundedHttpClient> client) {
  const std::lock_guard lock(this->mutex);
  IdleClients& entry = this->idle[endpoint];
  entry.last_used = BootClock::now();
  if (entry.clients.size() < this->bounds.max_idle) {
    entry.clients.push_back(std::move(client));
  }
}

void ConnectionPool::CloseUnused(TimePoint time) {
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->idle, [&](const auto& entry) {
    return entry.second.last_used < time;
  });
}

uint32_t InFlightTable::InFlight(std::string_view instance) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->counts.find(instance);
  return found == this->counts.end() ? 0 : found->second;
}

void InFlightTable::Add(std::string_view instance, int32_t change) {
  const std::lock_guard lock(this->mutex);
  auto found = this->counts.find(instance);
  if (found == this->counts.end()) {
    found = this->counts.emplace(std::string(instance), 0).first;
  }
  found->second =
      static_cast<uint32_t>(static_cast<int32_t>(found->second) + change);
  if (found->second == 0) {
    this->counts.erase(found);
  }
}

}  // namespace boragewharf::traffic
