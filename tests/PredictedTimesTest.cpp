#include "tests/MixedFleet.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;

namespace {

/// Calls a second that the engines of MixedFleet carry: above, calls wait for memory.
constexpr double CarriedPerSecond = 400;
/// Limit of the share of arrivals that engines reject as full.
constexpr double MaxRejected = 0.01;
/// Bytes between data centres that count as none, per call: a hundredth of a usual prompt's 19 MB.
constexpr double NoBytes = 190000;

MixedFleet::Result play(std::size_t instances, double load, std::uint64_t seed, const char* without, int seconds)
{
    MixedFleet::Options options;
    options.instances = instances;
    options.callsPerSecond = load * CarriedPerSecond;
    options.seed = seed;
    options.without = *DisabledMechanisms::make(without);
    return MixedFleet(options).run(std::chrono::seconds(4), std::chrono::seconds(seconds));
}

/// A placer with an empty fleet, and one call.
struct Placing {
    Placing()
        : placer(options, fleet)
    {
        options.dataCentre = DataCentreId("a");
        call.id = RequestId(1);
        call.routes = RouteTable::make(MixedFleet::configuration());
        call.route = &call.routes->configuration().routes.front();
        call.service = ServiceId("model");
        call.spec.promptTokens = 774;
        call.tokens = 983;
        call.arrived = now;
    }

    void add(const char* id, const char* accelerator, LayerRange layers, const char* dataCentre = "a")
    {
        RegisteredServer server;
        server.id = BackendId(id);
        server.service = ServiceId("model");
        server.address = std::string(id) + ":1";
        server.dataCentre = DataCentreId(dataCentre);
        server.accelerator = accelerator;
        server.slots = 10;
        server.layers = layers;
        fleet.upsert(server, now);
    }

    /// Lets the other instances report calls that have an engine as first stage, and streams of usual size.
    void report(const std::map<std::string, std::pair<double, double>>& callsAndStreams)
    {
        EngineLoads loads;
        for (const auto& [id, load] : callsAndStreams) {
            const FleetServer& server = *fleet.find(BackendId(id));
            EngineLoad& reported = loads[server.othersLoad.engine];
            reported.engine = server.othersLoad.engine;
            reported.calls = load.first;
            reported.tokenLayers = load.second * 983 * server.entry.layers.size();
        }
        fleet.setOthersLoad(loads, now);
    }

    /// @return the engines of the chosen chain, such as "a b "; empty if there is none
    std::string chosen(std::uint64_t entropy = 1)
    {
        const auto placement = placer.place(call, now, entropy);
        std::string text;
        for (const Hop& hop : placement ? placement->chain.hops() : std::vector<Hop>())
            text += hop.backend.value() + " ";
        return text;
    }

    TimePoint now = timePoint(1000000);
    RelayOptions options;
    ServerFleet fleet;
    CallPlacer placer;
    Call call;
};

} // namespace

TEST_GROUP(PredictedTimes) {};

TEST(PredictedTimes, FullEnginesAreNotChosen)
{
    const struct {
        const char* name;
        std::map<std::string, std::pair<double, double>> load;
        const char* expected;
    } cases[] = {
        { "no load: the fewest passes", {}, "one two " },
        { "no slot left at a first stage", { { "one", { 10, 3 } } }, "other second " },
        { "a slot is not needed at later stages", { { "two", { 10, 3 } }, { "second", { 10, 3 } } }, "one two " },
        { "no memory left", { { "two", { 0, 400 } } }, "other second " },
        { "no slot left anywhere", { { "one", { 10, 3 } }, { "other", { 11, 3 } } }, "" },
        { "no memory left anywhere", { { "two", { 0, 400 } }, { "second", { 0, 400 } } }, "" },
    };
    for (const auto& each : cases) {
        Placing placing;
        placing.add("one", "large", { 0, 40 });
        placing.add("two", "large", { 40, 80 });
        placing.add("other", "large", { 0, 40 }, "b");
        placing.add("second", "large", { 40, 80 }, "b");
        placing.report(each.load);
        // A call that may not use the pipe waits while its own data centre is full.
        placing.call.id = RequestId(1);
        std::string chosen = placing.chosen();
        for (std::uint64_t id = 2; chosen.empty() && id < 200; ++id) {
            placing.call.id = RequestId(id);
            chosen = placing.chosen();
        }
        STRCMP_EQUAL_TEXT(each.expected, chosen.c_str(), each.name);
    }
}

