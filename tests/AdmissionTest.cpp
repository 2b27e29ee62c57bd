#include "admission/ConcurrencyLimit.h"
#include "relay/ServiceQueue.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Admission) {};

TEST(Admission, AShortageLastsFromItsFirstRefusalToAPauseInRefusals)
{
    const struct {
        std::int64_t atMs;
        std::int64_t durationMs; ///< of the shortage so far
    } refusals[] = { { 10000, 0 }, { 10500, 500 }, { 12000, 2000 }, { 13900, 3900 }, { 16000, 0 }, { 16100, 100 } };
    ServiceQueue queue;
    for (const auto& each : refusals)
        CHECK_EQUAL(each.durationMs * 1000, queue.refused(timePoint(each.atMs * 1000)).count());
}

// Guards against callers that are told to retry before a shortage ends. In a shortage of 10 s, refused callers retried
// once, within 2 s, were refused again and gave up.
TEST(Admission, RetryAfterGrowsWithTheDurationOfAShortage)
{
    RelayHarness harness;
    for (const char* id : { "x", "y" })
        harness.send(relay::event::ServerUnregistered { BackendId(id) });
    Duration first {};
    Duration last {};
    for (int i = 0; i < 400; ++i) {
        harness.call("/look/1");
        harness.tick(milliseconds(20));
        const auto refusal = harness.last<relay::effect::Refuse>();
        if (!refusal)
            continue;
        CHECK_TRUE(refusal->reason == Reason::NoCapacity);
        CHECK_TRUE(refusal->retryAfter >= milliseconds(600));
        CHECK_TRUE(refusal->retryAfter <= seconds(6)); // Callers wait for at most a third of their 20 s.
        first = first.count() ? first : refusal->retryAfter;
        last = refusal->retryAfter;
    }
    CHECK_TRUE(first <= milliseconds(2000));
    CHECK_TRUE(last >= milliseconds(2000));
}

// Guards against a slow recovery from an overload. When the limit increased by half a stream for each early answer, no
// further streams were admitted until running ones ended, and each stream takes three seconds.
TEST(Admission, TheConcurrencyLimitRecoversAsFastAsStreamsBegin)
{
    ConcurrencyLimit limit;
    for (std::int64_t i = 0; i < 200; ++i)
        limit.rejected(0, timePoint(i * 200000));
    const double lowLimit = limit.value();
    CHECK_TRUE(lowLimit <= 4);
    double inFlight = lowLimit;
    for (std::int64_t i = 0; i < 50; ++i) { // No stream ends meanwhile.
        limit.answered(0.1, inFlight, timePoint(60000000 + i * 60000));
        inFlight = limit.value();
    }
    CHECK_TRUE(inFlight >= lowLimit + 50);
}

// Guards against a limit that falls too far because of a random late answer. With 80 instances, each one has only about
// ten streams in flight, and their number varies.
TEST(Admission, ADecreaseLeavesHeadroomForRandomVariation)
{
    const struct {
        double inFlight;
        double minLimit;
        double maxLimit;
    } cases[] = { { 4, 7, 9 }, { 25, 32, 35 }, { 100, 112, 118 } };
    for (const auto& each : cases) {
        ConcurrencyLimit limit;
        limit.answered(2, each.inFlight, timePoint(1000000));
        CHECK_TRUE(limit.value() >= each.minLimit);
        CHECK_TRUE(limit.value() <= each.maxLimit);
    }
}

// With a share of at least two, 985 instances could make 1,970 retries of the 1,040 that all together may make.
TEST(Admission, AllInstancesTogetherMakeNoMoreRetriesThanAreAllowed)
{
    const struct {
        std::uint32_t instances;
        double retrySlack;
    } cases[] = { { 9, 202 }, { 60, 314 }, { 295, 774 }, { 700, 774 }, { 985, 1040 } };
    for (const auto& each : cases) {
        RelayOptions options;
        options.retrySlack = each.retrySlack;
        options.retryRatio = 0;
        RelayHarness harness(options);
        harness.send(relay::event::InstancesCounted { each.instances });
        double retries = 0;
        for (int call = 0; call < 300; ++call) {
            const auto start = harness.running("/look/1");
            harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::Broken, 0, "" });
            if (const auto retry = harness.last<relay::effect::StartAttempt>()) {
                ++retries;
                harness.send(relay::event::AttemptEnded { retry->attempt, AttemptResult::Completed, 200, "" });
            }
        }
        CHECK_TRUE(retries * each.instances <= each.retrySlack);
        CHECK_TRUE(retries >= 1);
    }
}
