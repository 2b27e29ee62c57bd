#include "core/EventJson.h"
#include "tests/ReducerHarness.h"
#include "tests/Tests.h"

using namespace crocusmount;

TEST_GROUP(Reducer)
{
    ReducerHarness harness;

    void setup() override
    {
        harness.configure();
        harness.reportAll();
    }

    /// @return the attempt that the last event started; fails the test if there is none
    effect::StartAttempt startedAttempt()
    {
        const auto start = harness.last<effect::StartAttempt>();
        CHECK_TRUE(start.has_value());
        return start.value_or(effect::StartAttempt());
    }
};

TEST(Reducer, DeliversTokensInOrderAndCompletesAnswer)
{
    harness.request(ReducerHarness::spec(2));
    const auto start = startedAttempt();
    CHECK_EQUAL(2U, start.chain.hops().size());
    harness.token(start, 0);
    CHECK_TRUE(harness.last<effect::DeliverToken>().has_value());
    harness.token(start, 1);
    harness.send(event::AttemptEnded { start.attempt, 2 });
    CHECK_EQUAL(2U, harness.last<effect::CompleteAnswer>()->count);
    CHECK_EQUAL(0U, harness.reducer().openRequests());
}

TEST(Reducer, RefusalHasReasonAndStateNotRun)
{
    auto unknown = ReducerHarness::spec();
    unknown.pipeline = PipelineId("nowhere");
    auto forbidden = ReducerHarness::spec();
    forbidden.pipeline = PipelineId("gold");
    auto withoutKey = ReducerHarness::spec();
    withoutKey.repeatable = false;
    const struct {
        RequestSpec spec;
        Reason reason;
    } cases[] = {
        { unknown, Reason::UnknownPipeline },
        { forbidden, Reason::NotPermitted },
        { withoutKey, Reason::KeyRequired },
    };
    for (const auto& each : cases) {
        harness.request(each.spec);
        const auto failure = harness.last<effect::FailAnswer>();
        CHECK_TRUE(failure.has_value());
        CHECK_TEXT(toString(each.reason), toString(failure->reason));
        CHECK_TRUE(failure->run == RunState::NotRun);
        CHECK_EQUAL(0U, harness.count<effect::StartAttempt>());
        CHECK_EQUAL(1U, harness.refused(each.reason));
    }
}

TEST(Reducer, InvalidFramesAreDroppedOrEndTheAttempt)
{
    const struct {
        const char* name;
        std::function<void(event::TokenReceived&)> corrupt;
        std::optional<Reason> dropped;
        std::optional<Reason> retried;
    } cases[] = {
        { "late", [](auto& token) { token.attempt = AttemptId(999); }, Reason::LateFrame, {} },
        { "crossed", [](auto& token) { token.named = AttemptId(999); }, Reason::CrossedFrame, {} },
        { "doubled", [](auto& token) { token.index = 0; }, Reason::DoubledFrame, {} },
        { "gap", [](auto& token) { token.index = 2; }, {}, Reason::IndexGap },
        { "missing stage", [](auto& token) { token.trace = "a1:0-2@1"; }, {}, Reason::TraceMismatch },
        { "repeated stage", [](auto& token) { token.trace += "," + token.trace; }, {}, Reason::TraceMismatch },
        { "old generation", [](auto& token) { token.trace.back() = '0'; }, {}, Reason::TraceMismatch },
    };
    for (const auto& each : cases) {
        ReducerHarness fresh;
        fresh.configure();
        fresh.reportAll();
        fresh.request(ReducerHarness::spec());
        const auto start = *fresh.last<effect::StartAttempt>();
        fresh.token(start, 0);
        event::TokenReceived token { start.attempt, start.attempt, 1, "t1", start.chain.trace() };
        each.corrupt(token);
        fresh.send(token);
        CHECK_EQUAL_TEXT(0U, fresh.count<effect::DeliverToken>(), each.name);
        if (each.dropped)
            CHECK_EQUAL_TEXT(1U, fresh.dropped(*each.dropped), each.name);
        if (each.retried) {
            CHECK_EQUAL_TEXT(1U, fresh.retried(*each.retried), each.name);
            CHECK_EQUAL_TEXT(1U, fresh.last<effect::StartAttempt>()->emitted.size(), each.name);
        }
    }
}

