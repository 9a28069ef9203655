/**
 * @file control_loop_base.cc
 * The control thread.
 */
#include "daemon/control_loop_base.h"

#include <future>

#include "control/control_func.h"

namespace boragewharf::daemon {

namespace {

/** Bounds memory when events arrive faster than they are handled. */
constexpr std::ptrdiff_t kQueueCapacity = 65536;

constexpr auto kTickPeriod = std::chrono::milliseconds(50);

}  // namespace

ControlLoop::ControlLoop(control::ControlState initial)
    : state(std::move(initial)) {
  this->queue.set_capacity(kQueueCapacity);
}

ControlLoop::~ControlLoop() {
  this->Stop();
}

void ControlLoop::Start(EffectHandler& effect_handler) {
  this->handler = &effect_handler;
  this->thread = std::thread([this] { this->Run(); });
  this->ticker = std::thread([this] {
    while (!this->stopped) {
      this->TryPost(control::Tick{WallNow()});
      std::this_thread::sleep_for(kTickPeriod);
    }
  });
}

void ControlLoop::Stop() {
  if (this->stopped.exchange(true) || !this->thread.joinable()) {
    return;
  }
  this->ticker.join();
  this->queue.push(Item{{}, {}, true});
  this->thread.join();
}

void ControlLoop::Post(control::Event event, Query after) {
  if (this->stopped) {
    return;
  }
  this->queue.push(Item{std::move(event), std::move(after), false});
}

bool ControlLoop::TryPost(control::Event event) {
  return this->queue.try_push(Item{std::move(event), {}, false});
}

void ControlLoop::Inspect(const Query& query) {
  if (this->stopped) {
    return;
  }
  auto done = std::make_shared<std::promise<void>>();
  std::future<void> finished = done->get_future();
  this->queue.push(Item{{},
                        [&query, done](const control::ControlState& current) {
                          query(current);
                          done->set_value();
                        },
                        false});
  finished.wait();
}

void ControlLoop::Run() {
  while (true) {
    Item item;
    this->queue.pop(item);
    if (item.is_stop) {
      return;
    }
    this->Process(item);
  }
}

void ControlLoop::Process(Item& item) {
  if (item.event) {
    this->Apply(*item.event);
  }
  if (item.after) {
    item.after(this->state);
  }
}

void ControlLoop::Apply(const control::Event& event) {
  this->effects.clear();
  control::Reduce(this->state, event, BootClock::now(), this->effects);
  this->handler->Handle(this->state, this->effects);
}

}  // namespace boragewharf::daemon
