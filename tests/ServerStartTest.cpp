#include "admission/RetryBudget.h"
#include "relay/StartLedger.h"
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

const char* nameOf(StartStanding standing)
{
    switch (standing) {
    case StartStanding::Known:
        return "known ";
    case StartStanding::New:
        return "new ";
    default:
        return "ended ";
    }
}

} // namespace

// Eight engines were cut off, crashed behind the cut and started again at their addresses under new ids. When the cut
// healed, the entries that the old processes had written reached the store after the new ones (a gone id was listed
// again at 8.37 s with its layers, its successor at the same address at 8.12 s), and calls were sent to them for 4 s.
TEST(ServerStart, AnEndedStartNeverComesBack)
{
    const struct {
        const char* name;
        std::vector<RegisteredServer> entries;
        const char* standings;
    } cases[] = {
        { "an entry changes", { entry("a", 0), entry("a", 0) }, "new known " },
        { "a new id at its address", { entry("a", 0), entry("b", 0), entry("a", 0) }, "new new ended " },
        { "the old entry comes first", { entry("a", 0), entry("a", 0), entry("b", 0) }, "new known new " },
        { "other addresses", { entry("a", 0), entry("b", 0, "10.0.0.2:80"), entry("a", 0) }, "new new known " },
        { "a later start under its id", { entry("a", 5), entry("a", 9), entry("a", 5) }, "new new ended " },
        { "the same start", { entry("a", 5), entry("a", 5) }, "new known " },
        { "no time any more", { entry("a", 5), entry("a", 0), entry("a", 5) }, "new ended known " },
        { "a time at last", { entry("a", 0), entry("a", 5) }, "new new " },
        { "an earlier start at its address", { entry("b", 9), entry("a", 5) }, "new ended " },
        { "a later start at its address", { entry("a", 5), entry("b", 9), entry("a", 5) }, "new new ended " },
        { "the old id starts once more", { entry("a", 5), entry("b", 7), entry("a", 9) }, "new new new " },
        { "it moved, its address is taken",
            { entry("a", 0), entry("a", 0, "10.0.0.2:80"), entry("b", 0), entry("a", 0, "10.0.0.2:80") },
            "new known new known " },
    };
    for (const auto& each : cases) {
        StartLedger ledger;
        std::string standings;
        for (const RegisteredServer& server : each.entries)
            standings += nameOf(ledger.note(server, timePoint(1)));
        CHECK_EQUAL_TEXT(std::string(each.standings), standings, each.name);
    }
}

TEST(ServerStart, WhatIsListedIsUsedAgainWhereItsSupposedSuccessorGoes)
{
    ServerFleet fleet;
    fleet.upsert(entry("a", 0), timePoint(1));
    fleet.upsert(entry("b", 0), timePoint(2));
    CHECK_TRUE(fleet.find(BackendId("a")) == nullptr);
    CHECK_TRUE(fleet.remove(BackendId("b"), timePoint(3)));
    CHECK_TRUE(fleet.find(BackendId("a")) != nullptr);
    CHECK_FALSE(fleet.remove(BackendId("a"), timePoint(4)));
    // Where both say when they started, it has ended for certain.
    fleet.upsert(entry("c", 5), timePoint(5));
    fleet.upsert(entry("d", 9), timePoint(6));
    CHECK_FALSE(fleet.remove(BackendId("d"), timePoint(7)));
    CHECK_TRUE(fleet.find(BackendId("c")) == nullptr);
}

TEST(ServerStart, ANewStartBeginsAtNothing)
{
    RelayHarness harness;
    const auto start = harness.running("/draft/1", 1);
    const BackendId id = start.chain.hops().back().backend;
    harness.send(relay::event::EngineChecked { id, false, 1 });
    CHECK_TRUE(harness.reducer().fleet().servers().at(id).isDead(harness.now()));
    RegisteredServer again = RelayHarness::engine(id.value(), 0, 0);
    again.startedAt = StartTime(9);
    harness.send(relay::event::ServerRegistered { again });
    const FleetServer& server = harness.reducer().fleet().servers().at(id);
    CHECK_FALSE(server.isDead(harness.now()));
    CHECK_EQUAL(0, server.ownTokenLayers);
    CHECK_EQUAL(0U, server.unansweredChecks);
    // Others' words on the start before do not concern it.
    harness.send(relay::event::EnginesReportedDead { { engineKey(id) } });
    CHECK_FALSE(harness.last<relay::effect::CheckEngine>().has_value());
}

