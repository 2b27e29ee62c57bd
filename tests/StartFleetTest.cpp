#include "tests/StartFleet.h"
#include "tests/Tests.h"

#include <map>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(StartFleet) {};

namespace {

/// What became of one play.
struct Result {
    double soonInAim = 0; ///< share of the requests of the second and third second after the return
    double laterInAim = 0; ///< of the fourth to the seventh
    double worstLoad = 0;
    std::size_t leftWhileHeld = 0;
    std::string text;
};

/// @param settled  when the last instance or server was back, after the return of the store
Result play(const StartFleet::Options& options, Duration settled = Duration(0))
{
    StartFleet fleet(options);
    fleet.play();
    return { fleet.shareInAim(settled + seconds(1), settled + seconds(3)),
        fleet.shareInAim(settled + seconds(3), seconds(7)), fleet.worstLoad(), fleet.leftWhileHeld(),
        fleet.describe() };
}

void checkServed(const Result& result)
{
    CHECK_TRUE_TEXT(result.soonInAim >= 0.5, result.text.c_str());
    CHECK_TRUE_TEXT(result.laterInAim >= 0.9, result.text.c_str());
    LONGS_EQUAL_TEXT(0, result.leftWhileHeld, result.text.c_str());
}

void checkLoad(const Result& result) { CHECK_TRUE_TEXT(result.worstLoad <= 1.1, result.text.c_str()); }

/// Plays silences of 1, 4 and 12 s with each seed, once for all tests.
/// @param isPeak  whether demand is 1.4 times the usual one, and a fifth of the callers repeat at once
const std::vector<Result>& starts(std::size_t instances, bool isPeak)
{
    static std::map<std::pair<std::size_t, bool>, std::vector<Result>> played;
    std::vector<Result>& results = played[{ instances, isPeak }];
    if (!results.empty())
        return results;
    const std::uint64_t seeds = instances < 295 ? 3 : 1;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const Duration silence : { seconds(1), seconds(4), seconds(12) })
            results.push_back(play({ .instances = instances,
                .silence = silence,
                .peak = isPeak ? 1.4 : 1.0,
                .repeaterShare = isPeak ? 0.2 : 0.0,
                .seed = seed }));
    }
    return results;
}

void checkAllServed(std::size_t instances, bool isPeak)
{
    for (const Result& result : starts(instances, isPeak))
        checkServed(result);
}

void checkAllLoads(std::size_t instances, bool isPeak)
{
    for (const Result& result : starts(instances, isPeak))
        checkLoad(result);
}

} // namespace

// All instances started again while the store was silent. What waited, and what came back, went to few servers at once.
TEST(StartFleet, CallersAreServedSoonByNine) { checkAllServed(9, false); }
TEST(StartFleet, CallersAreServedSoonByThirtySeven) { checkAllServed(37, false); }
TEST(StartFleet, CallersAreServedSoonByEightyEight) { checkAllServed(88, false); }
TEST(StartFleet, CallersAreServedSoonByTwoHundredNinetyFive) { checkAllServed(295, false); }
TEST(StartFleet, CallersAreServedSoonAtAPeakByNine) { checkAllServed(9, true); }
TEST(StartFleet, CallersAreServedSoonAtAPeakByThirtySeven) { checkAllServed(37, true); }
TEST(StartFleet, CallersAreServedSoonAtAPeakByEightyEight) { checkAllServed(88, true); }
TEST(StartFleet, CallersAreServedSoonAtAPeakByTwoHundredNinetyFive) { checkAllServed(295, true); }

TEST(StartFleet, NoEngineIsSentMoreThanItCarriesByNine) { checkAllLoads(9, false); }
TEST(StartFleet, NoEngineIsSentMoreThanItCarriesByThirtySeven) { checkAllLoads(37, false); }
TEST(StartFleet, NoEngineIsSentMoreThanItCarriesByEightyEight) { checkAllLoads(88, false); }
TEST(StartFleet, NoEngineIsSentMoreThanItCarriesByTwoHundredNinetyFive) { checkAllLoads(295, false); }
TEST(StartFleet, NoEngineIsSentMoreThanItCarriesAtAPeakByNine) { checkAllLoads(9, true); }
TEST(StartFleet, NoEngineIsSentMoreThanItCarriesAtAPeakByThirtySeven) { checkAllLoads(37, true); }
TEST(StartFleet, NoEngineIsSentMoreThanItCarriesAtAPeakByEightyEight) { checkAllLoads(88, true); }
TEST(StartFleet, NoEngineIsSentMoreThanItCarriesAtAPeakByTwoHundredNinetyFive) { checkAllLoads(295, true); }

// One failure a test.
TEST(StartFleet, TheStoreIsBackForAPartOfTheInstancesFirst)
{
    const Result result = play({ .instances = 37, .lateShare = 0.33 }, milliseconds(2150));
    checkServed(result);
    checkLoad(result);
}

TEST(StartFleet, TheStoreIsBackForAMomentAndGoneAgain)
{
    const Result result = play({ .instances = 37, .isGoneAgain = true });
    checkServed(result);
    checkLoad(result);
}

TEST(StartFleet, EnginesAreListedTwoSecondsAfterTheConfiguration)
{
    const Result result = play({ .instances = 37, .listDelay = milliseconds(2000) }, milliseconds(2150));
    checkServed(result);
    checkLoad(result);
}

TEST(StartFleet, AnInstanceNeverHearsLoads)
{
    const Result result = play({ .instances = 37, .deafInstances = 1 });
    checkServed(result);
    checkLoad(result);
}
