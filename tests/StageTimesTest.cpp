#include "relay/StageTimes.h"
#include "tests/MixedFleet.h"
#include "tests/Tests.h"

#include <cmath>

using namespace crocusmount;
using namespace crocusmount::relay;

namespace {

/// @param kind  index of the accelerator
/// @return the times of an engine under a load, where events take 40 ms
StageTimes timesOf(const EngineModel& model, std::size_t kind, std::uint32_t layers, const StageLoad& load)
{
    StageTimes times(model, *model.times, model.kinds.at(kind), layers, load);
    times.setEventMs(40);
    return times;
}

} // namespace

TEST_GROUP(StageTimes) {};

TEST(StageTimes, AnIdleEngineTakesItsStepsInItsLayers)
{
    const EngineModel model = MixedFleet::model(); // 80 layers, 4 steps of 1.02 ms
    const struct {
        const char* name;
        std::size_t kind;
        std::uint32_t layers;
        double slowness;
        double passMs;
    } cases[] = {
        { "large accelerator", 0, 26, 1, 3.18 },
        { "medium accelerator", 1, 5, 1, 1.35 },
        { "small accelerator", 2, 8, 1, 6.53 },
        { "half as many layers", 0, 13, 1, 1.59 },
        { "slow engine", 0, 26, 2, 6.36 },
    };
    for (const auto& each : cases) {
        const StageTimes times = timesOf(model, each.kind, each.layers, { 0, 0, 0, each.slowness });
        DOUBLES_EQUAL_TEXT(each.passMs, times.passMs(), 0.01, each.name);
        DOUBLES_EQUAL_TEXT(each.passMs, times.waitMs(), 0.01, each.name);
        DOUBLES_EQUAL_TEXT(each.passMs / each.layers, times.layerMs(), 0.01, each.name);
        DOUBLES_EQUAL_TEXT(0, times.othersLayerMs(), 1e-9, each.name);
    }
}

TEST(StageTimes, EachStreamDelaysTheOthersMoreTheMoreThereAre)
{
    const EngineModel model = MixedFleet::model();
    double previousPassMs = 0;
    double previousOthersMs = -1;
    for (const double streams : { 0.0, 50.0, 100.0, 200.0, 300.0 }) {
        const StageTimes times = timesOf(model, 0, 26, { streams });
        CHECK_TRUE(times.passMs() > previousPassMs);
        CHECK_TRUE(times.othersLayerMs() > previousOthersMs);
        CHECK_TRUE(times.longestPassMs() > times.passMs());
        previousPassMs = times.passMs();
        previousOthersMs = times.othersLayerMs();
    }
}

// An engine that cannot keep up works on all of its streams in each pass. Its times stay finite, or the search for a
// chain would find none.
TEST(StageTimes, AnEngineThatFallsBehindHasLongButFiniteTimes)
{
    const EngineModel model = MixedFleet::model();
    const StageTimes times = timesOf(model, 2, 8, { 5000 });
    CHECK_TRUE(times.utilisation() > 1);
    CHECK_TRUE(std::isfinite(times.passMs()) && std::isfinite(times.readLayerMs(774)));
    CHECK_TRUE(times.passMs() > timesOf(model, 2, 8, { 500 }).passMs());
    CHECK_TRUE(times.readLayerMs(774) > timesOf(model, 2, 8, { 50 }).readLayerMs(774));
}

TEST(StageTimes, PromptsAreReadAtTheSpeedOfTheAccelerator)
{
    const EngineModel model = MixedFleet::model();
    // 774 tokens at 196,000 tokens/s and 0.166 ms per million pairs, in all layers, times 3.2 on the accelerator.
    DOUBLES_EQUAL(12.8, 80 * timesOf(model, 0, 26, {}).readLayerMs(774), 0.1);
    DOUBLES_EQUAL(12.8 / 3.2 * 7.9, 80 * timesOf(model, 1, 5, {}).readLayerMs(774), 0.1);
    // 10,000 unread tokens in 26 of 80 layers.
    DOUBLES_EQUAL(53.1, timesOf(model, 0, 26, { 0, 0, 10000 }).backlogMs(), 0.1);
}

TEST(StageTimes, MemoryRunsShortAsStreamsFillIt)
{
    const EngineModel model = MixedFleet::model();
    // (72,000 - 26 * 1,750) MB / (492,000 B * 26 / 80) = 165,729 tokens
    DOUBLES_EQUAL(165729 - 983, timesOf(model, 0, 26, {}).memoryLeftTokens(983), 1);
    double previous = 0;
    for (const double booked : { 100000.0, 160000.0, 180000.0, 200000.0, 260000.0 }) {
        const StageTimes times = timesOf(model, 0, 26, { booked / 983, booked });
        CHECK_TRUE(times.memoryShortage(983) >= previous);
        previous = times.memoryShortage(983);
    }
    CHECK_TRUE(previous > 0.99);
    CHECK_TRUE(timesOf(model, 0, 26, { 50, 49150 }).memoryShortage(983) < 0.001);
}

TEST(StageTimes, TheTimeOfAnEventFitsThePasses)
{
    const EngineModel model = MixedFleet::model();
    const auto settled = [&](double streams) {
        std::vector<StageTimes> stages;
        for (int i = 0; i < 4; ++i)
            stages.emplace_back(model, *model.times, model.kinds[0], 20, StageLoad { streams });
        const double eventMs = settleEventMs(stages, model.layers);
        double passMs = 0;
        for (const StageTimes& each : stages)
            passMs += 2 * each.passMs();
        DOUBLES_EQUAL(passMs, eventMs, 0.02 * eventMs);
        return eventMs;
    };
    DOUBLES_EQUAL(2 * 4 * 1.02 * 2.4, settled(0), 0.01);
    CHECK_TRUE(settled(100) > settled(10));
    std::vector<StageTimes> none;
    DOUBLES_EQUAL(0, settleEventMs(none, 80), 0);
}
