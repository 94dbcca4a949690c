#pragma once
// The storage thread: saves the Raft state, so that no other thread waits for the disk.
//
// Does not decide what is saved or when; each save ends with a `StorageResult` to the control loop.
#include <poll.h>

#include <glog/logging.h>
#include <atomic>
#include <thread>

#include "registry/events.h"
#include "state/durable_store.h"
#include "state/metrics.h"

namespace saddlewing {

class StorageThread {
 public:
  // `store` and `events` must outlive the thread.
  StorageThread(DurableStore& store, BoundedQueue<ControlEvent>& events)
      : store_(store), events_(events), saves_(4, [this] { waker_.wake(); }) {
  }
  void start() {
    thread_ = std::thread([this] { run(); });
  }
  // Saves after those before it; false if too many wait. Only for the control loop.
  bool save(RaftNode::Save save) {
    return saves_.push(std::move(save));
  }
  // Lets the thread end, without waiting for it: a sync on a stuck disk can't be interrupted, and a
  // join would keep the process alive with it. The thread is detached and may still use this object
  // and the store, so the caller ends the process (`_exit`) before either is destroyed.
  void stop() {
    should_stop_ = true;
    waker_.wake();
    if (thread_.joinable())
      thread_.detach();
  }

 private:
  void run() {
    while (!should_stop_) {
      pollfd waiting{waker_.descriptor(), POLLIN, 0};
      ::poll(&waiting, 1, -1);
      waker_.clear();
      for (const RaftNode::Save& save : saves_.take()) {
        const Error found = store_.save(save.persistent);
        if (found)
          metrics().add(Metric::failed_saves);
        if (found)
          LOG(ERROR) << "disk: save failed: " << found.text();
        // Without this word nothing is saved any more, so it waits for room.
        while (!should_stop_ && !events_.push(StorageResult{save.serial, !found}))
          std::this_thread::sleep_for(1ms);
      }
    }
  }
  DurableStore& store_;
  BoundedQueue<ControlEvent>& events_;
  Waker waker_;
  BoundedQueue<RaftNode::Save> saves_;
  std::atomic<bool> should_stop_ = false;
  std::thread thread_;
};

}  // namespace saddlewing
