// Troubles between processes and on their disks for the soak test (docs/soak.md): a library that
// the tests load in front of the system's C library, so that the program under test is the
// unmodified release build. It rules connect, accept, recv, epoll_wait, fsync and fdatasync of one
// process by a file of rules, which the soak rewrites while the process runs.
//
// Environment: SOAK_ADDRESS: this node's address on loopback; connections leave from it, so that
// the other side knows whose they are. SOAK_RULES: the file of rules, one a line:
//
//     deaf ADDRESS          nothing that ADDRESS sends arrives here; it waits in its buffers
//     unreachable ADDRESS   a new connection to ADDRESS gets no answer
//     reset ADDRESS         connections with ADDRESS break now; once for each new serial
//     serial NUMBER         of the file
//     hole ADDRESS:PORT     where unreachable connections hang
//     ended_flags NUMBER    once its peer has ended its sending, a socket is told once more as
//     ready,
//                           with these flags of epoll_wait and whatever was asked for
//     sync_ms NUMBER        every sync takes so much longer
//     sync_fails            every sync fails with EIO
//     disk_full             every write to a file in the data folder fails with ENOSPC
//     synced FOLDER         after a sync the file is copied there: what a loss of power leaves
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr auto reload_interval = std::chrono::milliseconds(10);
constexpr useconds_t deaf_pause_us = 2000;  // between two looks at sockets that stay unread
constexpr std::size_t max_descriptors = 65536;

struct Rules {
  std::set<in_addr_t> deaf_to;
  std::set<in_addr_t> unreachable;
  std::set<in_addr_t> reset_with;
  std::uint64_t serial = 0;
  sockaddr_in hole{};
  std::uint32_t ended_flags = 0;
  int sync_ms = 0;
  bool does_sync_fail = false;
  bool is_disk_full = false;
  std::string synced_folder;
};

using RulesSnapshot = std::shared_ptr<const Rules>;

// The peer of each connection; 0: none that rules know. Written at connect and accept.
std::atomic<in_addr_t> peers[max_descriptors];
std::atomic<std::uint64_t> connected_under[max_descriptors];  // serial of the rules at that time

template <class Function>
Function next_function(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

Rules read_rules(const char* path) {
  Rules rules;
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    std::string name;
    std::string value;
    words >> name >> value;
    if (name == "deaf")
      rules.deaf_to.insert(inet_addr(value.c_str()));
    else if (name == "unreachable")
      rules.unreachable.insert(inet_addr(value.c_str()));
    else if (name == "reset")
      rules.reset_with.insert(inet_addr(value.c_str()));
    else if (name == "serial")
      rules.serial = std::strtoull(value.c_str(), nullptr, 10);
    else if (name == "ended_flags")
      rules.ended_flags = static_cast<std::uint32_t>(std::strtoul(value.c_str(), nullptr, 0));
    else if (name == "sync_ms")
      rules.sync_ms = std::atoi(value.c_str());
    else if (name == "sync_fails")
      rules.does_sync_fail = true;
    else if (name == "disk_full")
      rules.is_disk_full = true;
    else if (name == "synced")
      rules.synced_folder = value;
    else if (const auto colon = value.find(':'); name == "hole" && colon != std::string::npos) {
      rules.hole.sin_family = AF_INET;
      rules.hole.sin_addr.s_addr = inet_addr(value.substr(0, colon).c_str());
      rules.hole.sin_port =
          htons(static_cast<std::uint16_t>(std::atoi(value.substr(colon + 1).c_str())));
    }
  }
  return rules;
}

// The rules in force. The file is small and read anew each time: neither its inode nor its time
// tells two versions apart that follow each other within a tick of the file system's clock.
RulesSnapshot current_rules() {
  static std::mutex mutex;
  static RulesSnapshot rules = std::make_shared<Rules>();
  static SteadyClock::time_point looked_at{};
  const char* path = std::getenv("SOAK_RULES");
  const std::lock_guard lock(mutex);
  const auto now = SteadyClock::now();
  if (!path || now - looked_at < reload_interval)
    return rules;
  looked_at = now;
  rules = std::make_shared<Rules>(read_rules(path));
  return rules;
}

bool is_known(int descriptor) {
  return descriptor >= 0 && static_cast<std::size_t>(descriptor) < max_descriptors;
}

void record_peer(int descriptor, in_addr_t peer) {
  if (!is_known(descriptor))
    return;
  connected_under[descriptor] = current_rules()->serial;
  peers[descriptor] = peer;
}

