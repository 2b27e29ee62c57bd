#include "relay/ServerPermits.h"
#include "relay/PermitAnswer.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start = timePoint(1000000);

PermitAnswer answer(std::uint64_t number, std::uint32_t granted, Duration retryAfter = {})
{
    return { 1, number, granted, retryAfter, {} };
}

} // namespace

TEST_GROUP(ServerPermits) {};

TEST(ServerPermits, PermitsCountUntilTheyAreTakenOrExpire)
{
    const struct {
        const char* name;
        std::uint32_t granted;
        std::uint32_t taken;
        Duration age; ///< since the request
        bool areAvailable;
    } cases[] = {
        { "none granted", 0, 0, milliseconds(2), false },
        { "one granted", 1, 0, milliseconds(2), true },
        { "taken", 1, 1, milliseconds(2), false },
        { "one of two taken", 2, 1, milliseconds(2), true },
        { "expired", 2, 0, milliseconds(500), false },
    };
    for (const auto& each : cases) {
        ServerPermits permits;
        CHECK_TRUE_TEXT(permits.shouldRequest(Start), each.name);
        permits.requested(7, Start);
        permits.answered(answer(7, each.granted), Start + milliseconds(2));
        for (std::uint32_t i = 0; i < each.taken; ++i)
            permits.take();
        CHECK_EQUAL_TEXT(each.areAvailable, permits.areAvailable(Start + each.age), each.name);
        CHECK_EQUAL_TEXT(!each.areAvailable, permits.shouldRequest(Start + each.age), each.name);
    }
}

TEST(ServerPermits, OnlyTheAnswerToTheLastRequestCounts)
{
    const struct {
        const char* name;
        std::vector<std::uint64_t> answers;
        bool areAvailable;
    } cases[] = {
        { "the answer", { 8 }, true },
        { "an answer to an earlier request", { 7 }, false },
        { "both", { 7, 8 }, true },
    };
    for (const auto& each : cases) {
        ServerPermits permits;
        permits.requested(7, Start);
        const TimePoint again = Start + milliseconds(300);
        permits.requested(8, again);
        for (const std::uint64_t number : each.answers)
            permits.answered(answer(number, 1), again + milliseconds(1));
        CHECK_EQUAL_TEXT(each.areAvailable, permits.areAvailable(again + milliseconds(1)), each.name);
    }
    // A datagram that arrives twice must not grant its permits twice.
    ServerPermits permits;
    permits.requested(7, Start);
    permits.answered(answer(7, 1), Start);
    permits.take();
    permits.answered(answer(7, 1), Start);
    CHECK_FALSE(permits.areAvailable(Start));
}

TEST(ServerPermits, RequestsAreMadeAgainAfterTheWaitThatTheCoordinatorAskedForOrAPause)
{
    const struct {
        const char* name;
        std::optional<Duration> retryAfter; ///< nothing: no answer
        Duration after; ///< since the request
        bool shouldRequest;
        Duration availableIn; ///< from then on
    } cases[] = {
        { "just requested", std::nullopt, milliseconds(50), false, Duration(0) },
        { "no answer in time", std::nullopt, milliseconds(150), false, milliseconds(100) },
        { "after the pause", std::nullopt, milliseconds(250), true, Duration(0) },
        { "denied", milliseconds(700), milliseconds(400), false, milliseconds(300) },
        { "the wait is over", milliseconds(700), milliseconds(700), true, Duration(0) },
    };
    for (const auto& each : cases) {
        ServerPermits permits;
        permits.requested(7, Start);
        if (each.retryAfter)
            permits.answered(answer(7, 0, *each.retryAfter), Start);
        const TimePoint now = Start + each.after;
        CHECK_EQUAL_TEXT(each.shouldRequest, permits.shouldRequest(now), each.name);
        CHECK_TRUE_TEXT(permits.availableAt(now) == now + each.availableIn, each.name);
    }
}