TEST(Reducer, TruncatedStreamIsResumed)
{
    harness.request(ReducerHarness::spec(3));
    const auto start = startedAttempt();
    harness.token(start, 0);
    harness.send(event::AttemptEnded { start.attempt, 3 });
    const auto resumedAttempt = startedAttempt();
    CHECK_EQUAL(1U, resumedAttempt.emitted.size());
    CHECK_EQUAL(1U, harness.retried(Reason::Truncated));
    harness.token(resumedAttempt, 1);
    harness.token(resumedAttempt, 2);
    harness.send(event::AttemptEnded { resumedAttempt.attempt, 3 });
    CHECK_EQUAL(3U, harness.last<effect::CompleteAnswer>()->count);
}

TEST(Reducer, RetryAvoidsFailedStage)
{
    harness.request(ReducerHarness::spec(3));
    const auto start = startedAttempt();
    harness.token(start, 0);
    const BackendId failed = start.chain.hops()[1].backend;
    harness.send(event::AttemptFailed { start.attempt, Reason::StageFailed, RunState::MayHaveRun, failed });
    const auto resumedAttempt = startedAttempt();
    CHECK_FALSE(resumedAttempt.chain.contains(failed));
    harness.token(start, 1); // A late frame of the failed attempt.
    CHECK_EQUAL(1U, harness.dropped(Reason::LateFrame));
}

TEST(Reducer, StalledStreamIsCancelledButShortPauseIsTolerated)
{
    harness.request(ReducerHarness::spec(5));
    const auto start = startedAttempt();
    harness.token(start, 0);
    harness.token(start, 1);
    harness.tick(std::chrono::milliseconds(200));
    CHECK_EQUAL(0U, harness.count<effect::CancelAttempt>());
    harness.tick(std::chrono::milliseconds(300));
    CHECK_EQUAL(1U, harness.count<effect::CancelAttempt>());
    CHECK_EQUAL(1U, harness.retried(Reason::Stalled));
}

TEST(Reducer, RequestThatMayHaveRunIsNotAnsweredNotRun)
{
    const struct {
        const char* name;
        RunState reported;
        bool isTokenSent;
        RunState answered;
    } cases[] = {
        { "refused", RunState::NotRun, false, RunState::NotRun },
        { "lost", RunState::MayHaveRun, false, RunState::MayHaveRun },
        { "not run reported after a token", RunState::NotRun, true, RunState::MayHaveRun },
    };
    for (const auto& each : cases) {
        auto options = ReducerHarness::defaultOptions();
        options.maxAttempts = 1;
        ReducerHarness fresh(options);
        fresh.configure();
        fresh.reportAll();
        fresh.request(ReducerHarness::spec());
        const auto start = *fresh.last<effect::StartAttempt>();
        if (each.isTokenSent)
            fresh.token(start, 0);
        fresh.send(event::AttemptFailed { start.attempt, Reason::BackendError, each.reported, BackendId("a1") });
        CHECK_TRUE_TEXT(fresh.last<effect::FailAnswer>()->run == each.answered, each.name);
    }
}

TEST(Reducer, RequestWithKnownKeyJoinsOrReplaysAnswer)
{
    auto spec = ReducerHarness::spec(2);
    spec.idempotencyKey = "k";
    const RequestId first = harness.request(spec);
    const auto start = startedAttempt();
    harness.token(start, 0);
    const RequestId second = harness.request(spec);
    CHECK_EQUAL(0U, harness.count<effect::StartAttempt>());
    CHECK_EQUAL(1U, harness.count<effect::DeliverToken>());
    harness.token(start, 1);
    CHECK_EQUAL(2U, harness.count<effect::DeliverToken>());
    harness.send(event::AttemptEnded { start.attempt, 2 });
    CHECK_EQUAL(2U, harness.count<effect::CompleteAnswer>());
    harness.request(spec);
    CHECK_EQUAL(2U, harness.count<effect::DeliverToken>());
    CHECK_EQUAL(1U, harness.reducer().counters().replayed);
    spec.prompt = "other";
    harness.request(spec);
    CHECK_TRUE(harness.last<effect::FailAnswer>()->reason == Reason::KeyReused);
    CHECK_TRUE(first != second);
}

TEST(Reducer, RequestOfDisconnectedCallerIsCancelled)
{
    const RequestId id = harness.request(ReducerHarness::spec());
    harness.send(event::CallerLeft { id });
    CHECK_EQUAL(1U, harness.count<effect::CancelAttempt>());
    CHECK_EQUAL(0U, harness.reducer().openRequests());
}

