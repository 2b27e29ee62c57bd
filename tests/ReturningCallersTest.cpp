#include "tests/ReturningFleet.h"
#include "tests/Tests.h"

#include <absl/strings/str_format.h>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::seconds;

TEST_GROUP(ReturningCallers)
{
    struct Load {
        std::size_t instances;
        double demand;
        int seconds;
        std::uint64_t seed;
    };

    static ReturningFleet::Options options(const Load& load, const char* without = "")
    {
        ReturningFleet::Options made;
        made.instances = load.instances;
        made.peakDemand = load.demand;
        made.peak = std::chrono::seconds(load.seconds);
        made.seed = load.seed;
        made.without = *DisabledMechanisms::make(without);
        return made;
    }

    /// Plays peaks of 3, 6 and 12 s at all sizes, and checks the share of the callers that are refused again.
    static void playSizes(double demand)
    {
        std::string beyond;
        for (const std::size_t instances : { 9, 37, 88, 295 }) {
            for (const int peak : { 3, 6, 12 }) {
                const Load load { instances, demand, peak, 3 };
                ReturningFleet fleet(options(load));
                fleet.play();
                if (fleet.keeping().refusedAgainShare() > 0.05)
                    beyond += "\n" + describe(fleet, load);
            }
        }
        CHECK_TRUE_TEXT(beyond.empty(), beyond.c_str());
    }

    static std::string describe(const ReturningFleet& fleet, const Load& load)
    {
        return absl::StrFormat(
            "%d instances, demand %.2f for %d s, seed %d: %d calls, %d completed, %d shortages "
            "(%d waited too long), %d told useless, %d returned when told, %d of them refused again, "
            "%d ignored the time, %d of them refused again, queue excess %.1f, peak use %.2f",
            load.instances, load.demand, load.seconds, load.seed, fleet.calls(), fleet.completed(), fleet.shortages(),
            fleet.waitedTooLong(), fleet.toldUseless(), fleet.keeping().told, fleet.keeping().refusedAgain,
            fleet.ignoring().told, fleet.ignoring().refusedAgain, fleet.worstQueueExcess(), fleet.peakUse());
    }
};

// Load pattern: demand above the room for seconds, and the return of those who were turned away. At most one in twenty
// of those that return when told may be refused again.
TEST(ReturningCallers, FewAreRefusedAgainAtOnePointTwoTimesTheRoom) { playSizes(1.2); }

TEST(ReturningCallers, FewAreRefusedAgainAtOneAndAHalfTimesTheRoom) { playSizes(1.55); }

TEST(ReturningCallers, FewAreRefusedAgainAtTwiceTheRoom) { playSizes(2); }

TEST(ReturningCallers, FewerAreRefusedAgainThanWithoutSlots)
{
    for (const std::uint64_t seed : { 3, 4, 5 }) {
        for (const std::size_t instances : { 9, 37, 88 }) {
            const Load load { instances, 1.55, 6, seed };
            ReturningFleet with(options(load));
            with.play();
            ReturningFleet without(options(load, "return-slots,wait-forecast,queue-bypass"));
            without.play();
            const std::string text = describe(with, load) + "; without: " + describe(without, load);
            CHECK_TRUE_TEXT(
                with.keeping().refusedAgainShare() <= 0.5 * without.keeping().refusedAgainShare(), text.c_str());
        }
    }
}

TEST(ReturningCallers, ThoseThatIgnoreTheTimeTakeNoPlaceOfOthers)
{
    for (const std::size_t instances : { 9, 37 }) {
        const Load load { instances, 1.55, 6, 4 };
        ReturningFleet::Options ignoring = options(load);
        ignoring.ignoringShare = 0.5;
        ReturningFleet fleet(ignoring);
        fleet.play();
        CHECK_TRUE_TEXT(fleet.keeping().refusedAgainShare() < 0.5 * fleet.ignoring().refusedAgainShare(),
            describe(fleet, load).c_str());
    }
}

TEST(ReturningCallers, TheQueueHoldsNoMoreThanCanBeServedInTime)
{
    for (const std::size_t instances : { 9, 88 }) {
        const Load load { instances, 2, 6, 5 };
        ReturningFleet fleet(options(load));
        fleet.play();
        // The first of a queue waits whatever the rate, and the rate that an instance sees varies around the mean.
        CHECK_TRUE_TEXT(fleet.worstQueueExcess() <= 2, describe(fleet, load).c_str());
    }
}
