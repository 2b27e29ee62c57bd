#include "admission/RetryBudget.h"
#include "relay/ServerStartTracker.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;

TEST_GROUP(ServerStart) {};

namespace {

RegisteredServer entry(const char* id, std::int64_t startedMs, const char* address = "10.0.0.1:80")
{
    RegisteredServer made = RelayHarness::engine(id, 0, 4);
    made.startedAt = StartTime(startedMs);
    made.address = address;
    return made;
}

const char* textOf(ServerStartStatus status)
{
    switch (status) {
    case ServerStartStatus::Known:
        return "known ";
    case ServerStartStatus::New:
        return "new ";
    default:
        return "ended ";
    }
}

} // namespace

// Eight engines crashed during a network partition and restarted at their addresses under new ids. After the partition,
// the registry entries of the old processes reached the store after the new ones: an ended id was listed again with its
// layers at 8.37 s, its successor at 8.12 s. Calls were sent to the ended engines for 4 s.
TEST(ServerStart, AnEndedStartIsNeverUsedAgain)
{
    const struct {
        const char* name;
        std::vector<RegisteredServer> entries;
        const char* statuses;
    } cases[] = {
        { "an entry changes", { entry("a", 0), entry("a", 0) }, "new known " },
        { "a new id at the address", { entry("a", 0), entry("b", 0), entry("a", 0) }, "new new ended " },
        { "the old entry arrives first", { entry("a", 0), entry("a", 0), entry("b", 0) }, "new known new " },
        { "another address", { entry("a", 0), entry("b", 0, "10.0.0.2:80"), entry("a", 0) }, "new new known " },
        { "a later start under the id", { entry("a", 5), entry("a", 9), entry("a", 5) }, "new new ended " },
        { "an unchanged start time", { entry("a", 5), entry("a", 5) }, "new known " },
        { "an entry without the start time", { entry("a", 5), entry("a", 0), entry("a", 5) }, "new ended known " },
        { "a start time for the first time", { entry("a", 0), entry("a", 5) }, "new new " },
        { "an earlier start at the address", { entry("b", 9), entry("a", 5) }, "new ended " },
        { "a later start at the address", { entry("a", 5), entry("b", 9), entry("a", 5) }, "new new ended " },
        { "the old id starts again", { entry("a", 5), entry("b", 7), entry("a", 9) }, "new new new " },
        { "the id moved, and another id took its address",
            { entry("a", 0), entry("a", 0, "10.0.0.2:80"), entry("b", 0), entry("a", 0, "10.0.0.2:80") },
            "new known new known " },
    };
    for (const auto& each : cases) {
        ServerStartTracker tracker;
        std::string statuses;
        for (const RegisteredServer& server : each.entries)
            statuses += textOf(tracker.observe(server, timePoint(1)));
        CHECK_EQUAL_TEXT(std::string(each.statuses), statuses, each.name);
    }
}

TEST(ServerStart, AListedServerIsUsedAgainAfterItsSupposedSuccessorIsRemoved)
{
    ServerFleet fleet;
    fleet.upsert(entry("a", 0), timePoint(1));
    fleet.upsert(entry("b", 0), timePoint(2));
    CHECK_TRUE(fleet.find(BackendId("a")) == nullptr);
    CHECK_TRUE(fleet.remove(BackendId("b"), timePoint(3)));
    CHECK_TRUE(fleet.find(BackendId("a")) != nullptr);
    CHECK_FALSE(fleet.remove(BackendId("a"), timePoint(4)));
    // If both entries have a start time, the earlier start has certainly ended.
    fleet.upsert(entry("c", 5), timePoint(5));
    fleet.upsert(entry("d", 9), timePoint(6));
    CHECK_FALSE(fleet.remove(BackendId("d"), timePoint(7)));
    CHECK_TRUE(fleet.find(BackendId("c")) == nullptr);
}

