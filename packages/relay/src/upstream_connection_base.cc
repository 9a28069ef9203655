/**
 * @file upstream_connection_base.cc
 * Connections to backend servers.
 */
#include "relay/upstream_connection_base.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <boost/asio/write.hpp>
#include <utility>

namespace boragewharf::relay {
namespace {

namespace asio = boost::asio;
using serving::AttemptFailure;
using tcp = asio::ip::tcp;

/** TCP_USER_TIMEOUT: closes the connection if sent data stays unacknowledged,
 * because the network silently drops packets. */
constexpr int kUserTimeoutMs = 3000;

using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

UpstreamConnection::UpstreamConnection(asio::io_context& loop, Endpoint address)
    : server(std::move(address)), socket(loop), last_active(BootClock::now()) {}

void UpstreamConnection::Send(std::string request_head,
                              std::shared_ptr<const std::string> request_body,
                              bool is_head_request,
                              UpstreamListener& receiver) {
  this->head = std::move(request_head);
  this->body = std::move(request_body);
  this->head_request = is_head_request;
  this->listener = &receiver;
  this->in_progress = true;
  this->paused = false;
  this->ResetParser();
  this->last_active = BootClock::now();
  if (this->connected) {
    this->Write();
    return;
  }
  this->Connect();
}

void UpstreamConnection::Connect() {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(this->server.host, error);
  if (error) {
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
      self->Fail(AttemptFailure::kNotSent);
    });
    return;
  }
  this->socket.async_connect(
      tcp::endpoint(address, this->server.port),
      [self =
           this->shared_from_this()](const boost::system::error_code& failed) {
        if (self->closed) {
          return;
        }
        if (failed) {
          self->Fail(AttemptFailure::kNotSent);
          return;
        }
        boost::system::error_code ignored;
        self->socket.set_option(tcp::no_delay(true), ignored);
        self->socket.set_option(UserTimeout(kUserTimeoutMs), ignored);
        self->connected = true;
        self->Write();
      });
}

void UpstreamConnection::Write() {
  this->listener->OnSending();
  if (this->closed) {
    return;
  }
  this->writing = true;
  const std::array<asio::const_buffer, 2> buffers = {asio::buffer(this->head),
                                                     asio::buffer(*this->body)};
  asio::async_write(this->socket, buffers,
                    [self = this->shared_from_this()](
                        const boost::system::error_code& error, size_t) {
                      self->writing = false;
                      if (error) {
                        self->reusable = false;
                        self->write_failed = true;
                      }
                      // The read side reports a failure as well, after any
                      // response that the server sent before the request was
                      // complete.
                    });
  this->Read();
}

void UpstreamConnection::Read() {
  if (this->reading || this->closed || this->paused) {
    return;
  }
  this->reading = true;
  this->socket.async_read_some(
      asio::buffer(this->read_buffer),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        size_t size) {
        self->reading = false;
        try {
          self->OnRead(error, size);
        } catch (...) {
          // The listener handles its own exceptions; without a further read,
          // the request would wait for its timeout.
          self->reusable = false;
          self->Fail(AttemptFailure::kMalformed);
          throw;
        }
      });
}

void UpstreamConnection::OnRead(const boost::system::error_code& error,
                                size_t size) {
  if (this->closed) {
    return;
  }
  if (this->listener == nullptr) {
    // Unexpected data or end of file on an idle connection.
    this->reusable = false;
    this->Close();
    return;
  }
  if (error) {
    this->reusable = false;
    // The kernel reports a reset once. If a write got that report, the read
    // ends as if the server had closed the connection.
    if (error == asio::error::eof && !this->write_failed &&
        this->head_accepted && this->parser->FinishAtEof()) {
      this->Complete();
      return;
    }
    this->Fail(AttemptFailure::kConnectionLost);
    return;
  }
  this->last_active = BootClock::now();
  this->input.append(this->read_buffer.data(), size);
  this->Parse();
  this->Read();
}

void UpstreamConnection::ResetParser() {
  this->head_reported = false;
  this->head_accepted = false;
  this->parser = std::make_unique<httpio::ResponseParser>(
      [this](std::string_view bytes) {
        this->ReportHead();
        if (this->head_accepted && this->listener != nullptr) {
          this->listener->OnBody(bytes);
        }
      },
      this->head_request);
}

void UpstreamConnection::ReportHead() {
  if (this->head_reported || this->listener == nullptr) {
    return;
  }
  this->head_reported = true;
  this->head_accepted = this->listener->OnHead(this->parser->head);
}

void UpstreamConnection::Parse() {
  const auto self = this->shared_from_this();
  while (!this->input.empty() && this->listener != nullptr) {
    const size_t used = this->parser->Feed(this->input);
    this->input.erase(0, used);
    if (this->closed || this->listener == nullptr) {
      return;
    }
    if (this->parser->Failed()) {
      this->reusable = false;
      this->Fail(AttemptFailure::kMalformed);
      return;
    }
    if (!this->parser->is_header_done()) {
      return;
    }
    const bool interim = this->parser->head.status < 200;
    if (!interim) {
      this->ReportHead();
      if (this->closed || this->listener == nullptr) {
        return;
      }
    }
    if (!this->parser->is_done()) {
      return;
    }
    if (interim) {
      this->ResetParser();
      continue;
    }
    if (!this->head_accepted) {
      // A late response to an earlier request; ours follows.
      this->reusable = false;
      this->ResetParser();
      continue;
    }
    this->Complete();
    return;
  }
}

void UpstreamConnection::Complete() {
  const auto self = this->shared_from_this();
  const bool keep =
      this->parser->keep_alive() && this->input.empty() && !this->writing;
  if (!keep) {
    this->reusable = false;
  }
  UpstreamListener* receiver = std::exchange(this->listener, nullptr);
  this->in_progress = false;
  this->last_active = BootClock::now();
  receiver->OnComplete();
  if (!this->Reusable()) {
    this->Close();
  }
}

void UpstreamConnection::Fail(AttemptFailure failure) {
  const auto self = this->shared_from_this();
  UpstreamListener* receiver = std::exchange(this->listener, nullptr);
  this->Close();
  if (receiver != nullptr) {
    receiver->OnFailure(failure);
  }
}

void UpstreamConnection::Close() {
  this->listener = nullptr;
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->connected = false;
  boost::system::error_code ignored;
  if (this->in_progress) {
    this->socket.set_option(tcp::socket::linger(true, 0), ignored);
  }
  this->socket.close(ignored);
}

void UpstreamConnection::SetPaused(bool pause) {
  this->paused = pause;
  if (!pause && this->connected) {
    this->Read();
  }
}

int64_t UpstreamConnection::UnacknowledgedBytes() {
  int queued = 0;
  if (!this->connected ||
      ioctl(this->socket.native_handle(), SIOCOUTQ, &queued) != 0) {
    return -1;
  }
  return queued;
}

bool UpstreamConnection::Reusable() const {
  return this->connected && !this->closed && this->reusable;
}

}  // namespace boragewharf::relay
