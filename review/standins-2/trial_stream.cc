/**
 * @file trial_stream.cc
 * A client of one stream.
 */
#include "trial_stream.h"

#include <boost/asio/write.hpp>
#include <utility>

namespace boragewharf::review {
namespace {

namespace asio = boost::asio;

/** Time budget of the client. */
constexpr milliseconds kDeadline(12000);

/** Time budget of a booking, longer than its route's timeout, and time between
 * the end of a stream and the booking. */
constexpr milliseconds kBookingDeadline(4000);
constexpr milliseconds kUntilBooking(500);

/** Attempts of a client: the first one and one retry. */
constexpr size_t kMaxAttempts = 2;

/** Text after @p name in an event, up to the end of the line. */
std::string LineOf(std::string_view event, std::string_view name) {
  const size_t start = event.find(name);
  if (start == std::string_view::npos) {
    return {};
  }
  event.remove_prefix(start + name.size());
  return std::string(event.substr(0, event.find('\n')));
}

}  // namespace

std::set<std::string> StreamResult::Versions() const {
  std::set<std::string> versions;
  for (const StreamAttempt& attempt : this->attempts) {
    versions.insert(attempt.versions.begin(), attempt.versions.end());
  }
  return versions;
}

std::string StreamResult::Text() const {
  std::string text;
  for (const StreamAttempt& attempt : this->attempts) {
    text += (text.empty() ? "" : "; then ") + attempt.id + " at front-" +
            std::to_string(attempt.node + 1) + ": status " +
            std::to_string(attempt.status) + ", events " +
            std::to_string(attempt.first_event) + " to " +
            std::to_string(attempt.last_event) + " from" +
            (attempt.replicas.empty() ? " none" : attempt.replicas) +
            (attempt.complete ? ", complete" : ", broken off");
  }
  return text;
}

StreamClient::StreamClient(Trial& deployment,
                           std::string stream_name,
                           std::string path_prefix,
                           PickNode pick,
                           Callback when_over)
    : trial(deployment),
      name(std::move(stream_name)),
      prefix(std::move(path_prefix)),
      pick_node(std::move(pick)),
      callback(std::move(when_over)),
      socket(deployment.Loop()),
      timer(deployment.Loop(), kDeadline) {}

void StreamClient::Start(size_t node) {
  this->timer.async_wait([self = this->shared_from_this()](
                             const boost::system::error_code& error) {
    if (!error && !self->over) {
      self->Finish();
    }
  });
  this->Send(node);
}

void StreamClient::Send(size_t node) {
  StreamAttempt attempt;
  attempt.id = this->name + "." + std::to_string(this->result.attempts.size());
  attempt.node = node;
  this->output =
      "POST " + this->prefix + this->name + " HTTP/1.1\r\nHost: " + kHost +
      "\r\nBoragewharf-Attempt-Id: " + attempt.id +
      "\r\nBoragewharf-Model: m"
      "\r\nBoragewharf-Token-Counts: 826,300"
      "\r\nBoragewharf-Prompt-Prefix: 5c1e07a2:198," +
      std::to_string(100000 + std::hash<std::string>{}(this->name) % 900000) +
      ":628"
      "\r\nBoragewharf-Deadline-Ms: 12000"
      "\r\nAuthorization: Bearer " +
      kKey + "\r\nContent-Length: 0\r\n";
  if (this->last_event > 0) {
    this->output += "Last-Event-Id: " + std::to_string(this->last_event) +
                    "\r\nResumes: " + this->result.attempts.front().id + "\r\n";
  }
  this->output += "\r\n";
  this->result.attempts.push_back(std::move(attempt));
  this->input.clear();
  this->events_rest.clear();
  this->parser = std::make_unique<httpio::ResponseParser>(
      [this](std::string_view bytes) { this->OnBody(bytes); });
  this->socket = asio::ip::tcp::socket(this->trial.Loop());
  this->socket.async_connect(
      this->trial.ClientAddress(node),
      [self =
           this->shared_from_this()](const boost::system::error_code& error) {
        if (self->over) {
          return;
        }
        if (error) {
          self->EndAttempt(false);
          return;
        }
        boost::system::error_code ignored;
        asio::write(self->socket, asio::buffer(self->output), ignored);
        self->Read();
      });
}

void StreamClient::Read() {
  this->socket.async_read_some(
      asio::buffer(this->buffer),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        size_t size) {
        if (self->over) {
          return;
        }
        if (error) {
          self->EndAttempt(false);
          return;
        }
        self->input.append(self->buffer.data(), size);
        const size_t used = self->parser->Feed(self->input);
        self->input.erase(0, used);
        if (self->parser->is_header_done()) {
          self->result.attempts.back().status = self->parser->head.status;
        }
        if (self->parser->Failed() || self->parser->is_done()) {
          self->EndAttempt(!self->parser->Failed());
          return;
        }
        self->Read();
      });
}

