/**
 * @file peer_server_base.cc
 * Set-up of a PeerServer, its worker threads and the answers they give.
 */
#include "peer/peer_server_base.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <exception>
#include <utility>

#include "base/result_func.h"
#include "frame_func.h"
#include "peer/envelope_func.h"
#include "peer_server_core.h"
#include "socket_func.h"

namespace boragewharf {

/** Refuses the request if it is destroyed without an answer. */
class PeerServer::Core::PendingAnswer {
 public:
  PendingAnswer(std::weak_ptr<Core> server, const RequestRef& request)
      : core(std::move(server)), ref(request) {}
  PendingAnswer(const PendingAnswer&) = delete;
  PendingAnswer& operator=(const PendingAnswer&) = delete;
  ~PendingAnswer() {
    this->Answer(PeerAnswer{ResultCode::kInternal, "no answer was given"});
  }

  void Answer(PeerAnswer answer) {
    if (this->is_answered.exchange(true)) {
      return;
    }
    if (const auto server = this->core.lock()) {
      server->Complete(this->ref, std::move(answer));
    }
  }

 private:
  std::weak_ptr<Core> core;
  RequestRef ref;
  std::atomic<bool> is_answered{false};
};

PeerServer::PeerServer(std::shared_ptr<Core> server_core)
    : core(std::move(server_core)) {}

PeerServer::~PeerServer() {
  this->core->Stop();
}

std::unique_ptr<PeerServer> PeerServer::Open(
    PeerServerOptions options,
    std::map<MessageType, PeerHandler> handlers,
    CounterRegistry& counters) {
  if (!CheckPeerKeys(options.keys)) {
    return nullptr;
  }
  auto core =
      std::make_shared<Core>(std::move(options), std::move(handlers), counters);
  if (!core->Start()) {
    return nullptr;
  }
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(core)));
}

const Endpoint& PeerServer::LocalEndpoint() const {
  return this->core->LocalEndpoint();
}

PeerServer::Core::Core(PeerServerOptions server_options,
                       std::map<MessageType, PeerHandler> type_handlers,
                       CounterRegistry& registry)
    : options(std::move(server_options)),
      handlers(std::move(type_handlers)),
      counters(registry) {
  this->work.set_capacity(
      static_cast<std::ptrdiff_t>(this->options.max_queued_requests));
}

bool PeerServer::Core::Start() {
  this->listener = OpenBoundSocket(SOCK_STREAM, this->options.listen);
  if (!this->listener) {
    return false;
  }
  if (listen(this->listener.Get(), SOMAXCONN) != 0) {
    FailWithErrno("listen");
    return false;
  }
  this->local = LocalEndpointOf(this->listener);
  this->event = OpenEvent();
  this->epoll = UniqueFd(epoll_create1(EPOLL_CLOEXEC));
  if (!this->event || !this->epoll) {
    FailWithErrno("epoll_create1");
    return false;
  }
  this->io_thread = std::thread([this] { this->IoLoop(); });
  for (size_t i = 0; i < this->options.worker_threads; ++i) {
    this->workers.emplace_back([this] { this->WorkerLoop(); });
  }
  return true;
}

void PeerServer::Core::Stop() {
  this->stopping = true;
  SignalEvent(this->event);
  this->io_thread.join();
  for (size_t i = 0; i < this->workers.size(); ++i) {
    this->work.push(WorkItem{});
  }
  for (std::thread& worker : this->workers) {
    worker.join();
  }
}

void PeerServer::Core::WorkerLoop() {
  while (true) {
    WorkItem item;
    this->work.pop(item);
    if (item.handler == nullptr) {
      return;
    }
    if (this->stopping) {
      continue;
    }
    auto pending =
        std::make_shared<PendingAnswer>(this->weak_from_this(), item.ref);
    try {
      (*item.handler)(std::move(item.request), [pending](PeerAnswer answer) {
        pending->Answer(std::move(answer));
      });
    } catch (const std::exception& fault) {
      pending->Answer(PeerAnswer{ResultCode::kInternal, fault.what()});
    }
  }
}

void PeerServer::Core::Dispatch(const RequestRef& ref, WorkItem item) {
  const auto handler = this->handlers.find(ref.type);
  if (handler == this->handlers.end()) {
    this->Drop(ResultCode::kPeerUnknownType);
    this->Complete(ref, PeerAnswer{ResultCode::kPeerUnknownType, {}});
    return;
  }
  item.handler = &handler->second;
  item.ref = ref;
  if (!this->work.try_push(std::move(item))) {
    this->Drop(ResultCode::kPeerRefused);
    this->Complete(ref, PeerAnswer{ResultCode::kPeerRefused, "queue is full"});
  }
}

void PeerServer::Core::Complete(const RequestRef& ref, PeerAnswer answer) {
  Envelope response;
  response.kind = EnvelopeKind::kResponse;
  response.type = ref.type;
  response.sender = this->options.self;
  response.sequence = ref.sequence;
  response.challenge = ref.challenge;
  response.nonce = ref.nonce;
  if (answer.code == ResultCode::kOk) {
    response.body = std::move(answer.body);
  } else {
    response.type = MessageType::kRefusal;
    response.body = EncodeRefusal(answer.code, answer.body);
  }
  auto frame = SealFrame(this->options.keys, response);
  if (!frame) {
    response.type = MessageType::kRefusal;
    response.body = EncodeRefusal(ResultCode::kPeerTooLarge, {});
    frame = SealFrame(this->options.keys, response);
  }
  {
    const std::lock_guard lock(this->mutex);
    this->completions.push_back(
        Completion{ref.connection, std::move(frame).value()});
  }
  SignalEvent(this->event);
}

void PeerServer::Core::Drop(ResultCode code) {
  const std::string name(GetResultInfo(code).name);
  this->counters.Get("peer_frames_dropped_total", "code=\"" + name + "\"")
      .Add();
}

}  // namespace boragewharf
