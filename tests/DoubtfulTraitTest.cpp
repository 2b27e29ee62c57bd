#include "relay/RequestQuarantine.h"
#include "relay/TrialRuns.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;

namespace {

/// @param since  time since the start of a test
TimePoint at(Duration since) { return timePoint(1000000) + since; }

RequestTrait part(const char* id, const char* workspace) { return { WorkspaceId(workspace), PromptPartId(id) }; }

/// @return a report that arrives 300 ms after the end of a server under a request with a part that ran before
CrashReport report(const char* id, const char* workspace, std::uint64_t server)
{
    CrashSuspect suspect { { part(id, workspace), part(id, workspace).ofAllWorkspaces() }, CrashSign::JustBegun };
    suspect.ranLately = suspect.traits;
    return { suspect, server, milliseconds(300), milliseconds(310) };
}

} // namespace

TEST_GROUP(DoubtfulTrait) {};

// Guards against ends that seem to lie further apart because the report of a later one arrives again, and late.
TEST(DoubtfulTrait, ALateReportDoesNotMoveEndsApart)
{
    RequestQuarantine quarantine;
    const char* workspaces[] = { "w", "v", "u" };
    for (std::uint64_t server = 0; server < 3; ++server) {
        for (const Duration delay : { milliseconds(0), milliseconds(300) })
            quarantine.add(report("c", workspaces[server], server), false,
                at(milliseconds(200) * static_cast<int>(server) + delay));
    }
    quarantine.judge(at(milliseconds(2000)));
    CHECK_TRUE(quarantine.judge(at(milliseconds(2200))).empty());
    CHECK_EQUAL(1U, quarantine.doubtfulTraits().count(part("c", "w").ofAllWorkspaces()));
}

// Guards against a sound part that is blocked because the cause, which was on the same servers and on more, still lacks
// evidence of other workspaces.
TEST(DoubtfulTrait, WaitsForAStrongerSuspectOnTheSameServers)
{
    RequestQuarantine quarantine;
    const char* workspaces[] = { "u", "v", "x" };
    Duration now = milliseconds(0);
    for (std::uint64_t server = 0; server < 4; ++server) {
        now += milliseconds(700);
        quarantine.add(report("c", "w", server), false, at(now));
        if (server > 0)
            quarantine.add(report("b", workspaces[server - 1], server), false, at(now));
        quarantine.judge(at(now));
        CHECK_TRUE(quarantine.judge(at(now + milliseconds(200))).empty());
    }
    now += milliseconds(700);
    quarantine.add(report("c", "w", 4), false, at(now));
    quarantine.judge(at(now));
    quarantine.judge(at(now + milliseconds(200)));
    CHECK_TRUE(quarantine.isQuarantined(part("c", "w"), at(now)));
    CHECK_EQUAL(1U, quarantine.quarantinedCount(at(now)));
}

TEST(DoubtfulTrait, TrialsArePlannedAfterTheVerdictOnTheLastEndAndSpreadOverInstances)
{
    const struct {
        const char* name;
        std::uint64_t entropy;
        std::uint32_t instances;
        bool hasEnd; ///< a server ended just before
        Duration due;
    } cases[] = {
        { "at once", 0, 9, false, milliseconds(0) },
        { "one of nine instances", 2000000, 9, false, milliseconds(2000) },
        { "a single instance", 2000000, 1, false, milliseconds(200) },
        { "after the verdict", 0, 9, true, milliseconds(500) },
    };
    for (const auto& each : cases) {
        TrialRuns trials;
        CHECK_FALSE_TEXT(trials.isDue(at(milliseconds(10000))), each.name);
        if (each.hasEnd)
            trials.noteEnd(at(milliseconds(0)));
        trials.plan(at(milliseconds(0)), each.entropy, each.instances);
        trials.plan(at(milliseconds(0)), each.entropy + 1000, each.instances);
        CHECK_FALSE_TEXT(trials.isDue(at(each.due - milliseconds(1))), each.name);
        CHECK_TRUE_TEXT(trials.isDue(at(each.due)), each.name);
        trials.noteEnd(at(each.due));
        CHECK_FALSE_TEXT(trials.isDue(at(each.due + milliseconds(10000))), each.name);
    }
}
