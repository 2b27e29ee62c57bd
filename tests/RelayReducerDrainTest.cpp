#include "tests/RelayHarness.h"
#include "tests/Tests.h"

#include <absl/strings/str_cat.h>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const char* const AllPaths[] = { "/look/1", "/book/1", "/draft/1", "/once/1" };

/// Completes calls of a route that take a time each.
void completeCalls(RelayHarness& harness, const char* path, Duration time)
{
    for (int i = 0; i < 20; ++i) {
        const auto start = harness.running(path);
        harness.tick(time);
        harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::Completed });
    }
}

} // namespace

TEST_GROUP(RelayReducerDrain) {};

// Guards against calls that had no answer when the process ended.
TEST(RelayReducerDrain, CallsThatRunAtTheEndAreToldThatTheyMayHaveRun)
{
    for (const char* path : AllPaths) {
        for (const std::uint64_t events : { 0, 2 }) {
            const bool isStream = std::string(path) == "/draft/1" || std::string(path) == "/once/1";
            if (events && !isStream)
                continue;
            RelayHarness harness;
            const auto start = harness.running(path, events);
            harness.send(relay::event::DrainRequested { seconds(7) });
            harness.tick(milliseconds(100));
            harness.send(relay::event::CallsMustEnd {});
            const std::string text = absl::StrCat(path, ", ", events, " events");
            const auto refusal = harness.last<relay::effect::Refuse>();
            const auto broken = harness.last<relay::effect::BreakAnswer>();
            CHECK_EQUAL_TEXT(events == 0, refusal.has_value(), text.c_str());
            CHECK_EQUAL_TEXT(events != 0, broken.has_value(), text.c_str());
            if (refusal)
                CHECK_TRUE_TEXT(refusal->run == RunState::MayHaveRun, text.c_str());
            CHECK_TRUE_TEXT(harness.last<relay::effect::CancelAttempt>()->attempt == start.attempt, text.c_str());
            CHECK_EQUAL_TEXT(0U, harness.reducer().openCalls(), text.c_str());
        }
    }
}

TEST(RelayReducerDrain, CallsThatWereSentNowhereAreToldThatTheyDidNotRun)
{
    for (const char* path : { "/look/1", "/book/1" }) {
        RelayHarness harness;
        harness.tick(seconds(3));
        for (const char* id : { "x", "y" })
            harness.send(relay::event::ServerUnregistered { BackendId(id) });
        harness.call(path);
        CHECK_FALSE_TEXT(harness.last<relay::effect::Refuse>().has_value(), path);
        harness.send(relay::event::DrainRequested { seconds(7) });
        harness.send(relay::event::CallsMustEnd {});
        const auto refusal = harness.last<relay::effect::Refuse>();
        CHECK_TRUE_TEXT(refusal && refusal->reason == Reason::Draining && refusal->run == RunState::NotRun, path);
        CHECK_TRUE_TEXT(refusal->retryAfter > Duration(0), path);
    }
    // A call that arrived before the first configuration.
    RelayReducer reducer { RelayOptions() };
    RelayEffects effects;
    reducer.reduce({ timePoint(1), 1, relay::event::CallArrived { RequestId(1), CallSpec() } }, effects);
    effects.clear();
    reducer.reduce({ timePoint(2), 1, relay::event::CallsMustEnd {} }, effects);
    const auto* refusal = effects.empty() ? nullptr : std::get_if<relay::effect::Refuse>(&effects.front());
    CHECK_TRUE(refusal && refusal->run == RunState::NotRun);
}

// A call that would be cut is refused at once, so that another instance can serve it.
TEST(RelayReducerDrain, CallsThatTakeLongerThanIsLeftAreRefusedAtOnce)
{
    const struct {
        const char* path;
        Duration time;
        bool isAccepted;
    } cases[] = {
        { "/look/1", milliseconds(50), true },
        { "/book/1", milliseconds(50), true },
        { "/book/1", seconds(5), true },
        { "/look/1", seconds(8), false },
        { "/book/1", seconds(8), false },
        { "/once/1", seconds(8), false },
    };
    for (const auto& each : cases) {
        RelayHarness harness;
        completeCalls(harness, each.path, each.time);
        harness.send(relay::event::DrainRequested { seconds(7) });
        harness.tick(milliseconds(500));
        harness.call(each.path);
        const auto refusal = harness.last<relay::effect::Refuse>();
        const std::string text = absl::StrCat(each.path, ", ", each.time.count(), " us");
        CHECK_EQUAL_TEXT(each.isAccepted, !refusal.has_value(), text.c_str());
        if (refusal)
            CHECK_TRUE_TEXT(refusal->reason == Reason::Draining && refusal->run == RunState::NotRun, text.c_str());
    }
}