TEST(ServerStart, ANewStartHasNoStateOfTheEarlierStart)
{
    RelayHarness harness;
    const auto start = harness.running("/draft/1", 1);
    const BackendId id = start.chain.hops().back().backend;
    harness.send(relay::event::EngineChecked { id, false, 1 });
    CHECK_TRUE(harness.reducer().fleet().servers().at(id).isDead(harness.now()));
    RegisteredServer restarted = RelayHarness::engine(id.value(), 0, 0);
    restarted.startedAt = StartTime(9);
    harness.send(relay::event::ServerRegistered { restarted });
    const FleetServer& server = harness.reducer().fleet().servers().at(id);
    CHECK_FALSE(server.isDead(harness.now()));
    CHECK_EQUAL(0, server.ownTokenLayers);
    CHECK_EQUAL(0U, server.unansweredChecks);
    // Reports of other instances about the earlier start do not apply to the new one.
    harness.send(relay::event::EnginesReportedDead { { engineKey(id) } });
    CHECK_FALSE(harness.last<relay::effect::CheckEngine>().has_value());
}

namespace {

/// The events by which the relay notices that an engine has restarted.
struct Sign {
    const char* name;
    std::vector<RelayEventBody> events;
};

std::vector<Sign> signsOfRestart(const BackendId& id)
{
    RegisteredServer later = RelayHarness::engine(id.value(), 0, 0);
    later.startedAt = StartTime(9);
    RegisteredServer successor = RelayHarness::engine("z", 0, 0);
    successor.address = later.address;
    return {
        { "registry entry of the new start", { relay::event::ServerRegistered { later } } },
        { "registry entry of another id at the address", { relay::event::ServerRegistered { successor } } },
        { "answer of the new start to a health check",
            { relay::event::EngineChecked { id, true, 1, false, {}, StartTime(9), {} } } },
        { "answer of the new start to an order", { relay::event::EngineStartSeen { id, StartTime(9) } } },
    };
}

} // namespace

TEST(ServerStart, StreamsLeaveARestartedEngineAtTheFirstSign)
{
    for (const bool isFirst : { false, true }) {
        for (std::size_t sign = 0; sign < 4; ++sign) {
            RelayHarness harness;
            const auto start = harness.running("/draft/1", 10);
            const Hop lost = isFirst ? start.chain.hops().front() : start.chain.hops().back();
            const Sign each = signsOfRestart(lost.backend).at(sign);
            for (const RelayEventBody& event : each.events)
                harness.send(event);
            if (isFirst) {
                const auto next = harness.last<relay::effect::StartAttempt>();
                CHECK_TRUE_TEXT(next && next->resumeAfter == 10U, each.name);
                CHECK_FALSE_TEXT(next->chain.contains(lost.backend), each.name);
                CHECK_TRUE_TEXT(harness.last<relay::effect::CancelAttempt>()->attempt == start.attempt, each.name);
            } else {
                const auto order = harness.last<relay::effect::RerouteAttempt>();
                CHECK_TRUE_TEXT(order && !order->chain.contains(lost.backend), each.name);
                // If the first stage refuses the order, the attempt cannot continue, so another one starts.
                harness.send(relay::event::RerouteAnswered { start.attempt, false });
                const auto next = harness.last<relay::effect::StartAttempt>();
                CHECK_TRUE_TEXT(next && next->resumeAfter == 10U, each.name);
            }
        }
    }
}

// An attempt was cancelled at a first stage that was alive, because a later stage had ended. The call was then sent to
// two more servers although its route allows two in total.
TEST(ServerStart, AnAttemptCountsTowardsTheLimitUnlessItsServerHasEnded)
{
    const struct {
        const char* name;
        bool firstStageEnds;
        int furtherAttempts;
    } cases[] = { { "a later stage ended", false, 1 }, { "the first stage ended", true, 2 } };
    for (const auto& each : cases) {
        RelayHarness harness;
        const auto start = harness.running("/draft/1", 10);
        const Hop lost = each.firstStageEnds ? start.chain.hops().front() : start.chain.hops().back();
        RegisteredServer successor = RelayHarness::engine("z", 0, 0);
        successor.address = lost.address;
        harness.send(relay::event::ServerRegistered { successor });
        if (!each.firstStageEnds)
            harness.send(relay::event::RerouteAnswered { start.attempt, false });
        int further = 0;
        for (auto next = harness.last<relay::effect::StartAttempt>(); next && further < 5; ++further) {
            harness.send(relay::event::AttemptSent { next->attempt });
            harness.send(relay::event::AttemptEnded { next->attempt, AttemptResult::Broken, 200, "" });
            next = harness.last<relay::effect::StartAttempt>();
            if (!next) {
                harness.tick(milliseconds(600)); // Servers that failed are avoided for 500 ms.
                next = harness.last<relay::effect::StartAttempt>();
            }
        }
        CHECK_EQUAL_TEXT(each.furtherAttempts, further, each.name);
    }
}

