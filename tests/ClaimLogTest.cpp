#include "tests/ReducerHarness.h"
#include "tests/Tests.h"

using namespace crocusmount;

TEST_GROUP(ClaimLog)
{
    ReducerHarness harness;

    void setup() override
    {
        harness.configure();
        harness.reportAll();
    }

    /// Answers the first read of the log with an empty log.
    /// @return the write that follows
    effect::AppendClaims readEmptyLog()
    {
        harness.send(event::ClaimsRead { ShardId(0), true, 0, 0, {} });
        harness.tick(std::chrono::milliseconds(60));
        const auto append = harness.last<effect::AppendClaims>();
        CHECK_TRUE(append.has_value());
        return append.value_or(effect::AppendClaims());
    }
};

TEST(ClaimLog, RequestIsNotDispatchedBeforeItsClaimIsCommitted)
{
    harness.request(ReducerHarness::nonRepeatableSpec("k"));
    CHECK_EQUAL(0U, harness.count<effect::StartAttempt>());
    CHECK_EQUAL(1U, harness.count<effect::ReadClaims>());
    const auto append = readEmptyLog();
    CHECK_EQUAL(1U, append.claims.size());
    CHECK_EQUAL(0U, harness.count<effect::StartAttempt>());
    harness.send(event::ClaimsAppended { ShardId(0), WriteOutcome::Committed, 5 });
    CHECK_EQUAL(1U, harness.count<effect::StartAttempt>());
}

TEST(ClaimLog, RequestFailsIfAnotherInstanceHasClaimedItsKey)
{
    harness.request(ReducerHarness::nonRepeatableSpec("k"));
    const auto append = readEmptyLog();
    harness.send(event::ClaimsAppended { ShardId(0), WriteOutcome::Conflict, 9 });
    harness.tick(std::chrono::milliseconds(60));
    CHECK_EQUAL(1U, harness.count<effect::ReadClaims>());
    Claim otherClaim = append.claims.front();
    otherClaim.nonce = "e2/1/1";
    harness.send(event::ClaimsRead { ShardId(0), true, 9, 1, { ClaimBatch { 1, harness.now(), { otherClaim } } } });
    const auto failure = harness.last<effect::FailAnswer>();
    CHECK_TRUE(failure->reason == Reason::KeyClaimed);
    CHECK_TRUE(failure->run == RunState::MayHaveRun);
    CHECK_EQUAL(0U, harness.count<effect::StartAttempt>());
}

TEST(ClaimLog, WriteWithUnknownOutcomeIsResolvedByReadingTheLog)
{
    const struct {
        const char* name;
        bool isCommitted;
        std::size_t expectedStarts;
        std::size_t expectedAppends;
    } cases[] = { { "write was committed", true, 1, 0 }, { "write was not committed", false, 0, 1 } };
    for (const auto& testCase : cases) {
        ReducerHarness caseHarness;
        caseHarness.configure();
        caseHarness.reportAll();
        caseHarness.request(ReducerHarness::nonRepeatableSpec("k"));
        caseHarness.send(event::ClaimsRead { ShardId(0), true, 0, 0, {} });
        caseHarness.tick(std::chrono::milliseconds(60));
        const auto append = *caseHarness.last<effect::AppendClaims>();
        caseHarness.send(event::ClaimsAppended { ShardId(0), WriteOutcome::Unknown, 0 });
        CHECK_EQUAL_TEXT(0U, caseHarness.count<effect::StartAttempt>(), testCase.name);
        caseHarness.tick(std::chrono::milliseconds(60));
        CHECK_EQUAL_TEXT(1U, caseHarness.count<effect::ReadClaims>(), testCase.name);
        event::ClaimsRead read { ShardId(0), true, 0, 0, {} };
        if (testCase.isCommitted)
            read = { ShardId(0), true, 7, 1, { ClaimBatch { 1, caseHarness.now(), append.claims } } };
        caseHarness.send(read);
        CHECK_EQUAL_TEXT(testCase.expectedStarts, caseHarness.count<effect::StartAttempt>(), testCase.name);
        caseHarness.tick(std::chrono::milliseconds(60));
        CHECK_EQUAL_TEXT(testCase.expectedAppends, caseHarness.count<effect::AppendClaims>(), testCase.name);
    }
}

TEST(ClaimLog, ClaimTimeoutFailsTheRequestAsNotRunAndReleasesTheKey)
{
    harness.request(ReducerHarness::nonRepeatableSpec("k"));
    readEmptyLog();
    harness.send(event::ClaimsAppended { ShardId(0), WriteOutcome::Unknown, 0 });
    harness.tick(std::chrono::seconds(3));
    const auto failure = harness.last<effect::FailAnswer>();
    CHECK_TRUE(failure->reason == Reason::StoreUnavailable);
    CHECK_TRUE(failure->run == RunState::NotRun);
    // The earlier write may still be committed. The write of the release moves the head, so that this is ruled out.
    harness.send(event::ClaimsRead { ShardId(0), true, 0, 0, {} });
    harness.tick(std::chrono::milliseconds(60));
    const auto append = harness.last<effect::AppendClaims>();
    CHECK_TRUE(append.has_value());
    CHECK_TRUE(append->claims.front().released);
}

TEST(ClaimLog, OneWriteContainsAllPendingClaims)
{
    for (int i = 0; i < 8; ++i)
        harness.request(ReducerHarness::nonRepeatableSpec("k" + std::to_string(i)));
    CHECK_EQUAL(8U, readEmptyLog().claims.size());
}

TEST(ClaimLog, NonRepeatableRequestThatMayHaveRunIsNotRetried)
{
    harness.request(ReducerHarness::nonRepeatableSpec("k"));
    readEmptyLog();
    harness.send(event::ClaimsAppended { ShardId(0), WriteOutcome::Committed, 5 });
    const auto start = *harness.last<effect::StartAttempt>();
    harness.send(event::AttemptFailed { start.attempt, Reason::ConnectionLost, RunState::MayHaveRun, BackendId("a1") });
    CHECK_EQUAL(0U, harness.count<effect::StartAttempt>());
    CHECK_TRUE(harness.last<effect::FailAnswer>()->run == RunState::MayHaveRun);
}

TEST(ClaimLog, NonRepeatableRequestThatDidNotRunIsRetried)
{
    harness.request(ReducerHarness::nonRepeatableSpec("k"));
    readEmptyLog();
    harness.send(event::ClaimsAppended { ShardId(0), WriteOutcome::Committed, 5 });
    const auto start = *harness.last<effect::StartAttempt>();
    harness.send(event::AttemptFailed { start.attempt, Reason::ConnectFailed, RunState::NotRun, BackendId("a1") });
    CHECK_EQUAL(1U, harness.count<effect::StartAttempt>());
}
