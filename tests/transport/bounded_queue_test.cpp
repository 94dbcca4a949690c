#include <criterion/criterion.h>

#include "transport/bounded_queue.h"

using namespace saddlewing;

Test(rings, a_full_one_refuses) {
  BoundedQueue<int> ring(2, {});
  cr_expect(ring.push(1) && ring.push(2) && !ring.push(3));
  cr_expect(ring.take() == std::vector<int>({1, 2}));
}

Test(rings, of_the_newest_alone_a_late_reader_finds_the_newest) {
  int woken = 0;
  BoundedQueue<int> ring(2, [&] { ++woken; });
  for (int item = 1; item <= 5; ++item)
    ring.replace(item);
  cr_expect(ring.take() == std::vector<int>({5}));
  cr_expect_eq(woken, 1);
  ring.replace(6);
  cr_expect_eq(woken, 2);
}