// Engines left one after the other while no other engine had free capacity. The relay cancelled the streams through
// them, although their servers would have continued to run them for a while.
TEST(ServerStart, AStreamThatLosesAStageIsNotCancelledWhileNoOtherChainExists)
{
    RelayHarness harness;
    const auto start = harness.running("/draft/1", 10);
    const Hop lost = start.chain.hops().back();
    for (const char* id : { "b", "d" }) {
        if (BackendId(id) != lost.backend)
            harness.send(relay::event::ServerUnregistered { BackendId(id) });
    }
    RegisteredServer successor = RelayHarness::engine("z", 0, 0);
    successor.address = lost.address;
    harness.send(relay::event::ServerRegistered { successor });
    CHECK_FALSE(harness.last<relay::effect::BreakAnswer>().has_value());
    CHECK_FALSE(harness.last<relay::effect::CancelAttempt>().has_value());
    harness.tick(milliseconds(200));
    harness.send(relay::event::ServerRegistered { RelayHarness::engine("e", 4, 8) });
    harness.tick(milliseconds(200));
    const auto order = harness.last<relay::effect::RerouteAttempt>();
    CHECK_TRUE(order && order->chain.contains(BackendId("e")));
}

// While a stream is being rerouted to a new stage, the engine of this new stage restarts, too.
TEST(ServerStart, AStreamReroutedToAnEndedStageIsReroutedAgain)
{
    RelayHarness harness;
    const auto start = harness.running("/draft/1", 10);
    const Hop lost = start.chain.hops().back();
    harness.send(relay::event::EngineChecked { lost.backend, false, 1, true });
    // The other engines are checked, since they may have died together. Streams move only to engines that answered.
    CHECK_TRUE(harness.last<relay::effect::CheckEngine>().has_value());
    CHECK_FALSE(harness.last<relay::effect::RerouteAttempt>().has_value());
    for (const char* id : { "a", "b", "c", "d" }) {
        if (BackendId(id) != lost.backend)
            harness.send(relay::event::EngineChecked { BackendId(id), true, 1 });
    }
    harness.tick(milliseconds(20));
    const auto order = harness.last<relay::effect::RerouteAttempt>();
    CHECK_TRUE(order.has_value());
    const Hop target = order->chain.hops().back();
    RegisteredServer successor = RelayHarness::engine("z", 0, 0);
    successor.address = target.address;
    harness.send(relay::event::ServerRegistered { successor });
    harness.send(relay::event::RerouteAnswered { start.attempt, true });
    harness.send(relay::event::ServerRegistered { RelayHarness::engine("e", 4, 8) });
    harness.tick(milliseconds(20));
    const auto next = harness.last<relay::effect::RerouteAttempt>();
    CHECK_TRUE(next && next->chain.contains(BackendId("e")));
}

namespace {

/// Lets the last stage of a running stream end, and lets the first stage refuse the order to replace it.
void loseLastStage(RelayHarness& harness, const relay::effect::StartAttempt& start)
{
    RegisteredServer successor = RelayHarness::engine("z", 0, 0);
    successor.address = start.chain.hops().back().address;
    harness.send(relay::event::ServerRegistered { successor });
    CHECK_TRUE(harness.last<relay::effect::RerouteAttempt>().has_value());
    harness.send(relay::event::RerouteAnswered { start.attempt, false });
}

} // namespace

// A stream that may run only once had delivered 30 events when a later stage ended, and was then sent to another
// server. To decide whether the call may have run, the relay considered only attempts that had ended. The attempt that
// had delivered these events had not ended yet.
//
//     "attempt" "route":"once" "remaining_ms":6000 "resume_after":0
//     "attempt" "route":"once" "remaining_ms":2897 "resume_after":30
TEST(ServerStart, AStreamThatMayRunOnlyOnceIsNotSentAgainAfterItLosesAStage)
{
    const struct {
        const char* path;
        bool isSentAgain;
    } cases[] = { { "/draft/1", true }, { "/once/1", false } };
    for (const auto& each : cases) {
        RelayHarness harness;
        const auto start = harness.running(each.path, 10);
        loseLastStage(harness, start);
        CHECK_EQUAL_TEXT(each.isSentAgain, harness.last<relay::effect::StartAttempt>().has_value(), each.path);
        harness.tick(milliseconds(300));
        CHECK_EQUAL_TEXT(false, harness.last<relay::effect::StartAttempt>().has_value(), each.path);
    }
}

