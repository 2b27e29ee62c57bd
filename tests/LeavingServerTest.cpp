#include "tests/LeavingFleet.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(LeavingServer) {};

namespace {

RegisteredServer firstStage(const char* id) { return RelayHarness::engine(id, 0, 4); }

/// Starts all streams with engine "a" as first stage, and then adds "c" and "e" as other possible first stages.
void startStreamsAtOneServer(LeavingFleet& fleet, std::uint32_t streams)
{
    fleet.remove(BackendId("c"));
    fleet.startStreams(streams);
    fleet.add(firstStage("c"));
    fleet.add(firstStage("e"));
}

} // namespace

// Answers ended incomplete when the engine of their first stage left. Each one was resumed elsewhere once, but this
// attempt was cancelled when the leaving engine sent its next event, and the retry that it had used was missing when
// the engine ended.
TEST(LeavingServer, AnswersAreCompletedAfterTheirServerLeaves)
{
    const struct {
        const char* name;
        Duration drain;
        std::uint32_t streams;
        Duration promptTime;
        std::uint32_t rejections;
        bool isSeries; ///< whether "c", to which most streams moved, leaves later
    } cases[] = {
        { "short drain", seconds(2), 30, milliseconds(120), 0, false },
        { "long drain", seconds(4), 30, milliseconds(120), 0, false },
        { "drain longer than most streams", seconds(8), 30, milliseconds(120), 0, false },
        { "prompts are processed slowly", seconds(4), 30, milliseconds(700), 0, false },
        { "some attempts are rejected", seconds(4), 30, milliseconds(120), 20, false },
        { "engines leave in series", seconds(3), 30, milliseconds(120), 0, true },
        { "engines leave in series, some attempts are rejected", seconds(3), 30, milliseconds(120), 10, true },
    };
    for (const auto& each : cases) {
        LeavingFleet::Options options;
        options.promptTime = each.promptTime;
        options.rejections = each.rejections;
        options.relay.retrySlack = 200;
        LeavingFleet fleet(options);
        startStreamsAtOneServer(fleet, each.streams);
        fleet.leave(firstStage("a"), each.drain);
        if (each.isSeries) {
            fleet.advance(milliseconds(2500));
            fleet.leave(firstStage("c"), each.drain);
        }
        fleet.advance(seconds(18));
        CHECK_EQUAL_TEXT(0U, fleet.brokenOff(), each.name);
        CHECK_EQUAL_TEXT(each.streams, fleet.completed(), each.name);
        CHECK_EQUAL_TEXT(0U, fleet.misplaced(), each.name);
        // No retry is used for a stream that its leaving server completes.
        CHECK_TRUE_TEXT(fleet.resumeAttempts() <= fleet.brokenByServerEnd() + each.rejections, each.name);
    }
}

// An answer ended incomplete twelve seconds before its deadline, because three servers had rejected it within 7 ms.
// Others ended at the first server that rejected them, because the retry budget of the service was used up.
TEST(LeavingServer, AnInterruptedAnswerWaitsForAServerAsLongAsItsCallerWaits)
{
    const struct {
        const char* name;
        std::uint32_t rejections;
        Duration untilServer; ///< time until another server is registered
        std::uint32_t brokenOff;
    } cases[] = {
        { "the first server accepts", 0, Duration(0), 0 },
        { "four attempts are rejected", 4, Duration(0), 0 },
        { "no server for a second", 0, seconds(1), 0 },
        { "no server for as long as the caller waits", 0, seconds(4), 1 },
    };
    for (const auto& each : cases) {
        LeavingFleet::Options options;
        options.rejections = each.rejections;
        LeavingFleet fleet(options);
        fleet.remove(BackendId("c"));
        fleet.startStreams(1);
        fleet.leave(firstStage("a"), Duration(0));
        fleet.advance(each.untilServer);
        fleet.add(firstStage("c"));
        fleet.add(firstStage("e"));
        fleet.advance(seconds(12));
        CHECK_EQUAL_TEXT(each.brokenOff, fleet.brokenOff(), each.name);
        CHECK_EQUAL_TEXT(1 - each.brokenOff, fleet.completed(), each.name);
        CHECK_EQUAL_TEXT(0U, fleet.misplaced(), each.name);
    }
}

