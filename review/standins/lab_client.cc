/**
 * @file lab_client.cc
 * A client with blocking calls.
 */
#include "lab_client.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <utility>

namespace boragewharf::review {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

LabChannel::LabChannel(const Endpoint& address) {
  this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
  if (connect(this->socket, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) != 0) {
    close(this->socket);
    this->socket = -1;
  }
}

LabChannel::~LabChannel() {
  if (this->socket >= 0) {
    close(this->socket);
  }
}

bool LabChannel::Send(const std::string& bytes) const {
  return this->socket >= 0 &&
         send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
             static_cast<ssize_t>(bytes.size());
}

bool LabChannel::Fill(steady_clock::time_point end) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(end - steady_clock::now());
  if (this->socket < 0 || left.count() <= 0) {
    return false;
  }
  pollfd wait{this->socket, POLLIN, 0};
  if (poll(&wait, 1, static_cast<int>(left.count())) <= 0) {
    return false;
  }
  std::array<char, 65536> buffer{};
  const ssize_t size = recv(this->socket, buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    return false;
  }
  this->input.append(buffer.data(), static_cast<size_t>(size));
  return true;
}

bool LabChannel::ReadLine(steady_clock::time_point end, std::string& line) {
  size_t at = this->input.find("\r\n");
  while (at == std::string::npos) {
    if (!this->Fill(end)) {
      return false;
    }
    at = this->input.find("\r\n");
  }
  line = this->input.substr(0, at);
  this->input.erase(0, at + 2);
  return true;
}

bool LabChannel::ReadBytes(steady_clock::time_point end,
                           size_t size,
                           std::string& bytes) {
  while (this->input.size() < size) {
    if (!this->Fill(end)) {
      bytes += std::exchange(this->input, {});
      return false;
    }
  }
  bytes += this->input.substr(0, size);
  this->input.erase(0, size);
  return true;
}

void LabChannel::ReadChunks(steady_clock::time_point end,
                            LabResponse& response) {
  std::string line;
  while (this->ReadLine(end, line)) {
    constexpr int kHexBase = 16;
    const size_t size = std::strtoul(line.c_str(), nullptr, kHexBase);
    const bool whole =
        this->ReadBytes(end, size, response.body) && this->ReadLine(end, line);
    if (!whole) {
      return;
    }
    if (size == 0) {
      response.complete = true;
      return;
    }
  }
}

LabResponse LabChannel::Read(milliseconds timeout, bool to_head) {
  const auto end = steady_clock::now() + timeout;
  LabResponse response;
  std::string line;
  if (!this->ReadLine(end, line)) {
    response.start = this->input;
    response.malformed = !this->input.empty();
    return response;
  }
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  if (!line.starts_with(kVersion)) {
    response.malformed = true;
    response.start = line;
    return response;
  }
  const int status = std::atoi(line.c_str() + kVersion.size());
  while (this->ReadLine(end, line) && !line.empty()) {
    const size_t colon = std::min(line.find(':'), line.size());
    std::string name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    const size_t value = line.find_first_not_of(' ', colon + 1);
    response.fields[name] =
        value == std::string::npos ? "" : line.substr(value);
  }
  if (!line.empty()) {
    return response;  // Ended within the head.
  }
  response.status = status;
  if (to_head) {
    response.complete = true;
  } else if (response.fields.contains("transfer-encoding")) {
    this->ReadChunks(end, response);
  } else if (response.fields.contains("content-length")) {
    response.complete = this->ReadBytes(
        end,
        std::strtoul(response.fields["content-length"].c_str(), nullptr, 10),
        response.body);
  }
  return response;
}

std::string Encode(const LabRequest& request) {
  std::string text =
      request.method + " " + request.path +
      " HTTP/1.1\r\nHost: " + request.host +
      "\r\nBoragewharf-Attempt-Id: " + request.attempt_id +
      "\r\nBoragewharf-Deadline-Ms: " + std::to_string(request.deadline_ms) +
      "\r\n";
  if (!request.key.empty()) {
    text += "Authorization: Bearer " + request.key + "\r\n";
  }
  text += request.fields;
  if (!request.body.empty() || request.method == "POST") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + "\r\n" + request.body;
}

}  // namespace boragewharf::review
