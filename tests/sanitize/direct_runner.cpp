// Runs the Criterion tests under the thread sanitizer. Criterion's own runner maps an arena at
// addresses that this sanitizer keeps for itself, and ends. Here each test runs in a fork of its
// own, as there; the functions that report to the runner are replaced by ones that print and count.
// A failed assertion, a report of the sanitizer, an exception or a signal fails a test. A test with
// a fixture, an expected signal or a suite's options is not known here and fails, so that none
// passes unseen.
#include <criterion/criterion.h>
#include <fnmatch.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>

extern "C" {
extern criterion_test* __start_cr_tst[];
extern criterion_test* __stop_cr_tst[];
extern criterion_suite* __start_cr_sts[] __attribute__((weak));
extern criterion_suite* __stop_cr_sts[] __attribute__((weak));
}

namespace {

constexpr std::size_t max_at_once = 4;
int failed_assertions = 0;

bool is_plain(const criterion_test& test) {
  const criterion_test_extra_data& data = *test.data;
  return data.kind_ == CR_TEST_NORMAL && !data.init && !data.fini && !data.signal &&
         !data.exit_code && !data.disabled && data.timeout == 0;
}

// In a fork of its own; gives the fork's id, -1 when there is none.
pid_t start(const criterion_test& test) {
  std::fflush(nullptr);
  const pid_t child = ::fork();
  if (child != 0)
    return child;
  test.test();
  std::exit(failed_assertions ? 1 : 0);
}

// Waits for a fork to end, any of them; names it when its test did not pass.
bool finish(std::map<pid_t, std::string>& running) {
  int status = 0;
  const pid_t child = ::wait(&status);
  const auto found = running.find(child);
  if (found == running.end())
    std::abort();
  const bool is_passed = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  std::fprintf(stderr, "%s: %s\n", is_passed ? "passed" : "failed", found->second.c_str());
  running.erase(found);
  return is_passed;
}

}  // namespace

extern "C" {

void criterion_internal_test_setup() {
}
void criterion_internal_test_main(void (*test)()) {
  test();
}
void criterion_internal_test_teardown() {
}
void criterion_send_assert(criterion_assert_stats* stats) {
  if (stats->passed)
    return;
  ++failed_assertions;
  std::fprintf(stderr, "%s:%u: assertion failed: %s\n", stats->file,
               static_cast<unsigned>(stats->line), stats->message ? stats->message : "");
}
void criterion_continue_test() {
}
void criterion_abort_test() {
  std::exit(1);
}
void criterion_test_die(const char* message, ...) {
  va_list values;
  va_start(values, message);
  std::vfprintf(stderr, message, values);
  va_end(values);
  std::exit(1);
}

}  // extern "C"

int main(int count, char** words) {
  const std::string filter = count == 3 && !std::strcmp(words[1], "--filter") ? words[2] : "*";
  if (count != 1 && count != 3)
    return 2;
  int tested = 0, failed = 0;
  std::map<pid_t, std::string> running;
  if (&__start_cr_sts[0] != &__stop_cr_sts[0]) {
    std::fprintf(stderr, "options of a suite are not known here\n");
    return 1;
  }
  for (criterion_test** position = __start_cr_tst; position != __stop_cr_tst; ++position) {
    const criterion_test* test = *position;
    if (!test)
      continue;
    const std::string name = std::string(test->category) + "/" + test->name;
    if (::fnmatch(filter.c_str(), name.c_str(), 0) != 0)
      continue;
    ++tested;
    if (running.size() >= max_at_once)
      failed += !finish(running);
    const pid_t child = is_plain(*test) ? start(*test) : -1;
    if (child > 0)
      running[child] = name;
    else
      ++failed, std::fprintf(stderr, "failed, not started: %s\n", name.c_str());
  }
  while (!running.empty())
    failed += !finish(running);
  std::printf("Tested: %d | Passing: %d | Failing: %d\n", tested, tested - failed, failed);
  return tested > 0 && failed == 0 ? 0 : 1;
}
