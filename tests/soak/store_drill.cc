/**
 * @file store_drill.cc
 * Copies of the store, its returns, and the writes that follow.
 */
#include "store_drill.h"

#include <algorithm>
#include <memory>

namespace boragewharf::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCopyPeriod(100);

/** The oldest copy of a drill, with some time to spare. */
constexpr std::chrono::seconds kCopiesKept(7);

/** Owners write again within this time after the store's return. */
constexpr milliseconds kRewriteTime(1000);

}  // namespace

StoreDrill::StoreDrill(boost::asio::io_context& event_loop,
                       standins::StoreStandin& drilled_store,
                       uint64_t seed)
    : loop(event_loop),
      store(drilled_store),
      generator(seed),
      copy_timer(event_loop) {}

void StoreDrill::Put(const std::string& kind,
                     const std::string& name,
                     const standins::Json& spec) {
  this->Want({kind, name}, spec);
}

void StoreDrill::Erase(const std::string& kind, const std::string& name) {
  this->Want({kind, name}, nullptr);
}

void StoreDrill::Want(const Key& key, const standins::Json& spec) {
  this->wanted[key] = {spec, Clock::time_point::max()};
  this->WriteWanted(key);
}

void StoreDrill::WriteWanted(const Key& key) {
  if (this->away) {
    return;
  }
  Wanted& entry = this->wanted.at(key);
  const auto& [kind, name] = key;
  if (this->store.Spec(kind, name) != entry.spec) {
    if (entry.spec.is_null()) {
      this->store.Erase(kind, name);
    } else {
      this->store.Put(kind, name, entry.spec);
    }
  }
  if (entry.accepted == Clock::time_point::max()) {
    entry.accepted = Clock::now();
  }
}

void StoreDrill::Start() {
  this->TakeCopies();
}

void StoreDrill::Stop() {
  this->copy_timer.cancel();
}

void StoreDrill::TakeCopies() {
  const auto now = Clock::now();
  if (!this->away) {
    this->copies.push_back({now, this->store.TakeCopy()});
    while (this->copies.front().taken < now - kCopiesKept) {
      this->copies.pop_front();
    }
  }
  this->copy_timer.expires_after(kCopyPeriod);
  this->copy_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->TakeCopies();
    }
  });
}

std::string StoreDrill::Begin() {
  if (this->away || this->copies.empty()) {
    return {};
  }
  const milliseconds absence = this->Random(200, 2000);
  const milliseconds age = this->Random(500, 6000);
  const bool responds = this->generator() % 2 == 0;
  this->away = true;
  this->store.SetMode(responds ? standins::StoreMode::kUnavailable
                               : standins::StoreMode::kNoResponse);
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(this->loop, absence);
  timer->async_wait(
      [this, timer, copy_time = Clock::now() - age](
          const boost::system::error_code&) { this->Return(copy_time); });
  return "store away for " + std::to_string(absence.count()) + " ms, copy of " +
         std::to_string(age.count()) + " ms before";
}

void StoreDrill::Return(Clock::time_point copy_time) {
  // The last copy that is old enough; what is later than it never was.
  while (this->copies.size() > 1 && this->copies.back().taken > copy_time) {
    this->copies.pop_back();
  }
  this->store.ReturnFrom(this->copies.back().copy);
  this->store.SetMode(standins::StoreMode::kServe);
  this->away = false;
  this->returned = Clock::now();
  for (auto& [key, entry] : this->wanted) {
    // What was wanted while the store was away is written later, too.
    if (this->store.Spec(key.first, key.second) != entry.spec) {
      entry.accepted = Clock::time_point::max();
    }
    if (entry.accepted == Clock::time_point::max()) {
      this->CallWithin(kRewriteTime,
                       [this, written = key] { this->WriteWanted(written); });
    }
  }
}

bool StoreDrill::IsSettled() const {
  return !this->away &&
         std::ranges::all_of(this->wanted, [](const auto& entry) {
           return entry.second.accepted != Clock::time_point::max();
         });
}

StoreDrill::Clock::time_point StoreDrill::LastDisturbance() const {
  return this->away ? Clock::now() : this->returned;
}

StoreDrill::Clock::time_point StoreDrill::AcceptedAt(
    const std::string& kind,
    const std::string& name) const {
  const auto found = this->wanted.find({kind, name});
  return found == this->wanted.end() ? Clock::time_point::max()
                                     : found->second.accepted;
}

template <class Function>
void StoreDrill::CallWithin(milliseconds longest, Function function) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      this->loop, this->Random(0, longest.count()));
  timer->async_wait(
      [timer, function](const boost::system::error_code&) { function(); });
}

milliseconds StoreDrill::Random(int64_t shortest_ms, int64_t longest_ms) {
  const auto span = static_cast<uint64_t>(longest_ms - shortest_ms + 1);
  return milliseconds(shortest_ms +
                      static_cast<int64_t>(this->generator() % span));
}

}  // namespace boragewharf::soak