TEST(PredictedTimes, ACallWithLittleTimeLeftTakesNoSlowerChain)
{
    Placing placing;
    for (const char* id : { "s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9" }) {
        const auto begin = static_cast<std::uint32_t>(8 * (id[1] - '0'));
        placing.add(id, "small", { begin, begin + 8 });
    }
    placing.add("x", "large", { 0, 40 });
    placing.add("y", "large", { 40, 80 });
    placing.report({ { "x", { 1, 3 } }, { "y", { 1, 3 } } });
    const auto placement = placing.placer.place(placing.call, placing.now, 1);
    CHECK_TRUE(placement && placement->predicted && placement->predicted->meetsRoute);
    CHECK_TRUE(placement->predicted->firstEventMs < 500 && placement->predicted->pauseMs < 250);
    CHECK_TRUE(placement->predicted->pauseMs >= placement->predicted->eventMs);
    // With little time left.
    placing.now += std::chrono::milliseconds(380);
    const auto late = placing.placer.place(placing.call, placing.now, 1);
    CHECK_TRUE(late && late->predicted);
    CHECK_TRUE(late->predicted->firstEventMs <= placement->predicted->firstEventMs);
}

TEST(PredictedTimes, InstancesThatChooseAtOnceSpreadOverEqualChains)
{
    Placing placing;
    for (const char* id : { "a0", "a1", "a2", "a3" })
        placing.add(id, "large", { 0, 40 });
    placing.add("z", "large", { 40, 80 });
    std::map<std::string, int> counts;
    for (std::uint64_t instance = 0; instance < 88; ++instance)
        ++counts[placing.chosen(instance * 0x9E3779B97F4A7C15ULL)];
    CHECK_EQUAL(4U, counts.size());
    for (const auto& [chain, count] : counts)
        CHECK_TRUE_TEXT(count < 44, chain.c_str());
}

TEST(PredictedTimes, WithoutFiguresOrWhenDisabledNothingIsPredicted)
{
    Placing placing;
    placing.add("one", "large", { 0, 80 });
    CHECK_TRUE(placing.placer.place(placing.call, placing.now, 1)->predicted.has_value());
    placing.options.without = *DisabledMechanisms::make("predicted-times");
    CHECK_FALSE(placing.placer.place(placing.call, placing.now, 1)->predicted.has_value());
    placing.options.without = {};
    ServiceConfiguration configuration = MixedFleet::configuration();
    configuration.services.front().engine->times.reset();
    placing.call.routes = RouteTable::make(configuration);
    placing.call.route = &placing.call.routes->configuration().routes.front();
    CHECK_FALSE(placing.placer.place(placing.call, placing.now, 1)->predicted.has_value());
}

// Arrivals that engines reject as full, on a fleet that is loaded to 0.8 of what it carries.
TEST(PredictedTimes, HardlyAnyArrivalIsRejectedAsFull)
{
    for (const std::size_t instances : { 9U, 37U }) {
        for (const std::uint64_t seed : { 1U, 2U, 3U }) {
            const MixedFleet::Result result = play(instances, 0.8, seed, "", 2);
            const std::string name = std::to_string(instances) + " instances, seed " + std::to_string(seed);
            CHECK_TRUE_TEXT(result.calls > 0 && result.rejectedShare() < MaxRejected, name.c_str());
        }
    }
}

TEST(PredictedTimes, HardlyAnyArrivalOfManyInstancesIsRejectedAsFull)
{
    for (const std::size_t instances : { 88U, 295U }) {
        const MixedFleet::Result result = play(instances, 0.8, 1, "", 3);
        CHECK_TRUE_TEXT(result.calls > 0 && result.rejectedShare() < MaxRejected, std::to_string(instances).c_str());
    }
}

TEST(PredictedTimes, HalfAsManyStreamsAreLateWithoutMoreBytesBetweenDataCentres)
{
    for (const std::size_t instances : { 9U, 37U, 88U }) {
        const MixedFleet::Result before = play(instances, 0.8, 1, "predicted-times", 2);
        const MixedFleet::Result after = play(instances, 0.8, 1, "", 2);
        const std::string name = std::to_string(instances) + " instances";
        CHECK_TRUE_TEXT(2 * after.lateShare() <= before.lateShare(), name.c_str());
        CHECK_TRUE_TEXT(after.bytesPerCall() <= std::max(NoBytes, before.bytesPerCall()), name.c_str());
    }
}

TEST(PredictedTimes, HalfAsManyStreamsAreLateAboveWhatTheEnginesCarry)
{
    for (const std::size_t instances : { 9U, 88U }) {
        const MixedFleet::Result before = play(instances, 1.1, 1, "predicted-times", 2);
        const MixedFleet::Result after = play(instances, 1.1, 1, "", 2);
        CHECK_TRUE_TEXT(2 * after.lateShare() <= before.lateShare(), std::to_string(instances).c_str());
    }
}

TEST(PredictedTimes, HalfAsManyStreamsOfManyInstancesAreLate)
{
    const MixedFleet::Result before = play(295, 0.8, 1, "predicted-times", 2);
    const MixedFleet::Result after = play(295, 0.8, 1, "", 2);
    CHECK_TRUE(2 * after.lateShare() <= before.lateShare());
    CHECK_TRUE(after.bytesPerCall() <= std::max(NoBytes, before.bytesPerCall()));
}
