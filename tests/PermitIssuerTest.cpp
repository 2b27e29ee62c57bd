#include "relay/PermitIssuer.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start = timePoint(100000000);
constexpr std::uint64_t Server = 5;

PermitRequest request(std::uint32_t count, std::optional<double> limit, TimePoint askedAt, const char* sender = "i")
{
    return { InstanceId(sender), Server, 1, count, { limit, askedAt } };
}

/// Asks for one permit every 5 ms.
/// @return the permits granted
std::uint32_t grantedDuring(PermitIssuer& issuer, double limit, TimePoint from, Duration span, std::uint32_t count = 1)
{
    std::uint32_t granted = 0;
    for (TimePoint now = from; now < from + span; now += milliseconds(5))
        granted += issuer.answer(request(count, limit, Start), now, 1).granted;
    return granted;
}

} // namespace

TEST_GROUP(PermitIssuer) {};

// Half of the rate in the first two seconds, in which another instance may still grant the whole of it.
TEST(PermitIssuer, PermitsAreGrantedAtTheRateOfTheLimit)
{
    const struct {
        const char* name;
        double limit;
        std::uint32_t count;
        std::uint32_t least, most; ///< granted in the first two seconds
        std::uint32_t leastLater, mostLater; ///< granted in the ten seconds after these
    } cases[] = {
        { "ten a second", 10, 1, 10, 11, 99, 101 },
        { "several at once", 10, 4, 10, 11, 99, 101 },
        { "a hundred a second", 100, 1, 95, 101, 990, 1001 },
        { "one in two seconds", 0.5, 1, 1, 1, 4, 6 },
        { "none", 0, 1, 0, 0, 0, 0 },
    };
    for (const auto& each : cases) {
        PermitIssuer issuer;
        const std::uint32_t first = grantedDuring(issuer, each.limit, Start, seconds(2), each.count);
        const std::uint32_t later = grantedDuring(issuer, each.limit, Start + seconds(2), seconds(10), each.count);
        CHECK_TRUE_TEXT(each.least <= first && first <= each.most, (each.name + std::to_string(first)).c_str());
        CHECK_TRUE_TEXT(
            each.leastLater <= later && later <= each.mostLater, (each.name + std::to_string(later)).c_str());
    }
}

// After a limit of 1e308 no permit was granted, and the instance asked again at once, without end.
TEST(PermitIssuer, AVeryHighLimitNeitherDeniesPermitsNorLetsInstancesAskWithoutAPause)
{
    const struct {
        double limit;
        std::uint32_t count;
        bool grantsAll;
    } cases[] = { { 1e308, 8, true }, { 1e18, 8, true }, { 5e9, 8, true }, { 1e6, 4000000000U, false } };
    for (const auto& each : cases) {
        PermitIssuer issuer;
        const std::string name = std::to_string(each.limit);
        issuer.answer(request(each.count, each.limit, Start), Start, 1);
        const PermitAnswer answer = issuer.answer(request(each.count, each.limit, Start), Start + seconds(1), 1);
        CHECK_EQUAL_TEXT(each.grantsAll, answer.granted == each.count, name.c_str());
        CHECK_TRUE_TEXT(each.grantsAll || answer.retryAfter >= milliseconds(1), name.c_str());
    }
}

TEST(PermitIssuer, UnusedPermitsAreKeptForAQuarterOfASecond)
{
    PermitIssuer issuer;
    (void)grantedDuring(issuer, 40, Start, seconds(3));
    CHECK_EQUAL(10U, issuer.answer(request(100, 40, Start), Start + seconds(6), 1).granted);
}

// An issuer that was not asked may not be the only one to have granted permits since.
TEST(PermitIssuer, AnIssuerThatWasNotAskedForLongBeginsAgain)
{
    PermitIssuer issuer;
    (void)grantedDuring(issuer, 40, Start, seconds(3));
    CHECK_EQUAL(1U, issuer.answer(request(100, 40, Start), Start + seconds(10), 1).granted);
}

TEST(PermitIssuer, TheLimitOfTheLatestAnswerCounts)
{
    const TimePoint later = Start + seconds(1);
    const struct {
        const char* name;
        std::optional<double> known;
        TimePoint knownSince;
        std::optional<double> reported;
        TimePoint reportedSince;
        std::optional<double> expected;
    } cases[] = {
        { "lowered", 10, Start, 5, later, 5 },
        { "raised", 10, Start, 20, later, 20 },
        { "ended", 10, Start, std::nullopt, later, std::nullopt },
        { "an older answer without a limit", 10, later, std::nullopt, Start, 10 },
        { "an older answer with a limit", std::nullopt, later, 10, Start, std::nullopt },
        { "an older answer with another limit", 10, later, 5, Start, 10 },
    };
    for (const auto& each : cases) {
        PermitIssuer issuer;
        (void)issuer.answer(request(1, each.known, each.knownSince), later, 1);
        const PermitAnswer answer = issuer.answer(request(1, each.reported, each.reportedSince), later, 1);
        CHECK_TRUE_TEXT(answer.limit.perSecond == each.expected, each.name);
    }
}

TEST(PermitIssuer, InstancesAreToldOnceThatALimitBeginsOrEnds)
{
    PermitIssuer issuer;
    const struct {
        std::optional<double> limit;
        bool isAnnounced;
    } steps[]
        = { { 10, true }, { 10, false }, { 8, false }, { std::nullopt, true }, { std::nullopt, false }, { 9, true } };
    TimePoint now = Start;
    for (const auto& each : steps) {
        now += milliseconds(100);
        (void)issuer.answer(request(0, each.limit, now), now, 1);
        CHECK_EQUAL(each.isAnnounced, issuer.shouldAnnounce(Server));
    }
    CHECK_FALSE(issuer.shouldAnnounce(Server + 1));
}

// If every instance asked again for each permit, the requests to the issuer would grow with the number of instances.
// They make two requests for each permit, up to a third more by the spread of their times, or one in four seconds each.
TEST(PermitIssuer, ManyInstancesAskRarely)
{
    const struct {
        std::size_t instances;
        double limit;
        double mostPerSecond; ///< requests of all instances
    } cases[] = { { 1, 10, 27 }, { 9, 10, 27 }, { 60, 10, 27 }, { 295, 10, 75 }, { 295, 100, 267 } };
    for (const auto& each : cases) {
        PermitIssuer issuer;
        std::vector<TimePoint> askAt(each.instances, Start);
        std::size_t requests = 0;
        for (TimePoint now = Start; now < Start + seconds(20); now += milliseconds(2)) {
            for (std::size_t i = 0; i < each.instances; ++i) {
                if (now < askAt[i])
                    continue;
                requests += now >= Start + seconds(10);
                const std::string sender = std::to_string(i);
                const PermitAnswer answer
                    = issuer.answer(request(2, each.limit, Start, sender.c_str()), now, requests * 7919 + i);
                askAt[i] = now + answer.retryAfter;
            }
        }
        const double perSecond = static_cast<double>(requests) / 10;
        CHECK_TRUE_TEXT(perSecond <= each.mostPerSecond,
            (std::to_string(each.instances) + " instances: " + std::to_string(perSecond)).c_str());
    }
}
