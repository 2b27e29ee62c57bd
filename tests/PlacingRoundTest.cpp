#include "relay/PlacingRound.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;

TEST_GROUP(PlacingRound)
{
    std::uint64_t nextId = 1;

    Call call(int rank, double tokens, bool hasAvoidedServers = false)
    {
        Call made;
        made.id = RequestId(nextId++);
        made.rank = rank;
        made.tokens = tokens;
        if (hasAvoidedServers)
            made.addAvoided(BackendId("a"));
        return made;
    }
};

TEST(PlacingRound, DecidesWhichCallsAreTriedBehindOneThatFitsNowhere)
{
    struct Case {
        const char* name;
        PlaceResult result; ///< of a call of rank 1 with 100 tokens
        bool hasAvoidedServers; ///< that call
        bool dependsOnSize;
        int rank; ///< of the next call
        double tokens;
        bool isLimited;
        bool isTried;
    };
    const Case cases[] = {
        { "smaller", PlaceResult::NoServer, false, true, 1, 50, true, true },
        { "as large", PlaceResult::NoServer, false, true, 1, 100, true, false },
        { "smaller, less urgent", PlaceResult::NoServer, false, true, 2, 50, true, false },
        { "smaller, size does not matter", PlaceResult::NoServer, false, false, 1, 50, true, false },
        { "as large, other servers failed the first", PlaceResult::NoServer, true, true, 1, 100, true, true },
        { "less urgent, other servers failed the first", PlaceResult::NoServer, true, true, 2, 100, true, true },
        { "stream beyond the limit", PlaceResult::LimitReached, false, true, 1, 50, true, false },
        { "stream beyond the limit, servers failed", PlaceResult::LimitReached, true, true, 1, 50, true, false },
        { "no limit applies", PlaceResult::LimitReached, false, true, 1, 200, false, true },
        { "no limit applies, less urgent", PlaceResult::LimitReached, false, true, 2, 50, false, false },
    };
    for (const Case& each : cases) {
        PlacingRound round;
        Call first = call(1, 100, each.hasAvoidedServers);
        CHECK_TRUE_TEXT(round.shouldTry(first, true), each.name);
        round.failed(first, each.result, each.dependsOnSize);
        CHECK_TRUE_TEXT(round.passedOver().contains(first.id), each.name);
        const bool isTried = !round.isOver() && round.shouldTry(call(each.rank, each.tokens), each.isLimited);
        CHECK_EQUAL_TEXT(each.isTried, isTried, each.name);
    }
}

TEST(PlacingRound, EndsAfterAFewFailedSearches)
{
    PlacingRound round;
    double tokens = 1000;
    std::size_t searches = 0;
    while (!round.isOver()) {
        Call next = call(0, tokens -= 1, true);
        CHECK_TRUE(round.shouldTry(next, true));
        round.failed(next, PlaceResult::NoServer, true);
        ++searches;
    }
    CHECK_EQUAL(PlacingRound::MaxFailedSearches, searches);
}

TEST(PlacingRound, EndsAfterPassingOverManyCallsWithoutASearch)
{
    PlacingRound round;
    Call first = call(0, 10);
    round.failed(first, PlaceResult::LimitReached, true);
    std::size_t passed = 1;
    for (; !round.isOver(); ++passed)
        CHECK_FALSE(round.shouldTry(call(0, 10), true));
    CHECK_EQUAL(PlacingRound::MaxPassedOver, passed);
}

TEST(PlacingRound, FewCallsPassOneThatWaitsForRoom)
{
    Call large = call(0, 100);
    std::uint32_t started = 0;
    // Also over several passes.
    for (int pass = 0; pass < 40; ++pass) {
        PlacingRound round;
        CHECK_TRUE(round.shouldTry(large, true));
        round.failed(large, PlaceResult::NoServer, true);
        for (int i = 0; i < 3 && !round.isOver(); ++i) {
            if (!round.shouldTry(call(0, 10), true))
                continue;
            round.started();
            ++started;
        }
    }
    CHECK_EQUAL(PlacingRound::MaxOvertakes, started);
}
