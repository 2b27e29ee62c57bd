#include "relay/Mechanism.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;

TEST_GROUP(Mechanism) {};

TEST(Mechanism, UnknownNamesAreRejected)
{
    const struct {
        const char* names;
        bool isKnown;
    } cases[]
        = { { "", true }, { "moves", true }, { "moves,reroutes", true }, { "move", false }, { "moves,,x", false } };
    for (const auto& each : cases)
        CHECK_EQUAL_TEXT(each.isKnown, DisabledMechanisms::make(each.names).ok(), each.names);
    CHECK_TRUE(DisabledMechanisms::make("moves")->has(Mechanism::Moves));
    CHECK_FALSE(DisabledMechanisms::make("moves")->has(Mechanism::Reroutes));
    for (const std::string& name : mechanismNames())
        CHECK_TRUE_TEXT(DisabledMechanisms::make(name).ok(), name.c_str());
}

TEST(Mechanism, ChecksAndReroutesCanBeDisabled)
{
    const struct {
        const char* disabled;
        bool hasChecks;
        bool hasReroutes;
    } cases[] = { { "", true, true }, { "engine-checks", false, true }, { "reroutes", true, false } };
    for (const auto& each : cases) {
        RelayOptions options;
        options.without = *DisabledMechanisms::make(each.disabled);
        RelayHarness harness(options);
        const auto start = harness.running("/draft/1", 10);
        harness.tick(milliseconds(80));
        CHECK_EQUAL_TEXT(each.hasChecks, harness.last<relay::effect::CheckEngine>().has_value(), each.disabled);
        harness.send(relay::event::EngineChecked { start.chain.hops().back().backend, false, 1 });
        CHECK_EQUAL_TEXT(each.hasReroutes, harness.last<relay::effect::RerouteAttempt>().has_value(), each.disabled);
    }
}
