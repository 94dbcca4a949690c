#pragma once
// The connections of one pooler to database backends, and who waits for one. Pure.
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

#include "coordination/databases/database_connection.h"
#include "protocol/database_protocol.h"

namespace saddlewing {

// Whoever waits for a connection to one backend.
class ConnectionWaiter {
 public:
  virtual ~ConnectionWaiter() = default;
  virtual const Values& wanted_values() const = 0;
  virtual void on_connection(DatabaseConnection& connection, TimePoint now) = 0;
  virtual void on_no_connection(Backend& backend, StatementError why,
                                TimePoint now) = 0;  // no connection could be had
};

// Invariant: to one backend there are never more connections than allowed, and a resting one never
// rests while somebody waits for it.
class DatabaseConnectionPool final : public DatabaseConnection::Owner {
 public:
  struct Callbacks {
    std::function<std::unique_ptr<DatabaseConnectionLink>(DatabaseConnection&)>
        open;  // null: no connection could be begun
    std::function<void(Backend&, const LogPosition&, TimePoint)> record_log_position;
    std::function<void(Backend&, bool)> see_answer;
    std::function<TimePoint()> clock;
    std::function<void(std::unique_ptr<DatabaseConnection>)> defer_delete;  // freed between rounds
  };
  explicit DatabaseConnectionPool(Callbacks callbacks) : callbacks_(std::move(callbacks)) {
  }

  // The seeker is called at once, or later, or never if it stops seeking.
  void seek(ConnectionWaiter& seeker, const BackendPointer& backend, int limit, TimePoint now);
  void stop_seeking(ConnectionWaiter& seeker);
  // Closes what rests there; what is at work is closed too, if so wanted.
  void leave(Backend& backend, bool is_at_once);
  std::size_t at_work(const Backend& backend) const;
  void check_late(Duration max_greeting, Duration max_preparing, TimePoint now);
  bool is_restless() const;  // something is under way that `check_late` watches
  std::size_t count() const;
  std::size_t waiting() const;

  void on_connection_ready(DatabaseConnection& connection) override;
  void on_connection_broken(DatabaseConnection& connection, StatementError why) override;
  void on_log_position(Backend& backend, const LogPosition& position, TimePoint asked) override {
    callbacks_.record_log_position(backend, position, asked);
  }
  void on_answer(Backend& backend, bool is_fine) override {
    callbacks_.see_answer(backend, is_fine);
  }

 private:
  struct Row {
    std::vector<std::unique_ptr<DatabaseConnection>> connections;  // those used last stand last
    std::deque<ConnectionWaiter*> seekers;
    int limit = 1;
  };
  void open_connection(Row& row, const BackendPointer& backend, TimePoint now);
  Callbacks callbacks_;
  std::unordered_map<const Backend*, Row> rows_;
};

}  // namespace saddlewing
