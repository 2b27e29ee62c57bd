#include "planning/PlanTiming.h"
#include "tests/Tests.h"

#include <string>

using namespace crocusmount;
using std::chrono::milliseconds;

TEST_GROUP(PlanTiming) {};

namespace {

/// The number of engines that have registered by some time.
struct Arrival {
    int atMs; ///< milliseconds since the first engine registered
    int engineCount;
};

/// @return the number of engines for which the first plan is made
std::size_t enginesInFirstPlan(const std::vector<Arrival>& arrivals, bool anyHolds)
{
    PlanTiming timing;
    std::set<BackendId> engines;
    std::size_t next = 0;
    for (int ms = 0; ms < 20000; ms += 200) {
        for (; next < arrivals.size() && arrivals[next].atMs <= ms; ++next) {
            while (engines.size() < static_cast<std::size_t>(arrivals[next].engineCount))
                engines.insert(BackendId("e" + std::to_string(engines.size())));
        }
        if (!engines.empty() && timing.isDue(engines, anyHolds, timePoint(1000000) + milliseconds(ms)))
            return engines.size();
    }
    return 0;
}

} // namespace

// Guards against a first plan for only some of the engines of a starting service. 38 engines registered within 2.6 s,
// but after the thirteenth none did for half a second, and the first plan was made for 13 engines. Without any
// failures, one stream in five was then late instead of one in fifty.
TEST(PlanTiming, TheFirstPlanIncludesAllEnginesOfAStartingService)
{
    const std::vector<Arrival> recorded { { 0, 1 }, { 260, 8 }, { 510, 13 }, { 1020, 17 }, { 1280, 22 }, { 1540, 29 },
        { 1790, 31 }, { 2050, 33 }, { 2310, 35 }, { 2560, 38 } };
    CHECK_EQUAL(38U, enginesInFirstPlan(recorded, false));
    // If engines hold layers already, for example when another instance takes over planning, the delay is shorter so
    // that missing layers are replaced soon.
    CHECK_EQUAL(13U, enginesInFirstPlan(recorded, true));
}