// The retry budget is empty when a server ends. Its answers are resumed as soon as new calls have refilled the budget.
TEST(LeavingServer, AnInterruptedAnswerWaitsForTheRetryBudget)
{
    LeavingFleet::Options options;
    options.relay.retrySlack = 2;
    options.relay.retryRatio = 0.5;
    LeavingFleet fleet(options);
    startStreamsAtOneServer(fleet, 4);
    fleet.leave(firstStage("a"), Duration(0));
    fleet.advance(milliseconds(300));
    CHECK_EQUAL(0U, fleet.brokenOff());
    fleet.startStreams(4);
    fleet.advance(seconds(12));
    CHECK_EQUAL(0U, fleet.brokenOff());
    CHECK_EQUAL(8U, fleet.completed());
}

// A leaving server stops listening before its streams have ended. This was mistaken for the end of the server, so its
// attempts were cancelled although it still sent answers, and the remaining servers rejected the new attempts:
//
//     22.657 s the leaving server refuses a connection
//     22.658 s its attempt is cancelled
//     22.659 s another server rejects the call
//     22.665 s the answer ends incomplete
//
// The server's leave may become known later than that: on one day 0.5 s later, and streams ran on a third server.
TEST(LeavingServer, AttemptsAreNotCancelledWhenALeavingServerStopsListening)
{
    enum class Sign { Leaves, SendsEvents, SendsNothing, BreaksOff, IsReplaced };
    const struct {
        const char* name;
        Sign sign;
        bool isCancelled;
        bool isContinuedElsewhere;
    } cases[] = {
        { "the server is leaving", Sign::Leaves, false, false },
        { "its leave is not known yet", Sign::SendsEvents, false, false },
        { "the server is silent, and its connection stays open", Sign::SendsNothing, true, true },
        { "the server has ended, and its connection with it", Sign::BreaksOff, false, true },
        { "a later start of the server shows that it has ended", Sign::IsReplaced, true, true },
    };
    for (const auto& each : cases) {
        RelayHarness harness;
        const auto start = harness.running("/draft/1", 20);
        RegisteredServer server = firstStage(start.server.value().c_str());
        server.leaving = each.sign == Sign::Leaves;
        harness.send(relay::event::ServerRegistered { server });
        bool isCancelled = false;
        std::optional<relay::effect::StartAttempt> next;
        const auto observe = [&] {
            isCancelled = isCancelled || harness.last<relay::effect::CancelAttempt>().has_value();
            if (const auto started = harness.last<relay::effect::StartAttempt>(); started && !next)
                next = started;
        };
        harness.send(relay::event::EngineChecked { start.server, false, 1, true });
        observe();
        for (const char* id : { "a", "b", "c", "d" }) {
            if (start.server != BackendId(id))
                harness.send(relay::event::EngineChecked { BackendId(id), true, 1 });
        }
        if (each.sign == Sign::BreaksOff) {
            harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::Broken, 200, "" });
            observe();
        }
        if (each.sign == Sign::IsReplaced) {
            server.id = BackendId("next");
            server.startedAt = StartTime(1);
            harness.send(relay::event::ServerRegistered { server });
            observe();
        }
        for (std::uint64_t event = 21; event < 60; ++event) {
            if (each.sign == Sign::Leaves || each.sign == Sign::SendsEvents) {
                harness.events(start.attempt, event, event, milliseconds(0));
                observe();
            }
            harness.tick(milliseconds(20));
            observe();
            if (const auto reroute = harness.last<relay::effect::RerouteAttempt>())
                harness.send(relay::event::RerouteAnswered { reroute->attempt, false });
            observe();
            if (next && each.sign == Sign::SendsNothing)
                harness.send(relay::event::EventDelivered { next->attempt, 21 });
            observe();
        }
        CHECK_EQUAL_TEXT(each.isCancelled, isCancelled, each.name);
        CHECK_EQUAL_TEXT(each.isContinuedElsewhere, next.has_value(), each.name);
    }
}

// An engine that was to load other layers could not, because the streams that it ran as first stage did not leave. Each
// one was resumed elsewhere, but this attempt was cancelled when the engine sent its next event.
TEST(LeavingServer, AnswersAreMovedOffAnEngineThatGivesUpItsLayers)
{
    LeavingFleet fleet({});
    startStreamsAtOneServer(fleet, 10);
    fleet.add(RelayHarness::engine("a", 0, 0));
    fleet.advance(milliseconds(500));
    CHECK_EQUAL(10U, fleet.resumeAttempts());
    CHECK_EQUAL(0U, fleet.runningAt(BackendId("a")));
    fleet.advance(seconds(12));
    CHECK_EQUAL(10U, fleet.completed());
    CHECK_EQUAL(0U, fleet.misplaced());
}