// Four answers ended incomplete during a change of the configuration. Each attempt was cancelled, although its first
// stage was alive, in favour of a new attempt that was then rejected, so no attempt was left.
TEST(ServerStart, AnAttemptIsNotCancelledForANewAttemptThatIsThenRejected)
{
    RelayHarness harness;
    const auto start = harness.running("/draft/1", 10);
    loseLastStage(harness, start);
    const auto next = harness.last<relay::effect::StartAttempt>();
    CHECK_TRUE(next && next->resumeAfter == 10U);
    CHECK_FALSE(harness.last<relay::effect::CancelAttempt>().has_value());
    harness.send(relay::event::AttemptEnded { next->attempt, AttemptResult::NotRun, 503, "" });
    CHECK_FALSE(harness.last<relay::effect::BreakAnswer>().has_value());
    harness.events(start.attempt, 11, 12);
    harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::Completed, 200, "" });
    CHECK_EQUAL(1U, harness.reducer().counters().completed);
}

// An attempt continued while a second attempt was started. When another health check of its lost stage failed, the
// first attempt was cancelled in favour of the second one, which the next server then rejected, so no attempt was left:
//
//     22.634 s a server runs the call
//     29.728 s this attempt is cancelled
//     29.732 s the next server rejects the call
//     29.743 s the answer ends incomplete
TEST(ServerStart, AnAttemptIsNotCancelledForASecondOneWhenItsLostStageMissesAnotherCheck)
{
    RelayHarness harness;
    const auto start = harness.running("/draft/1", 10);
    const Hop lost = start.chain.hops().back();
    harness.send(relay::event::EngineChecked { lost.backend, false, 1, true });
    for (const char* id : { "a", "b", "c", "d" }) {
        if (BackendId(id) != lost.backend)
            harness.send(relay::event::EngineChecked { BackendId(id), true, 1 });
    }
    std::optional<relay::effect::StartAttempt> next;
    for (int i = 0; i < 20 && !next; ++i) {
        harness.tick(milliseconds(50));
        next = harness.last<relay::effect::StartAttempt>();
        if (harness.last<relay::effect::RerouteAttempt>()) {
            harness.send(relay::event::RerouteAnswered { start.attempt, false });
            next = harness.last<relay::effect::StartAttempt>();
        }
    }
    CHECK_TRUE(next.has_value());
    harness.send(relay::event::EngineChecked { lost.backend, false, 1, true });
    CHECK_FALSE(harness.last<relay::effect::CancelAttempt>().has_value());
    harness.send(relay::event::AttemptEnded { next->attempt, AttemptResult::NotRun, 503, "" });
    CHECK_FALSE(harness.last<relay::effect::BreakAnswer>().has_value());
    harness.events(start.attempt, 11, 12);
    CHECK_EQUAL(0U, harness.reducer().counters().refused.at(static_cast<std::size_t>(Reason::RefusedByBackend)));
}

TEST(ServerStart, AnInterruptedCallThatMayNotRunTwiceIsRefusedAsMayHaveRun)
{
    RelayHarness harness;
    const auto start = harness.running("/book/1");
    RegisteredServer successor = RelayHarness::plain("z");
    successor.address = start.address;
    harness.send(relay::event::ServerRegistered { successor });
    const auto refusal = harness.last<relay::effect::Refuse>();
    CHECK_TRUE(refusal && refusal->run == RunState::MayHaveRun);
}

