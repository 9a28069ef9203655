/**
 * @file control_loop_base.h
 * The control thread and its queue of events.
 */
#pragma once

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <functional>
#include <optional>
#include <span>
#include <thread>
#include <vector>

#include "control/control_type.h"

namespace boragewharf::daemon {

/** Carries out the effects of the reducer. Must not block. */
class EffectHandler {
 public:
  virtual ~EffectHandler() = default;

  /**
   * Called on the control thread after each event.
   * @param state As it is after the event.
   */
  virtual void Handle(const control::ControlState& state,
                      std::span<const control::Effect> effects) = 0;
};

/** Runs the reducer on a thread of its own. */
class ControlLoop {
 public:
  /** Looks at the state on the control thread. */
  using Query = std::function<void(const control::ControlState&)>;

  /** @param initial State to start from. */
  explicit ControlLoop(control::ControlState initial);
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;
  /** Stops the thread. */
  ~ControlLoop();

  /**
   * Starts the thread.
   * @param effect_handler Outlives the loop.
   * @pre Called once.
   */
  void Start(EffectHandler& effect_handler);

  /** Ends the thread; further events are dropped. @note Thread-safe. */
  void Stop();

  /**
   * Queues an event. Blocks only while the queue is full.
   * @param after Called with the state after the event; may be empty.
   * @note Thread-safe, except from the control thread.
   */
  void Post(control::Event event, Query after = {});

  /** Queues an event if the queue has room. @note Thread-safe. */
  bool TryPost(control::Event event);

  /** Runs @p query on the control thread and waits. @note Thread-safe. */
  void Inspect(const Query& query);

 private:
  struct Item {
    std::optional<control::Event> event;
    Query after;
    bool is_stop = false;
  };

  void Run();
  void Process(Item& item);
  void Apply(const control::Event& event);

  control::ControlState state;
  EffectHandler* handler = nullptr;
  tbb::concurrent_bounded_queue<Item> queue;
  std::vector<control::Effect> effects;
  std::atomic<bool> stopped{false};
  std::thread thread;
  std::thread ticker;
};

}  // namespace boragewharf::daemon
