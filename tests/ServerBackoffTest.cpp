#include "relay/ServerBackoff.h"
#include "tests/Tests.h"

#include <vector>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ServerBackoff) {};

namespace {

constexpr TimePoint Start = timePoint(1000000);

struct Rejection {
    Duration at {}; ///< since the start
    Duration retryAfter {};
};

} // namespace

TEST(ServerBackoff, TheLatestEndCounts)
{
    const struct {
        const char* name;
        std::vector<Rejection> rejections; ///< of attempts that were under way at the start
        Duration end; ///< earliest end, since the start
    } cases[] = {
        { "none", {}, {} },
        { "one", { { {}, seconds(3) } }, seconds(3) },
        { "no time", { { {}, {} } }, {} },
        { "a longer one follows", { { {}, seconds(3) }, { milliseconds(10), seconds(9) } }, milliseconds(9010) },
        { "a shorter one follows", { { {}, seconds(9) }, { milliseconds(10), seconds(1) } }, seconds(9) },
        { "one without a time follows", { { {}, seconds(3) }, { milliseconds(10), {} } }, seconds(3) },
    };
    for (const auto& each : cases) {
        for (std::uint64_t entropy = 0; entropy < 50; ++entropy) {
            ServerBackoff backoff;
            for (const Rejection& rejection : each.rejections)
                backoff.requested(rejection.retryAfter, Start, Start + rejection.at, entropy);
            const Duration left = backoff.endsAt() - Start;
            CHECK_TRUE_TEXT(
                each.end.count() ? left >= each.end && left <= 1.5 * each.end : !backoff.isActive(Start), each.name);
        }
    }
}

TEST(ServerBackoff, CallsReturnSlowly)
{
    ServerBackoff backoff;
    CHECK_TRUE(backoff.allowsAttempt(Start));
    backoff.requested(seconds(3), Start, Start, 1);
    const TimePoint end = backoff.endsAt();
    CHECK_FALSE(backoff.allowsAttempt(end - Duration(1)));
    // Attempts that were started before the end show nothing.
    backoff.attemptAccepted(Start);
    CHECK_FALSE(backoff.allowsAttempt(end - Duration(1)));
    std::size_t attempts = 0;
    for (std::size_t accepted = 0; accepted < 7; ++accepted) {
        while (backoff.allowsAttempt(end)) {
            backoff.attemptStarted(end);
            ++attempts;
        }
        CHECK_EQUAL(2 * accepted + 1, attempts);
        backoff.attemptAccepted(end);
    }
    backoff.attemptAccepted(end);
    for (int i = 0; i < 100; ++i) {
        CHECK_TRUE(backoff.allowsAttempt(end));
        backoff.attemptStarted(end);
    }
}

// An attempt that ends without an answer must not keep a server from further ones.
TEST(ServerBackoff, AnotherAttemptFollowsOneWithoutAnAnswer)
{
    ServerBackoff backoff;
    backoff.requested(seconds(3), Start, Start, 1);
    const TimePoint end = backoff.endsAt();
    backoff.attemptStarted(end);
    CHECK_FALSE(backoff.allowsAttempt(end + milliseconds(900)));
    CHECK_TRUE(backoff.allowsAttempt(end + seconds(1)));
}

TEST(ServerBackoff, TheDelayGrowsWhileReturnsAreRejected)
{
    Duration longest {};
    ServerBackoff backoff;
    TimePoint now = Start;
    for (int returns = 0; returns < 40; ++returns) {
        backoff.requested(seconds(2), now, now, static_cast<std::uint64_t>(returns) * 7919);
        const Duration span = backoff.endsAt() - now;
        const int doublings = std::min(returns, 2);
        CHECK_TRUE(span >= seconds(2) && span <= seconds(2) + seconds(1 << doublings));
        longest = std::max(longest, span);
        now = backoff.endsAt();
        backoff.attemptStarted(now);
    }
    CHECK_TRUE(longest > seconds(5));
    backoff.attemptAccepted(now);
    backoff.requested(seconds(2), now, now, 1);
    CHECK_TRUE(backoff.endsAt() - now <= seconds(3));
}
