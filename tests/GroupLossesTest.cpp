#include "tests/LossFleet.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"

#include <cstdio>
#include <utility>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Loss {
    std::size_t late = 0;
    std::size_t mostChecks = 0;
    std::size_t falseReports = 0;
    std::size_t moved = 0;
};

/// Three of 93 engines end dark under running streams. Two others paused before, one after the other, so that the
/// instances have spent checks lately.
Loss loseThree(const LossFleet::Options& options)
{
    LossFleet fleet(options);
    fleet.run(milliseconds(800));
    for (const std::size_t engine : { 5U, 6U }) {
        fleet.pause(engine, milliseconds(150));
        fleet.run(milliseconds(400));
    }
    fleet.run(milliseconds(200));
    fleet.countFromNow();
    for (const std::size_t engine : { 18U, 35U, 60U })
        fleet.lose(engine);
    fleet.run(milliseconds(1000));
    const Loss loss { fleet.lateStreams(), fleet.mostChecks(), fleet.falseReports(), fleet.movedStreams() };
    if (std::getenv("PRINT_LOSSES"))
        std::printf("\n%zu instances seed %zu: late %zu, moved %zu, refused %zu, checks %zu, most %zu, false %zu\n",
            options.instances, std::size_t(options.seed), loss.late, loss.moved, std::size_t(fleet.refusedReroutes()),
            fleet.checks(), loss.mostChecks, loss.falseReports);
    return loss;
}

DisabledMechanisms withoutGroupLosses() { return *DisabledMechanisms::make("group-losses"); }

} // namespace

TEST_GROUP(GroupLosses) {};

// Load pattern: three engines of a rack go dark at once under some hundred streams, of which callers accept a pause of
// 250 ms. At most half as many are late as without the search for engines that were lost together.
TEST(GroupLosses, StreamsOfThreeDarkEnginesAreSeldomLate)
{
    for (const std::size_t instances : { 9U, 37U, 88U, 295U }) {
        for (const std::uint64_t seed : { 7U, 8U, 9U }) {
            if (instances == 295U && seed != 7U)
                continue;
            LossFleet::Options options;
            options.instances = instances;
            options.seed = seed;
            const Loss with = loseThree(options);
            options.without = withoutGroupLosses();
            const Loss without = loseThree(options);
            const std::string name = std::to_string(instances) + " instances, seed " + std::to_string(seed);
            CHECK_TRUE_TEXT(without.late > 0, name.c_str());
            CHECK_TRUE_TEXT(2 * with.late <= without.late, name.c_str());
            CHECK_TRUE_TEXT(with.mostChecks <= EngineCheckBudget::MaxChecksPerWindow, name.c_str());
            CHECK_EQUAL_TEXT(0U, with.falseReports, name.c_str());
        }
    }
}

// The check of one instance finds a lost engine, and its report may be lost.
TEST(GroupLosses, LostReportsDelayOnlyTheirInstance)
{
    LossFleet::Options options;
    options.instances = 37;
    options.deafInstances = 9;
    const Loss with = loseThree(options);
    options.without = withoutGroupLosses();
    const Loss without = loseThree(options);
    CHECK_TRUE(2 * with.late <= without.late);
    CHECK_EQUAL(0U, with.falseReports);
}

namespace {

/// A stream through "a" and "b" that is ordered onto another chain because "b" is dead.
struct MovingStream {
    RelayHarness harness;
    relay::effect::StartAttempt start;
    Hop named; ///< new stage of the ordered chain

    explicit MovingStream(RelayOptions options = {})
        : harness(std::move(options))
        , start(harness.running("/draft/1", 10))
    {
        auto spare = RelayHarness::engine("s", 4, 8);
        harness.send(relay::event::ServerRegistered { spare });
        harness.tick(milliseconds(80));
        harness.send(relay::event::EngineChecked { start.chain.hops().back().backend, false, 1 });
        const auto order = harness.last<relay::effect::RerouteAttempt>();
        CHECK_TRUE(order.has_value());
        CHECK_TRUE(order->silence >= milliseconds(80));
        named = order->chain.hops().back();
    }

    void refuse(const std::string& culprit, unsigned status)
    {
        harness.send(relay::event::RerouteAnswered { start.attempt, false, culprit, status });
    }
};

} // namespace

// A first stage answers within 2 ms which stage of the new chain is not there. The same chain was ordered up to three
// times, each after another silence.
TEST(GroupLosses, AStageNamedInARefusalIsLeftAtOnce)
{
    const struct {
        const char* disabled;
        bool isOrderedAgain;
    } cases[] = { { "", true }, { "group-losses", false } };
    for (const auto& each : cases) {
        RelayOptions options;
        options.without = *DisabledMechanisms::make(each.disabled);
        MovingStream stream(options);
        stream.refuse(stream.named.address, 409);
        const auto next = stream.harness.last<relay::effect::RerouteAttempt>();
        CHECK_EQUAL_TEXT(each.isOrderedAgain, next.has_value(), each.disabled);
        if (!next)
            continue;
        CHECK_FALSE(next->chain.contains(stream.named.backend));
        CHECK_EQUAL(1U, stream.harness.reducer().counters().reroutesRefusedByNamedStage);
        CHECK_TRUE(stream.harness.last<relay::effect::CheckEngine>()->engine == stream.named.backend);
    }
}

TEST(GroupLosses, ANamedStageThatAnswersIsNotReportedDead)
{
    MovingStream stream;
    stream.refuse(stream.named.address, 409);
    stream.harness.send(relay::event::EngineChecked { stream.named.backend, true, 1 });
    CHECK_FALSE(stream.harness.last<relay::effect::ReportEngineState>().has_value());
    CHECK_FALSE(stream.harness.reducer().fleet().servers().at(stream.named.backend).isDead(stream.harness.now()));
}

TEST(GroupLosses, ADeadFirstStageIsNotAskedAgain)
{
    MovingStream stream;
    stream.refuse("", 0);
    CHECK_FALSE(stream.harness.last<relay::effect::RerouteAttempt>().has_value());
    CHECK_EQUAL(0U, stream.harness.reducer().counters().reroutesRefusedByNamedStage);
}