void StreamClient::OnBody(std::string_view bytes) {
  this->events_rest.append(bytes);
  size_t end = this->events_rest.find("\n\n");
  while (end != std::string::npos) {
    const std::string event = this->events_rest.substr(0, end + 1);
    this->events_rest.erase(0, end + 2);
    end = this->events_rest.find("\n\n");
    const std::string id = LineOf(event, "id: ");
    const std::string data = LineOf(event, "data: ");
    const size_t space = data.find(' ');
    if (id.empty() || space == std::string::npos) {
      continue;  // The body of a refusal.
    }
    StreamAttempt& attempt = this->result.attempts.back();
    const auto number = static_cast<uint32_t>(std::stoul(id));
    this->result.in_order &= number == this->last_event + 1;
    this->last_event = number;
    attempt.first_event =
        attempt.first_event == 0 ? number : attempt.first_event;
    attempt.last_event = number;
    if (attempt.versions.insert(data.substr(space + 1)).second) {
      attempt.replicas += " " + data;
    }
  }
}

void StreamClient::EndAttempt(bool complete) {
  StreamAttempt& attempt = this->result.attempts.back();
  attempt.complete = complete && attempt.status == 200;
  const bool refused = complete && attempt.status != 200;
  if (!attempt.complete && !refused && this->last_event > 0 &&
      this->result.attempts.size() < kMaxAttempts) {
    this->Send(this->pick_node(attempt.node));
    return;
  }
  const bool keeps = complete && this->parser->keep_alive();
  if (this->books && keeps) {
    this->Book();
    return;
  }
  this->Finish();
}

void StreamClient::Book() {
  this->timer.expires_after(kUntilBooking);
  this->timer.async_wait([self = this->shared_from_this()](
                             const boost::system::error_code& error) {
    if (error) {
      return;
    }
    Booking& booking = self->result.booking.emplace();
    booking.id = self->name + ".booking";
    self->output = "POST /book/" + self->name + " HTTP/1.1\r\nHost: " + kHost +
                   "\r\nBoragewharf-Attempt-Id: " + booking.id +
                   "\r\nBoragewharf-Deadline-Ms: 4000"
                   "\r\nAuthorization: Bearer " +
                   kKey + "\r\nContent-Length: 0\r\n\r\n";
    self->sent_at = Clock::now();
    self->input.clear();
    self->parser =
        std::make_unique<httpio::ResponseParser>([](std::string_view) {});
    boost::system::error_code ignored;
    asio::write(self->socket, asio::buffer(self->output), ignored);
    self->timer.expires_after(kBookingDeadline);
    self->timer.async_wait([self](const boost::system::error_code& expired) {
      if (!expired) {
        self->Finish();
      }
    });
    self->ReadBooking();
  });
}

void StreamClient::ReadBooking() {
  this->socket.async_read_some(
      asio::buffer(this->buffer),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        size_t size) {
        if (self->over) {
          return;
        }
        if (error) {
          self->Finish();
          return;
        }
        self->input.append(self->buffer.data(), size);
        self->input.erase(0, self->parser->Feed(self->input));
        if (!self->parser->is_done()) {
          self->ReadBooking();
          return;
        }
        Booking& booking = *self->result.booking;
        booking.status = self->parser->head.status;
        booking.answered_after = std::chrono::duration_cast<milliseconds>(
            Clock::now() - self->sent_at);
        self->Finish();
      });
}

void StreamClient::Finish() {
  if (this->over) {
    return;
  }
  this->over = true;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  this->timer.cancel();
  this->callback(this->result);
}

}  // namespace boragewharf::review