namespace {

/// A sign that an engine has started again.
struct Sign {
    const char* name;
    std::vector<RelayEventBody> events;
};

std::vector<Sign> signsOfANewStart(const BackendId& id)
{
    RegisteredServer later = RelayHarness::engine(id.value(), 0, 0);
    later.startedAt = StartTime(9);
    RegisteredServer successor = RelayHarness::engine("z", 0, 0);
    successor.address = later.address;
    return {
        { "its entry", { relay::event::ServerRegistered { later } } },
        { "another id at its address", { relay::event::ServerRegistered { successor } } },
        { "its answer to a check", { relay::event::EngineChecked { id, true, 1, false, {}, StartTime(9), {} } } },
        { "its answer to an order", { relay::event::EngineStartSeen { id, StartTime(9) } } },
    };
}

} // namespace

TEST(ServerStart, StreamsLeaveAnEngineThatStartedAgainAtTheFirstSign)
{
    for (const bool isFirst : { false, true }) {
        for (std::size_t sign = 0; sign < 4; ++sign) {
            RelayHarness harness;
            const auto start = harness.running("/draft/1", 10);
            const Hop lost = isFirst ? start.chain.hops().front() : start.chain.hops().back();
            const Sign each = signsOfANewStart(lost.backend).at(sign);
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
                // Without the order the attempt cannot go on.
                harness.send(relay::event::RerouteAnswered { start.attempt, false });
                const auto next = harness.last<relay::effect::StartAttempt>();
                CHECK_TRUE_TEXT(next && next->resumeAfter == 10U, each.name);
            }
        }
    }
}

// A stream was cut off at a first stage that lived, because a later one had ended, and was then sent to two servers
// more where its route allows two in all.
TEST(ServerStart, AnAttemptAtAServerThatLivesCounts)
{
    const struct {
        const char* name;
        bool firstEnds;
        int furtherAttempts;
    } cases[] = { { "a later stage ended", false, 1 }, { "the first stage ended", true, 2 } };
    for (const auto& each : cases) {
        RelayHarness harness;
        const auto start = harness.running("/draft/1", 10);
        const Hop lost = each.firstEnds ? start.chain.hops().front() : start.chain.hops().back();
        RegisteredServer successor = RelayHarness::engine("z", 0, 0);
        successor.address = lost.address;
        harness.send(relay::event::ServerRegistered { successor });
        if (!each.firstEnds)
            harness.send(relay::event::RerouteAnswered { start.attempt, false });
        int further = 0;
        for (auto next = harness.last<relay::effect::StartAttempt>(); next && further < 5; ++further) {
            harness.send(relay::event::AttemptSent { next->attempt });
            harness.send(relay::event::AttemptEnded { next->attempt, AttemptResult::Broken, 200, "" });
            next = harness.last<relay::effect::StartAttempt>();
            if (!next) {
                harness.tick(milliseconds(600)); // The servers that failed are left alone for half a second.
                next = harness.last<relay::effect::StartAttempt>();
            }
        }
        CHECK_EQUAL_TEXT(each.furtherAttempts, further, each.name);
    }
}

// Engines left one after the other, and no other was free: the streams through them were cut by this side, where their
// servers would have served on for a while.
TEST(ServerStart, APartOfAnAnswerIsNotCutWhereNothingCanGoOnWithIt)
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

// While one stage is being replaced, the stage that the stream is to go to starts again as well.
TEST(ServerStart, AStreamThatWasMovedToAnEndedStageIsMovedOn)
{
    RelayHarness harness;
    const auto start = harness.running("/draft/1", 10);
    const Hop lost = start.chain.hops().back();
    harness.send(relay::event::EngineChecked { lost.backend, false, 1, true });
    // The others are asked whether they died with it; a stream goes only to those that answered.
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

/// Has the last stage of a running stream end, with no other that could take its part.
void loseLastStage(RelayHarness& harness, const relay::effect::StartAttempt& start)
{
    RegisteredServer successor = RelayHarness::engine("z", 0, 0);
    successor.address = start.chain.hops().back().address;
    harness.send(relay::event::ServerRegistered { successor });
    CHECK_TRUE(harness.last<relay::effect::RerouteAttempt>().has_value());
    harness.send(relay::event::RerouteAnswered { start.attempt, false });
}

} // namespace

// A stream that may run once had its first 30 events when a later stage ended, and was sent to servers once more.
// Whether it may have run was asked of the attempts that had ended, and the one that had delivered these events had
// not.
//
//     "attempt" "route":"once" "remaining_ms":6000 "resume_after":0
//     "attempt" "route":"once" "remaining_ms":2897 "resume_after":30
TEST(ServerStart, AStreamThatMayRunOnceIsNotSentAgainAsItLosesAStage)
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

// Four answers ended midway beside a change of the configuration: each was given up, at a first stage that lived, for
// an attempt that was then turned away, and nothing was left to go on with.
TEST(ServerStart, AnAnswerIsGivenUpOnlyForAnAttemptThatDelivers)
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

