#include "testing/group_model.h"

#include <gtest/gtest.h>

namespace lovagehold::testing {
namespace {

// Guards against learners that are not promoted while changes are made all the time, because each
// change is committed before the slower links carry it.
TEST(LearnerPromotion, SteadyChangesDoNotDelayIt)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    GroupModel model({ .group = { .control_hosts = 5,
                                  .entry_hosts = 2,
                                  .seeds = 3,
                                  .failure_domains = 3,
                                  .max_delay = milliseconds(150),
                                  .sync_time = milliseconds(10),
                                  .seed = seed },
                       .tolerance = 2,
                       .change_interval = milliseconds(20) });
    model.form();
    model.apply({ .kind = FaultKind::LostDisk, .count = 2, .choice = seed });
    model.finish();
    EXPECT_EQ(model.violation(), "") << "seed=" << seed;
  }
}

} // namespace
} // namespace lovagehold::testing
