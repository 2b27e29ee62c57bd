#include "tests/RetryFleet.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <string>

using crocusmount::Duration;
using crocusmount::relay::RetryFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A deployment's size, and the limits that its platform sets.
struct Size {
    std::size_t instances;
    double callsPerSecond;
    double slack;
};
constexpr Size Sizes[] = { { 6, 100, 196 }, { 37, 400, 304 }, { 88, 700, 774 }, { 295, 1500, 1040 } };

RetryFleet makeFleet(const Size& size, std::uint64_t seed)
{
    RetryFleet::Options options;
    options.instances = size.instances;
    options.callsPerSecond = size.callsPerSecond;
    options.slack = size.slack;
    options.seed = seed;
    return RetryFleet(options);
}

void killAllWhileServersFail(RetryFleet& fleet, std::size_t instances)
{
    fleet.setFailureRate(0.95);
    fleet.run(milliseconds(1500));
    fleet.kill(instances, milliseconds(300));
    fleet.run(milliseconds(5500));
    fleet.kill(instances, milliseconds(300));
    fleet.run(seconds(20));
}

void killOneEachSecond(RetryFleet& fleet, std::size_t instances)
{
    fleet.setFailureRate(0.95);
    for (int second = 0; second < 20; ++second) {
        const std::size_t share = (instances + 5) / 6;
        for (std::size_t i = 0; i < share; ++i)
            fleet.killOne((static_cast<std::size_t>(second) * share + i) % instances, milliseconds(200));
        fleet.run(seconds(1));
    }
    fleet.run(seconds(10));
}

void killAllWhileTheStoreIsSilent(RetryFleet& fleet, std::size_t instances)
{
    fleet.silenceStoreFor(instances);
    fleet.run(seconds(2));
    fleet.kill(instances, milliseconds(300));
    fleet.run(seconds(25));
    fleet.setFailureRate(0.95);
    fleet.run(seconds(15));
    fleet.silenceStoreFor(0);
    fleet.run(seconds(25));
}

void silenceTheStoreForHalf(RetryFleet& fleet, std::size_t instances)
{
    fleet.silenceStoreFor(instances / 2);
    fleet.run(seconds(60));
    fleet.setFailureRate(0.95);
    fleet.run(seconds(15));
    fleet.silenceStoreFor(0);
    fleet.run(seconds(25));
}

void checkEverySize(const char* name, void (*trouble)(RetryFleet&, std::size_t), std::uint64_t seeds)
{
    for (const Size& size : Sizes) {
        for (std::uint64_t seed = 1; seed <= (size.instances > 50 ? 1 : seeds); ++seed) {
            RetryFleet fleet = makeFleet(size, seed);
            fleet.run(seconds(20));
            trouble(fleet, size.instances);
            const RetryFleet::Window window = fleet.tightestWindow();
            const std::string what = std::string(name) + ", " + std::to_string(size.instances) + " instances, seed "
                + std::to_string(seed) + ": " + std::to_string(window.repeats) + " repeats within 10 s, allowed "
                + std::to_string(window.allowed) + "; in all " + std::to_string(fleet.given()) + " given, "
                + std::to_string(fleet.denied()) + " denied";
            std::printf("%s\n", what.c_str());
            CHECK_TRUE_TEXT(static_cast<double>(window.repeats) <= window.allowed, what.c_str());
        }
    }
}

} // namespace

TEST_GROUP(SharedRetryBudget) {};

// What killed instances had spent was forgotten, and their successors spent it again within the same window.
TEST(SharedRetryBudget, HoldsWhenAllInstancesAreKilledWhileServersFail)
{
    checkEverySize("all killed twice", killAllWhileServersFail, 3);
}

TEST(SharedRetryBudget, HoldsWhenInstancesAreKilledInTurnWhileServersFail)
{
    checkEverySize("killed in turn", killOneEachSecond, 3);
}

// An instance that has no list of the others took the retries of all for its share.
TEST(SharedRetryBudget, HoldsWhenInstancesStartWhileTheStoreIsSilent)
{
    checkEverySize("started without a list", killAllWhileTheStoreIsSilent, 3);
}

// Instances that were dropped from the list kept their shares, while the others divided all retries among themselves.
TEST(SharedRetryBudget, HoldsWhenTheStoreIsSilentForHalfOfTheInstances)
{
    checkEverySize("dropped from the list", silenceTheStoreForHalf, 3);
}