// An answer ran on while another attempt was tried beside it. Each further check that its lost stage did not take cut
// the answer in favour of that attempt, which the next server then turned away, and nothing was left.
//
//     22.634 s its server runs it; 29.728 s its run is cut; 29.732 s the next one sheds it; 29.743 s the answer breaks
//     off
TEST(ServerStart, AnAnswerIsNotCutForAnAttemptBesideItAsItsStageIsFoundLostOnceMore)
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

TEST(ServerStart, CallsThatMayNotRunTwiceEndWithATrueWord)
{
    RelayHarness harness;
    const auto start = harness.running("/book/1");
    RegisteredServer successor = RelayHarness::plain("z");
    successor.address = start.address;
    harness.send(relay::event::ServerRegistered { successor });
    const auto refusal = harness.last<relay::effect::Refuse>();
    CHECK_TRUE(refusal && refusal->run == RunState::MayHaveRun);
}

TEST(ServerStart, WordsOfAnEarlierStartChangeNothing)
{
    RelayHarness harness;
    const auto start = harness.running("/draft/1", 10);
    const BackendId id = start.chain.hops().back().backend;
    RegisteredServer entry = RelayHarness::engine(id.value(), 4, 8);
    entry.startedAt = StartTime(9);
    harness.send(relay::event::ServerRegistered { entry });
    RegisteredServer late = RelayHarness::engine(id.value(), 0, 8);
    late.startedAt = StartTime(5);
    const struct {
        const char* name;
        RelayEventBody event;
    } cases[] = {
        { "an entry", relay::event::ServerRegistered { late } },
        { "an answer to a check", relay::event::EngineChecked { id, true, 12, false, StartTime(9), StartTime(5), {} } },
        { "silence of the start before", relay::event::EngineChecked { id, false, 1, true, StartTime(5), {}, {} } },
        { "an answer to an order", relay::event::EngineStartSeen { id, StartTime(5) } },
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

// All instances lost power and came back within a second, and each began with its whole share of the retries that the
// platform allows beyond the ratio: with 19 starts in a day, 555 retries were made within 10 s where 509 were allowed.
TEST(ServerStart, InstancesThatStartAgainSpendNoMoreRetriesThanOnesThatRunOn)
{
    const struct {
        const char* name;
        int startsInWindow;
        int most;
    } cases[] = { { "runs on", 0, 13 }, { "one start", 1, 13 }, { "five starts", 5, 13 } };
    for (const auto& each : cases) {
        constexpr double Window = 10;
        constexpr double Share = 12;
        constexpr int Steps = 100;
        int spent = 0;
        int lastStart = 0;
        RetryBudget budget(0, Share, each.startsInWindow ? 0 : 1);
        for (int step = 0; step < Steps; ++step) {
            const bool starts = each.startsInWindow && step % (Steps / each.startsInWindow) == 0;
            if (starts) {
                budget = RetryBudget(0, Share, 0);
                lastStart = step;
            }
            budget.ripen(std::min(1.0, (step - lastStart) * Window / Steps / Window));
            while (budget.spend())
                ++spent;
        }
        CHECK_TRUE_TEXT(spent <= each.most, each.name);
        CHECK_TRUE_TEXT(spent >= Share / 2, each.name);
    }
}

TEST(ServerStart, AnInstanceEarnsItsShareOfTheRetriesAsItRuns)
{
    RelayOptions options;
    options.retryRipening = std::chrono::seconds(10);
    options.retryRatio = 0;
    options.retrySlack = 8;
    const struct {
        int secondsUp;
        bool isRetried;
    } cases[] = { { 0, false }, { 10, true } };
    for (const auto& each : cases) {
        RelayHarness harness(options);
        harness.tick(std::chrono::seconds(each.secondsUp));
        const auto start = harness.running("/draft/1");
        harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::NotRun, 503, "" });
        CHECK_EQUAL(each.isRetried, harness.last<relay::effect::StartAttempt>().has_value());
    }
}

// A chain has one holder left of a range, which sheds the call: it was sent there three times within 7 ms.
TEST(ServerStart, ACallWaitsForTheOnlyStageThatTurnedItAway)
{
    RelayHarness harness;
    harness.send(relay::event::ServerUnregistered { BackendId("c") });
    harness.send(relay::event::ServerUnregistered { BackendId("d") });
    const auto start = harness.running("/draft/1");
    const std::string full = start.chain.hops().back().address;
    harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::NotRun, 503, full });
    CHECK_FALSE(harness.last<relay::effect::StartAttempt>().has_value());
    harness.tick(milliseconds(300));
    CHECK_TRUE(harness.last<relay::effect::StartAttempt>().has_value());
}
