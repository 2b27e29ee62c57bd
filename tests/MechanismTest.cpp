#include "relay/Mechanism.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;

TEST_GROUP(Mechanism) {};

TEST(Mechanism, NamesAreChecked)
{
    const struct {
        const char* names;
        bool known;
    } cases[]
        = { { "", true }, { "moves", true }, { "moves,reroutes", true }, { "move", false }, { "moves,,x", false } };
    for (const auto& each : cases)
        CHECK_EQUAL_TEXT(each.known, DisabledMechanisms::make(each.names).ok(), each.names);
    CHECK_TRUE(DisabledMechanisms::make("moves")->has(Mechanism::Moves));
    CHECK_FALSE(DisabledMechanisms::make("moves")->has(Mechanism::Reroutes));
    for (const std::string& name : mechanismNames())
        CHECK_TRUE_TEXT(DisabledMechanisms::make(name).ok(), name.c_str());
}

TEST(Mechanism, ChecksAndReroutesCanBeSwitchedOff)
{
    const struct {
        const char* without;
        bool checks;
        bool reroutes;
    } cases[] = { { "", true, true }, { "engine-checks", false, true }, { "reroutes", true, false } };
    for (const auto& each : cases) {
        RelayOptions options;
        options.without = *DisabledMechanisms::make(each.without);
        RelayHarness harness(options);
        const auto start = harness.running("/draft/1", 10);
        harness.tick(milliseconds(80));
        CHECK_EQUAL_TEXT(each.checks, harness.last<relay::effect::CheckEngine>().has_value(), each.without);
        harness.send(relay::event::EngineChecked { start.chain.hops().back().backend, false, 1 });
        CHECK_EQUAL_TEXT(each.reroutes, harness.last<relay::effect::RerouteAttempt>().has_value(), each.without);
    }
}