bool is_deaf(const Rules& rules, int descriptor) {
  if (rules.deaf_to.empty() || !is_known(descriptor))
    return false;
  const in_addr_t peer = peers[descriptor];
  return peer != 0 && rules.deaf_to.contains(peer);
}

// Breaks a connection that the newest rules reset. Its next use finds the end.
bool break_if_reset(const Rules& rules, int descriptor) {
  if (rules.reset_with.empty() || !is_known(descriptor))
    return false;
  const in_addr_t peer = peers[descriptor];
  if (peer == 0 || !rules.reset_with.contains(peer) || connected_under[descriptor] >= rules.serial)
    return false;
  connected_under[descriptor] = rules.serial;
  const linger at_once{1, 0};
  ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  ::shutdown(descriptor, SHUT_RDWR);
  return true;
}

// Which descriptor an event of an epoll instance is of, and which peers ended their sending.
class EpollTable {
 public:
  void set(int instance, std::uint64_t data, int descriptor) {
    const std::lock_guard lock(mutex_);
    by_data_[{instance, data}] = descriptor;
    by_descriptor_[descriptor] = {instance, data};
  }
  void forget(int descriptor) {
    const std::lock_guard lock(mutex_);
    by_descriptor_.erase(descriptor);
    ended_.erase(descriptor);
  }
  void record_peer_end(int descriptor) {
    const std::lock_guard lock(mutex_);
    ended_.try_emplace(descriptor, false);
  }
  // Events of this instance that tell each peer's end once more.
  int take_repeated_ends(int instance, std::uint32_t flags, epoll_event* events, int max_events) {
    const std::lock_guard lock(mutex_);
    int count = 0;
    for (auto& [descriptor, was_repeated] : ended_) {
      const auto found = by_descriptor_.find(descriptor);
      const bool is_due = !was_repeated && found != by_descriptor_.end() &&
                          found->second.first == instance && count < max_events;
      if (!is_due)
        continue;
      was_repeated = true;
      events[count].events = flags;
      events[count++].data.u64 = found->second.second;
    }
    return count;
  }
  int find(int instance, std::uint64_t data) {
    const std::lock_guard lock(mutex_);
    const auto found = by_data_.find({instance, data});
    return found == by_data_.end() ? -1 : found->second;
  }

 private:
  std::mutex mutex_;
  std::map<std::pair<int, std::uint64_t>, int> by_data_;
  std::map<int, std::pair<int, std::uint64_t>> by_descriptor_;
  std::map<int, bool> ended_;  // whether it was told once more
};

EpollTable& epoll_table() {
  static EpollTable table;
  return table;
}

// Leaves out what comes from peers that are cut off; writing to them stays possible until their
// buffers are full.
int drop_deaf_events(const Rules& rules, int instance, epoll_event* events, int count) {
  int kept = 0;
  for (int index = 0; index < count; ++index) {
    const int descriptor = epoll_table().find(instance, events[index].data.u64);
    break_if_reset(rules, descriptor);
    if (is_deaf(rules, descriptor))
      events[index].events &= EPOLLOUT;
    if (events[index].events != 0)
      events[kept++] = events[index];
  }
  return kept;
}

std::string path_of(int descriptor) {
  char path[4096];
  const std::string link = "/proc/self/fd/" + std::to_string(descriptor);
  const ssize_t size = ::readlink(link.c_str(), path, sizeof path);
  return size > 0 ? std::string(path, static_cast<std::size_t>(size)) : std::string();
}

// What is synced now survives a loss of power. The copy is put in place at once.
void keep_synced_copy(const Rules& rules, int descriptor) {
  struct stat facts {};
  if (rules.synced_folder.empty() || ::fstat(descriptor, &facts) != 0 || !S_ISREG(facts.st_mode))
    return;
  const std::string path = path_of(descriptor);
  const std::string copy = rules.synced_folder + path.substr(path.find_last_of('/'));
  {
    std::ifstream from(path, std::ios::binary);
    std::ofstream to(copy + ".new", std::ios::binary);
    to << from.rdbuf();
  }
  std::rename((copy + ".new").c_str(), copy.c_str());
}

int sync_with(int (*sync)(int), int descriptor) {
  const RulesSnapshot rules = current_rules();
  if (rules->sync_ms > 0)
    ::usleep(static_cast<useconds_t>(rules->sync_ms) * 1000);
  if (rules->does_sync_fail) {
    errno = EIO;
    return -1;
  }
  const int result = sync(descriptor);
  if (result == 0)
    keep_synced_copy(*rules, descriptor);
  return result;
}

}  // namespace

