#include "admission/ConcurrencyLimit.h"
#include "relay/ServiceQueue.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Admission) {};

TEST(Admission, AShortageLastsFromItsFirstRefusalUntilAPauseWithoutOne)
{
    const struct {
        std::int64_t atMs;
        std::int64_t lastedMs;
    } refusals[] = { { 10000, 0 }, { 10500, 500 }, { 12000, 2000 }, { 13900, 3900 }, { 16000, 0 }, { 16100, 100 } };
    ServiceQueue queue;
    for (const auto& each : refusals)
        CHECK_EQUAL(each.lastedMs * 1000, queue.refused(timePoint(each.atMs * 1000)).count());
}

// scc-faq trouble-2: refused callers came back within 2 s into a shortage of ten, once, and were refused for good.
TEST(Admission, CallersComeBackLaterTheLongerAShortageLasts)
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
        CHECK_TRUE(refusal->retryAfter <= seconds(6)); // A third of 20 s is all that callers heed.
        first = first.count() ? first : refusal->retryAfter;
        last = refusal->retryAfter;
    }
    CHECK_TRUE(first <= milliseconds(2000));
    CHECK_TRUE(last >= milliseconds(2000));
}

// scc-faq scale-1: after an overload the bound grew by half a stream for each early answer, so that it stood still
// until streams ended, which takes three seconds each.
TEST(Admission, TheBoundReturnsAsFastAsStreamsBegin)
{
    ConcurrencyLimit limit;
    for (std::int64_t i = 0; i < 200; ++i)
        limit.rejected(0, timePoint(i * 200000));
    const double low = limit.value();
    CHECK_TRUE(low <= 4);
    double inFlight = low;
    for (std::int64_t i = 0; i < 50; ++i) { // None of them ends meanwhile.
        limit.answered(0.1, inFlight, timePoint(60000000 + i * 60000));
        inFlight = limit.value();
    }
    CHECK_TRUE(inFlight >= low + 50);
}

// One late answer in a few streams is chance: an instance of 80 carries some ten.
TEST(Admission, ADecreaseLeavesRoomForChance)
{
    const struct {
        double inFlight;
        double least;
        double most;
    } cases[] = { { 4, 7, 9 }, { 25, 32, 35 }, { 100, 112, 118 } };
    for (const auto& each : cases) {
        ConcurrencyLimit limit;
        limit.answered(2, each.inFlight, timePoint(1000000));
        CHECK_TRUE(limit.value() >= each.least);
        CHECK_TRUE(limit.value() <= each.most);
    }
}