TEST(Reducer, OldOrNonContiguousConfigurationIsIgnored)
{
    ConfigurationChange newer { Revision(1), Revision(5), { { "workspaces/late", "{}", Revision(5) } } };
    harness.send(event::ConfigurationRead { newer, true });
    CHECK_EQUAL(5, harness.reducer().configuration().revision.value());
    ConfigurationChange old { Revision(), Revision(3), {} };
    harness.send(event::ConfigurationRead { old, true });
    CHECK_EQUAL(5, harness.reducer().configuration().revision.value());
    CHECK_EQUAL(1U, harness.reducer().configuration().workspaces.count(WorkspaceId("late")));
    ConfigurationChange nonContiguous { Revision(7), Revision(8), {} };
    harness.send(event::ConfigurationRead { nonContiguous, false });
    CHECK_EQUAL(5, harness.reducer().configuration().revision.value());
}

TEST(Reducer, LeavingServerGetsNoNewAttempts)
{
    ConfigurationChange change { Revision(1), Revision(2),
        { { "backends/a1", R"({"address":"10.0.1.1:1","dataCentre":"dc1","leaving":true})", Revision(2) } } };
    harness.send(event::ConfigurationRead { change, true });
    for (int i = 0; i < 6; ++i) {
        harness.request(ReducerHarness::spec());
        CHECK_FALSE(startedAttempt().chain.contains(BackendId("a1")));
    }
}

TEST(Reducer, OlderPeerReportDoesNotReplaceNewerReport)
{
    BackendReport leaving { BackendId("a1"), "m", { 0, 2 }, Generation(1), 4, 1000, 0, true };
    harness.send(event::BackendReported { leaving, harness.now() });
    BackendNews old;
    old.report = leaving;
    old.report.leaving = false;
    old.age = std::chrono::seconds(1);
    old.sequence = 100;
    PeerMessage message;
    message.kind = PeerMessageKind::News;
    message.sender.instance = InstanceId("e2");
    message.backends = { old };
    harness.send(event::PeerMessageReceived { message });
    for (int i = 0; i < 6; ++i) {
        harness.request(ReducerHarness::spec());
        CHECK_FALSE(startedAttempt().chain.contains(BackendId("a1")));
    }
}

TEST(Reducer, DrainRefusesNewRequestsAndWaitsForStreams)
{
    auto options = ReducerHarness::defaultOptions();
    options.entryLifetime = std::chrono::milliseconds(100);
    ReducerHarness fresh(options);
    fresh.configure();
    fresh.reportAll();
    fresh.request(ReducerHarness::spec(1));
    const auto start = *fresh.last<effect::StartAttempt>();
    fresh.send(event::DrainRequested {});
    fresh.request(ReducerHarness::spec());
    CHECK_TRUE(fresh.last<effect::FailAnswer>()->reason == Reason::Draining);
    fresh.tick(std::chrono::milliseconds(200));
    CHECK_EQUAL(0U, fresh.count<effect::DrainFinished>());
    fresh.token(start, 0);
    fresh.send(event::AttemptEnded { start.attempt, 1 });
    fresh.tick(std::chrono::milliseconds(10));
    CHECK_EQUAL(1U, fresh.count<effect::DrainFinished>());
}

TEST(Reducer, IdenticalEventsGiveIdenticalEffects)
{
    const auto run = [](bool throughJson) {
        ReducerHarness fresh;
        std::string log;
        TimePoint time = fresh.now();
        const auto feed = [&](EventBody body) {
            time += std::chrono::milliseconds(10);
            Event event { time, 7, std::move(body) };
            if (throughJson)
                event = *eventFromJsonLine(toJsonLine(event));
            Effects effects;
            fresh.reducer().reduce(event, effects);
            for (const Effect& effect : effects)
                log += toJsonLine(effect) + "\n";
        };
        fresh.configure();
        fresh.reportAll();
        for (std::uint64_t i = 1; i < 20; ++i) {
            feed(event::RequestArrived { RequestId(i), ReducerHarness::nonRepeatableSpec("k" + std::to_string(i)) });
            feed(event::ClaimsRead { ShardId(0), true, 0, 0, {} });
            feed(event::ClaimsAppended { ShardId(0), WriteOutcome::Committed, static_cast<std::int64_t>(i) });
            feed(event::AttemptFailed { AttemptId(i), Reason::StageFailed, RunState::MayHaveRun, BackendId("b1") });
            feed(event::Tick {});
        }
        return log;
    };
    const std::string log = run(false);
    CHECK_TRUE(log.size() > 1000);
    CHECK_TEXT(log, run(false));
    CHECK_TEXT(log, run(true));
}