extern "C" {

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static const auto next = next_function<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (!address || address->sa_family != AF_INET || size < sizeof(sockaddr_in))
    return next(descriptor, address, size);
  const auto* to = reinterpret_cast<const sockaddr_in*>(address);
  sockaddr_in own{};
  socklen_t own_size = sizeof own;
  const char* own_address = std::getenv("SOAK_ADDRESS");
  if (own_address && ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&own), &own_size) == 0 &&
      own.sin_port == 0) {
    const int late = 1;  // the port is chosen at connect, so that ports don't run out
    ::setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &late, sizeof late);
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = inet_addr(own_address);
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&own), sizeof own);
  }
  record_peer(descriptor, to->sin_addr.s_addr);
  const RulesSnapshot rules = current_rules();
  if (rules->unreachable.contains(to->sin_addr.s_addr) && rules->hole.sin_port != 0)
    return next(descriptor, reinterpret_cast<const sockaddr*>(&rules->hole), sizeof rules->hole);
  return next(descriptor, address, size);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  static const auto next = next_function<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  const int accepted = next(descriptor, address, size, flags);
  sockaddr_in peer{};
  socklen_t peer_size = sizeof peer;
  if (accepted >= 0 &&
      ::getpeername(accepted, reinterpret_cast<sockaddr*>(&peer), &peer_size) == 0 &&
      peer.sin_family == AF_INET)
    record_peer(accepted, peer.sin_addr.s_addr);
  return accepted;
}

int accept(int descriptor, sockaddr* address, socklen_t* size) {
  return accept4(descriptor, address, size, 0);
}

int close(int descriptor) {
  static const auto next = next_function<int (*)(int)>("close");
  if (is_known(descriptor))
    peers[descriptor] = 0;
  epoll_table().forget(descriptor);
  return next(descriptor);
}

ssize_t recv(int descriptor, void* bytes, size_t size, int flags) {
  static const auto next = next_function<ssize_t (*)(int, void*, size_t, int)>("recv");
  const RulesSnapshot rules = current_rules();
  break_if_reset(*rules, descriptor);
  if (is_deaf(*rules, descriptor)) {
    errno = EAGAIN;
    return -1;
  }
  const ssize_t count = next(descriptor, bytes, size, flags);
  if (count == 0 && size > 0 && rules->ended_flags != 0)
    epoll_table().record_peer_end(descriptor);
  return count;
}

int epoll_ctl(int instance, int operation, int descriptor, epoll_event* event) {
  static const auto next = next_function<int (*)(int, int, int, epoll_event*)>("epoll_ctl");
  if (event && operation != EPOLL_CTL_DEL)
    epoll_table().set(instance, event->data.u64, descriptor);
  return next(instance, operation, descriptor, event);
}

int epoll_wait(int instance, epoll_event* events, int max_events, int timeout_ms) {
  static const auto next = next_function<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  const auto began = SteadyClock::now();
  for (;;) {
    const RulesSnapshot rules = current_rules();
    if (rules->ended_flags != 0)
      if (const int repeated =
              epoll_table().take_repeated_ends(instance, rules->ended_flags, events, max_events))
        return repeated;
    const auto waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - began).count();
    const int left = timeout_ms < 0 ? -1 : static_cast<int>(std::max<long>(0, timeout_ms - waited));
    const int count = next(instance, events, max_events, left);
    if (count <= 0)
      return count;
    const int kept = drop_deaf_events(*rules, instance, events, count);
    if (kept > 0 || (timeout_ms >= 0 && left == 0))
      return kept;
    ::usleep(deaf_pause_us);
  }
}

ssize_t pwrite(int descriptor, const void* bytes, size_t size, off_t offset) {
  static const auto next = next_function<ssize_t (*)(int, const void*, size_t, off_t)>("pwrite");
  if (current_rules()->is_disk_full) {
    errno = ENOSPC;
    return -1;
  }
  return next(descriptor, bytes, size, offset);
}

ssize_t pwrite64(int descriptor, const void* bytes, size_t size, off64_t offset) {
  return pwrite(descriptor, bytes, size, offset);
}

int fsync(int descriptor) {
  static const auto next = next_function<int (*)(int)>("fsync");
  return sync_with(next, descriptor);
}

int fdatasync(int descriptor) {
  static const auto next = next_function<int (*)(int)>("fdatasync");
  return sync_with(next, descriptor);
}
}