TEST(ServerStart, EntriesAndAnswersOfAnEarlierStartAreIgnored)
{
    RelayHarness harness;
    const auto start = harness.running("/draft/1", 10);
    const BackendId id = start.chain.hops().back().backend;
    RegisteredServer entry = RelayHarness::engine(id.value(), 4, 8);
    entry.startedAt = StartTime(9);
    harness.send(relay::event::ServerRegistered { entry });
    RegisteredServer lateEntry = RelayHarness::engine(id.value(), 0, 8);
    lateEntry.startedAt = StartTime(5);
    const struct {
        const char* name;
        RelayEventBody event;
    } cases[] = {
        { "registry entry", relay::event::ServerRegistered { lateEntry } },
        { "answer to a health check",
            relay::event::EngineChecked { id, true, 12, false, StartTime(9), StartTime(5), {} } },
        { "unanswered health check of the earlier start",
            relay::event::EngineChecked { id, false, 1, true, StartTime(5), {}, {} } },
        { "answer to an order", relay::event::EngineStartSeen { id, StartTime(5) } },
    };
    for (const auto& each : cases) {
        harness.send(each.event);
        const FleetServer& server = harness.reducer().fleet().servers().at(id);
        CHECK_TRUE_TEXT(server.entry == entry, each.name);
        CHECK_FALSE_TEXT(server.isDead(harness.now()), each.name);
        CHECK_EQUAL_TEXT(1, server.slowness, each.name);
        CHECK_FALSE_TEXT(server.beingChecked, each.name);
    }
}

// All instances lost power and restarted within a second, and each began with its whole share of the retries that the
// platform allows in addition to the ratio. With 19 restarts in a day, 555 retries were made within 10 s where 509 were
// allowed.
TEST(ServerStart, RestartingInstancesUseNoMoreRetriesThanRunningOnes)
{
    const struct {
        const char* name;
        int startsInWindow;
        int maxRetries;
    } cases[] = { { "no restart", 0, 13 }, { "one start", 1, 13 }, { "five starts", 5, 13 } };
    for (const auto& each : cases) {
        constexpr double Share = 12;
        constexpr int Steps = 100;
        int retries = 0;
        // The process that runs at the beginning of the window has its whole share.
        RetryBudget budget(0, Share);
        for (int step = 0; step < Steps; ++step) {
            const bool restarts = each.startsInWindow && step && step % (Steps / (each.startsInWindow + 1)) == 0;
            if (restarts)
                budget = RetryBudget(0, Share, false);
            budget.setShare(Share, !each.startsInWindow);
            while (budget.spend())
                ++retries;
        }
        CHECK_TRUE_TEXT(retries <= each.maxRetries, each.name);
        CHECK_TRUE_TEXT(retries >= Share / 2, each.name);
    }
}

TEST(ServerStart, ANewInstanceIsGrantedItsRetriesWhenThoseOfItsPredecessorHaveLeftTheWindow)
{
    RelayOptions options;
    options.retryWindow = std::chrono::seconds(10);
    options.retryRatio = 0;
    options.retrySlack = 8;
    const struct {
        int uptimeSeconds;
        bool isListed;
        bool isRetried;
    } cases[]
        = { { 0, true, false }, { 5, true, false }, { 10, true, false }, { 13, true, true }, { 13, false, false } };
    for (const auto& each : cases) {
        RelayHarness harness(options);
        harness.send(relay::event::InstancesCounted { 4, each.isListed });
        for (int second = 0; second < each.uptimeSeconds; ++second)
            harness.tick(std::chrono::seconds(1));
        const auto start = harness.running("/draft/1");
        harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::NotRun, 503, "" });
        CHECK_EQUAL(each.isRetried, harness.last<relay::effect::StartAttempt>().has_value());
    }
}

// Only one engine was left that held some of the layers. A call that it rejected was sent to it three times within 7
// ms.
TEST(ServerStart, ACallThatTheOnlyPossibleStageRejectedWaitsBeforeTheNextAttempt)
{
    RelayHarness harness;
    harness.send(relay::event::ServerUnregistered { BackendId("c") });
    harness.send(relay::event::ServerUnregistered { BackendId("d") });
    const auto start = harness.running("/draft/1");
    const std::string fullStage = start.chain.hops().back().address;
    harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::NotRun, 503, fullStage });
    CHECK_FALSE(harness.last<relay::effect::StartAttempt>().has_value());
    harness.tick(milliseconds(300));
    CHECK_TRUE(harness.last<relay::effect::StartAttempt>().has_value());
}
