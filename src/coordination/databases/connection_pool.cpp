#include "coordination/databases/connection_pool.h"
#include "protocol/database_protocol.h"

#include <algorithm>
#include <ranges>

namespace saddlewing {

void DatabaseConnectionPool::seek(ConnectionWaiter& seeker, const BackendPointer& backend,
                                  int limit, TimePoint now) {
  Row& row = rows_[backend.get()];
  row.limit = std::max(1, limit);
  DatabaseConnection* best = nullptr;
  int minimum = 0;
  for (const auto& pooled : std::ranges::reverse_view(row.connections)) {
    DatabaseConnection& connection = *pooled;
    if (connection.state() != DatabaseConnection::State::resting)
      continue;
    const int distance = connection.distance(seeker.wanted_values());
    if (!best || distance < minimum)
      best = &connection, minimum = distance;
  }
  if (best)
    return seeker.on_connection(*best, now);
  row.seekers.push_back(&seeker);
  const auto greeting =
      std::count_if(row.connections.begin(), row.connections.end(), [](const auto& connection) {
        return connection->state() == DatabaseConnection::State::greeting;
      });
  if (static_cast<int>(row.connections.size()) < row.limit &&
      static_cast<std::size_t>(greeting) < row.seekers.size())
    open_connection(row, backend, now);
}

void DatabaseConnectionPool::open_connection(Row& row, const BackendPointer& backend,
                                             TimePoint now) {
  auto fresh = std::make_unique<DatabaseConnection>(*this, backend);
  DatabaseConnection& connection = *fresh;
  row.connections.push_back(std::move(fresh));
  auto link = callbacks_.open(connection);
  if (!link)
    return connection.take_end();
  connection.open(std::move(link), now);
}

void DatabaseConnectionPool::stop_seeking(ConnectionWaiter& seeker) {
  for (auto& [backend, row] : rows_)
    std::erase(row.seekers, &seeker);
}

void DatabaseConnectionPool::on_connection_ready(DatabaseConnection& connection) {
  const auto found = rows_.find(&connection.backend());
  if (found == rows_.end())
    return;
  Row& row = found->second;
  const auto position = std::find_if(row.connections.begin(), row.connections.end(),
                                     [&](const auto& kept) { return kept.get() == &connection; });
  if (position != row.connections.end())
    std::rotate(position, position + 1, row.connections.end());
  if (row.seekers.empty()) {
    if (connection.backend().is_draining)
      connection.close();
    return;
  }
  ConnectionWaiter* next = row.seekers.front();
  row.seekers.pop_front();
  next->on_connection(connection, callbacks_.clock());
}

void DatabaseConnectionPool::on_connection_broken(DatabaseConnection& connection,
                                                  StatementError why) {
  const auto found = rows_.find(&connection.backend());
  if (found == rows_.end())
    return;
  Row& row = found->second;
  const auto position = std::find_if(row.connections.begin(), row.connections.end(),
                                     [&](const auto& kept) { return kept.get() == &connection; });
  if (position == row.connections.end())
    return;
  callbacks_.defer_delete(std::move(*position));
  row.connections.erase(position);
  if (why != StatementError::none && why != StatementError::full)
    callbacks_.see_answer(connection.backend(), false);
  if (row.seekers.empty())
    return;
  // Others at work there will come free; with none left, nobody waits for what is not to be had.
  const bool has_others = std::any_of(
      row.connections.begin(), row.connections.end(),
      [](const auto& kept) { return kept->state() != DatabaseConnection::State::broken; });
  if (has_others && (why == StatementError::full || why == StatementError::none))
    return;
  const TimePoint now = callbacks_.clock();
  std::deque<ConnectionWaiter*> seekers;
  seekers.swap(row.seekers);
  Backend& backend = connection.backend();
  for (ConnectionWaiter* seeker : seekers)
    seeker->on_no_connection(backend, why, now);
}

void DatabaseConnectionPool::leave(Backend& backend, bool is_at_once) {
  const auto found = rows_.find(&backend);
  if (found == rows_.end())
    return;
  std::vector<DatabaseConnection*> ending;
  for (const auto& connection : found->second.connections)
    if (is_at_once || connection->state() == DatabaseConnection::State::resting)
      ending.push_back(connection.get());
  for (DatabaseConnection* connection : ending) {
    if (connection->user())
      connection->take_end();
    else
      connection->close();
  }
}

std::size_t DatabaseConnectionPool::at_work(const Backend& backend) const {
  const auto found = rows_.find(&backend);
  if (found == rows_.end())
    return 0;
  return static_cast<std::size_t>(
      std::count_if(found->second.connections.begin(), found->second.connections.end(),
                    [](const auto& connection) { return connection->user() != nullptr; }));
}

void DatabaseConnectionPool::check_late(Duration max_greeting, Duration max_preparing,
                                        TimePoint now) {
  std::vector<DatabaseConnection*> late;
  for (const auto& [backend, row] : rows_)
    for (const auto& connection : row.connections) {
      const bool is_late = (connection->state() == DatabaseConnection::State::greeting &&
                            now - connection->since() > max_greeting) ||
                           ((connection->state() == DatabaseConnection::State::preparing ||
                             connection->state() == DatabaseConnection::State::ending) &&
                            now - connection->since() > max_preparing);
      if (is_late)
        late.push_back(connection.get());
    }
  for (DatabaseConnection* connection : late)
    connection->answer_is_late();
}

bool DatabaseConnectionPool::is_restless() const {
  for (const auto& [backend, row] : rows_)
    for (const auto& connection : row.connections)
      if (connection->state() == DatabaseConnection::State::greeting ||
          connection->state() == DatabaseConnection::State::preparing ||
          connection->state() == DatabaseConnection::State::ending)
        return true;
  return false;
}

std::size_t DatabaseConnectionPool::count() const {
  std::size_t count = 0;
  for (const auto& [backend, row] : rows_)
    count += row.connections.size();
  return count;
}

std::size_t DatabaseConnectionPool::waiting() const {
  std::size_t count = 0;
  for (const auto& [backend, row] : rows_)
    count += row.seekers.size();
  return count;
}

}  // namespace saddlewing
